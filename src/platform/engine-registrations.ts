/**
 * Decodes engine registrations from the platform's store.
 * @module
 */
import './zod-setup.js';
import * as zod from 'zod/mini';
import type { EngineRegistration } from '../core/engines/types.js';
import { isAddress } from '../core/fleet/address.js';
import { storeKeys } from './wire-names.js';

/** An entry that lacks a required field, or has a field of another type, is rejected. */
const schema = zod.object({
	service: zod.string().check(zod.minLength(1)),
	address: zod.string().check(zod.refine(isAddress, 'expected IP:PORT')),
	zone: zod.string().check(zod.minLength(1)),
	version: zod.string(),
	slots: zod.int().check(zod.positive()),
	state: zod.enum(['ready', 'draining']),
	'warmup-left-ms': zod.number().check(zod.gte(0)),
	/** Increases with each heartbeat. */
	sequence: zod.int(),
	/** Start of this process in Unix milliseconds; a restarted engine may reuse its id. */
	born: zod.optional(zod.int()),
	/** Whether the engine runs on preemptible capacity. */
	spot: zod._default(zod.boolean(), false),
});

/** Ids are sent in a header. */
const idPattern = /^[\x20-\x7e]+$/;

/** Engine id in a store key. */
export function engineIdOf(key: string): string {
	return key.slice(storeKeys.engines.length);
}

/**
 * @throws Error when the value is not a valid engine registration
 */
export function decodeEngineRegistration(key: string, text: string): EngineRegistration {
	const id = engineIdOf(key);
	if (!idPattern.test(id)) {
		throw new Error('the id cannot be sent in a header');
	}
	const raw = schema.parse(JSON.parse(text));
	return {
		id,
		service: raw.service,
		address: raw.address,
		domain: raw.zone,
		slots: raw.slots,
		draining: raw.state === 'draining',
		warmupMs: raw['warmup-left-ms'],
		bornAt: raw.born,
		spot: raw.spot,
	};
}
