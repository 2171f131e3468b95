/**
 * Reads what a caller asks for: customer, class, deadline, target and whether it may run twice.
 * @module
 */
import type { ConfigurationView, Customer, ServiceClass, Target } from '../configuration/index.js';
import * as errors from '../errors/index.js';

/** Request headers that slategauge reads; listed in docs/CALLERS.md. */
export const callerHeaders = {
	cls: 'x-slategauge-class',
	deadlineMs: 'x-slategauge-deadline-ms',
	repeatable: 'x-slategauge-repeatable',
	idempotencyKey: 'idempotency-key',
} as const;

/** Longest idempotency key, in characters. */
const maxKeyLength = 200;
/** Latest deadline a caller may ask for, in milliseconds. */
const maxDeadlineMs = 24 * 3600 * 1000;

/** Header values by lower-case name. */
export type HeaderMap = Record<string, string | string[] | undefined>;

/** What was read from head and path. */
export interface CallerRequestOptions {
	customer: Customer;
	cls: ServiceClass;
	deadlineMs: number;
	idempotencyKey?: string;
	/** What the caller itself said; the stricter of all sources wins. */
	repeatable: boolean;
}

/** Customer of the bearer key; throws `Unauthorized`. */
export function readCustomer(cfg: ConfigurationView, headers: HeaderMap): Customer {
	const match = /^Bearer (\S+)$/i.exec(headerOf(headers, 'authorization') ?? '');
	const customer = match?.[1] ? cfg.customerOfKey(match[1]) : undefined;
	if (!customer) {
		throw new errors.UserError(errors.data.Unauthorized);
	}
	return customer;
}

/** Terms of a request; throws a `UserError` on the first thing that is wrong. */
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

/** The stricter of class, service and caller. */
export function isRepeatable(
	cfg: ConfigurationView,
	cls: ServiceClass,
	target: Target,
	caller: boolean,
): boolean {
	const serviceName = target.startsWith('service:') ? target.slice('service:'.length) : undefined;
	const service = serviceName === undefined ? true : cfg.serviceNamed(serviceName)?.repeatable;
	return cls.repeatable && caller && service === true;
}

function readClass(cfg: ConfigurationView, customer: Customer, headers: HeaderMap): ServiceClass {
	const name = headerOf(headers, callerHeaders.cls) ?? customer.default_class;
	const cls = cfg.classNamed(name);
	const open = customer.classes.length === 0 || customer.classes.includes(name);
	if (!cls || !open) {
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
		const why = `${callerHeaders.deadlineMs} must be a whole number of milliseconds up to ${maxDeadlineMs}`;
		throw new errors.UserError(errors.data.BadRequest, [why]);
	}
	return ms;
}

function readKey(headers: HeaderMap): string | undefined {
	const key = headerOf(headers, callerHeaders.idempotencyKey);
	if (key !== undefined && (key.length === 0 || key.length > maxKeyLength)) {
		const why = `${callerHeaders.idempotencyKey} must have 1 to ${maxKeyLength} characters`;
		throw new errors.UserError(errors.data.BadRequest, [why]);
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
	const why = `${callerHeaders.repeatable} must be true or false`;
	throw new errors.UserError(errors.data.BadRequest, [why]);
}

function headerOf(headers: HeaderMap, name: string): string | undefined {
	const value = headers[name];
	return Array.isArray(value) ? value[0] : value;
}
