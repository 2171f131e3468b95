/**
 * Parses the request headers of callers: customer, class, deadline, idempotency key, repeatability.
 * @module
 */
import type {
	ConfigurationView,
	Customer,
	RoutingTarget,
	ServiceClass,
} from '../configuration/index.js';
import * as errors from '../errors/index.js';

/** Request headers that slategauge reads; documented in docs/CALLERS.md. */
export const callerHeaders = {
	cls: 'x-slategauge-class',
	deadlineMs: 'x-slategauge-deadline-ms',
	repeatable: 'x-slategauge-repeatable',
	idempotencyKey: 'idempotency-key',
} as const;

/** In characters. */
const maxKeyLength = 200;
const maxDeadlineMs = 24 * 3600 * 1000;

/** Header values by lower-case name. */
export type HeaderMap = Record<string, string | string[] | undefined>;

/** Options of a request, from its headers and the defaults of its customer and class. */
export interface CallerRequestOptions {
	customer: Customer;
	cls: ServiceClass;
	deadlineMs: number;
	idempotencyKey?: string;
	/** The caller's own setting; `isRepeatable` combines it with those of class and service. */
	repeatable: boolean;
}

/** Returns the customer of the bearer key; throws `Unauthorized`. */
export function readCustomer(cfg: ConfigurationView, headers: HeaderMap): Customer {
	const match = /^Bearer (\S+)$/i.exec(headerOf(headers, 'authorization') ?? '');
	const customer = match?.[1] ? cfg.findCustomerByKey(match[1]) : undefined;
	if (!customer) {
		throw new errors.UserError(errors.data.Unauthorized);
	}
	return customer;
}

/** Throws a `UserError` for the first invalid header. */
export function readRequestOptions(
	cfg: ConfigurationView,
	headers: HeaderMap,
): CallerRequestOptions {
	const customer = readCustomer(cfg, headers);
	const cls = readClass(cfg, customer, headers);
	return {
		customer,
		cls,
		deadlineMs: readDeadline(cls, headers),
		idempotencyKey: readKey(headers),
		repeatable: readRepeatable(headers),
	};
}

/** Whether a request may run twice: class, service and caller must all allow it. */
export function isRepeatable(
	cfg: ConfigurationView,
	cls: ServiceClass,
	target: RoutingTarget,
	callerAllows: boolean,
): boolean {
	const serviceName = target.startsWith('service:') ? target.slice('service:'.length) : undefined;
	const service = serviceName === undefined ? true : cfg.findService(serviceName)?.repeatable;
	return cls.repeatable && callerAllows && service === true;
}

function readClass(cfg: ConfigurationView, customer: Customer, headers: HeaderMap): ServiceClass {
	const name = headerOf(headers, callerHeaders.cls) ?? customer.default_class;
	const cls = cfg.findClass(name);
	const isAllowed = customer.classes.length === 0 || customer.classes.includes(name);
	if (!cls || !isAllowed) {
		throw new errors.UserError(errors.data.ClassNotAllowed, [name]);
	}
	return cls;
}

function readDeadline(cls: ServiceClass, headers: HeaderMap): number {
	const text = headerOf(headers, callerHeaders.deadlineMs);
	if (text === undefined) {
		return cls.deadline_ms;
	}
	const ms = Number(text);
	if (!Number.isInteger(ms) || ms < 1 || ms > maxDeadlineMs) {
		const detail = `${callerHeaders.deadlineMs} must be a whole number of milliseconds up to ${maxDeadlineMs}`;
		throw new errors.UserError(errors.data.BadRequest, [detail]);
	}
	return ms;
}

function readKey(headers: HeaderMap): string | undefined {
	const key = headerOf(headers, callerHeaders.idempotencyKey);
	if (key !== undefined && (key.length === 0 || key.length > maxKeyLength)) {
		const detail = `${callerHeaders.idempotencyKey} must have 1 to ${maxKeyLength} characters`;
		throw new errors.UserError(errors.data.BadRequest, [detail]);
	}
	return key;
}

function readRepeatable(headers: HeaderMap): boolean {
	const text = headerOf(headers, callerHeaders.repeatable);
	if (text === undefined || text === 'true') {
		return true;
	}
	if (text === 'false') {
		return false;
	}
	const detail = `${callerHeaders.repeatable} must be true or false`;
	throw new errors.UserError(errors.data.BadRequest, [detail]);
}

function headerOf(headers: HeaderMap, name: string): string | undefined {
	const value = headers[name];
	return Array.isArray(value) ? value[0] : value;
}
