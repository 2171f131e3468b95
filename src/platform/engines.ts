/**
 * Decodes the registrations of engines in the platform's store.
 * @module
 */
import * as zod from 'zod';
import type { EngineEntry } from '../core/engines/types.js';
import { keys } from './wire.js';

const schema = zod.object({
	service: zod.string(),
	address: zod.string(),
	zone: zod.string().default(''),
	slots: zod.number().default(1),
	state: zod.string().default('ready'),
	'warmup-left-ms': zod.number().default(0),
});

/** Id of the engine that a key of the store belongs to. */
export function engineIdOf(key: string): string {
	return key.slice(keys.engines.length);
}

/**
 * @throws Error when the value is no registration
 */
export function decodeEngine(key: string, text: string): EngineEntry {
	const raw = schema.parse(JSON.parse(text));
	return {
		id: engineIdOf(key),
		service: raw.service,
		address: raw.address,
		domain: raw.zone,
		slots: raw.slots,
		draining: raw.state !== 'ready',
		warmupMs: raw['warmup-left-ms'],
	};
}
