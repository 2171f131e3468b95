/**
 * Decodes the registrations of engines in the platform's store.
 * @module
 */
import './zod-setup.js';
import * as zod from 'zod/mini';
import type { EngineRegistration } from '../core/engines/types.js';
import { storeKeys } from './wire-names.js';

/** Everything that an engine writes; an entry that lacks any of it, or has it in another form, is not an engine's. */
const schema = zod.object({
	service: zod.string().check(zod.minLength(1)),
	address: zod.string().check(zod.regex(/^\d+\.\d+\.\d+\.\d+:\d+$/, 'expected IP:PORT')),
	zone: zod.string().check(zod.minLength(1)),
	version: zod.string(),
	slots: zod.int().check(zod.positive()),
	state: zod.enum(['ready', 'draining']),
	'warmup-left-ms': zod.number().check(zod.gte(0)),
	/** Rises with each heartbeat. */
	sequence: zod.int(),
	/** Unix milliseconds of this start; the id may be that of an earlier one. */
	born: zod.optional(zod.int()),
	/** It costs less and may be taken away at short notice. */
	spot: zod._default(zod.boolean(), false),
});

/** Id of the engine that a key of the store belongs to. */
export function engineIdOf(key: string): string {
	return key.slice(storeKeys.engines.length);
}

/**
 * @throws Error when the value is no engine's registration
 */
export function decodeEngineRegistration(key: string, text: string): EngineRegistration {
	const raw = schema.parse(JSON.parse(text));
	return {
		id: engineIdOf(key),
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
