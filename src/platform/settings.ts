/**
 * Parses the settings file that the platform provides on each VM.
 * @module
 */
import './zod-setup.js';
import * as zod from 'zod/mini';
import type { Finding } from '../core/errors/index.js';
import { isAddress, parseAddress } from '../core/fleet/address.js';
import type { DutySettings, RelaySettings } from '../core/relay/settings.js';

const hostPortSchema = zod.pipe(
	zod.string().check(zod.refine(isAddress, 'expected IP:PORT')),
	zod.transform(parseAddress),
);
const port = zod.int().check(zod.gte(1), zod.lte(65_535));
const nonEmptyText = zod.string().check(zod.minLength(1));
/** Timers fire at once when set for longer, in milliseconds. */
const maxTimerMs = 2 ** 31 - 1;
const nonNegative = zod.number().check(zod.gte(0), zod.lte(maxTimerMs));
const positive = zod.number().check(zod.positive());

/** Duration with a default, in the unit that the field's name ends with. */
function duration(defaultValue: number) {
	return zod._default(nonNegative, defaultValue);
}

/** Unknown fields are ignored. */
const schema = zod.object({
	'node-name': nonEmptyText,
	ip: zod.ipv4(),
	/** Failure domain. */
	zone: nonEmptyText,
	listen: zod.object({
		/** Address for callers. */
		frontend: hostPortSchema,
		readiness: hostPortSchema,
		/** Control endpoint for other VMs; absent where the VM serves none. */
		'control-plane': zod.optional(hostPortSchema),
	}),
	/** First and last port for traffic between VMs, both inclusive; the same on all VMs. */
	'port-range': zod.tuple([port, port]),
	'seed-nodes': zod._default(zod.array(hostPortSchema), []),
	limits: zod.object({
		/** Memory and descriptors of the process; bound what its clients may hold. */
		'memory-mb': positive,
		'max-fds': zod.int().check(zod.positive()),
		/** CPU quota as a fraction of one core. */
		'cpu-quota': zod._default(positive, 1),
		/** Speed of that core relative to a typical core. */
		'cpu-cores': zod._default(positive, 1),
	}),
	/** Interval between heartbeats of an engine. */
	'heartbeat-ms': duration(1200),
	bounds: zod.object({
		'contact-ms': duration(3000),
		'drain-ms': duration(2000),
		/** Time from SIGTERM to SIGKILL. */
		'grace-s': duration(8),
		'config-apply-ms': duration(2000),
		'retry-ratio': zod._default(zod.number(), 0.2),
		'retry-window-s': duration(10),
		/** Retries per window that the fleet may send in addition to the ratio. */
		'retry-extra': zod._default(zod.number(), 20),
		/** Whether the platform refuses fencing tokens lower than the highest it has seen. */
		'fencing-required': zod._default(zod.boolean(), true),
		'lease-ms': duration(3000),
		'report-window-s': zod._default(nonNegative.check(zod.positive()), 5),
		/** Time after the end of a window when its usage report is due. */
		'usage-delay-s': duration(10),
	}),
	/** Absent where the fleet has no fleet-wide duties. */
	'cloud-api': zod.optional(
		zod.object({
			address: hostPortSchema,
			/** Fleet-wide duties: `metering`, `autoscaling`. Unknown duties are ignored. */
			duties: zod._default(zod.array(zod.string()), []),
			/** Rate limit of calls, fleet-wide. */
			'duty-per-s': zod._default(positive, 10),
		}),
	),
	platform: zod.object({
		address: hostPortSchema,
		'ttl-min-ms': duration(1000),
	}),
});

export type SettingsResult =
	| { settings: RelaySettings; findings: [] }
	| { settings?: undefined; findings: Finding[] };

/** @returns the settings, or all findings with the path of each */
export function parseSettings(file: string, text: string): SettingsResult {
	let json: unknown;
	try {
		json = JSON.parse(text);
	} catch (err) {
		return { findings: [createFinding(file, '', (err as Error).message)] };
	}
	const parsed = schema.safeParse(json);
	if (!parsed.success) {
		const findings = parsed.error.issues.map((issue) =>
			createFinding(file, issue.path.join('.'), issue.message),
		);
		return { findings };
	}
	return { settings: toSettings(parsed.data), findings: [] };
}

function toSettings(raw: zod.infer<typeof schema>): RelaySettings {
	const { bounds, limits } = raw;
	const cores = limits['cpu-quota'] * limits['cpu-cores'];
	return {
		vm: { id: raw['node-name'], address: raw.ip, domain: raw.zone, cores },
		machine: { memoryMb: limits['memory-mb'], maxDescriptors: limits['max-fds'] },
		listen: {
			callers: raw.listen.frontend,
			readiness: raw.listen.readiness,
			peers: { host: raw.ip, port: raw['port-range'][0] },
			control: raw.listen['control-plane'],
			metrics: { host: raw.ip, port: raw['port-range'][1] },
		},
		seeds: raw['seed-nodes'],
		store: { address: raw.platform.address, leaseMinMs: raw.platform['ttl-min-ms'] },
		engineHeartbeatMs: raw['heartbeat-ms'],
		contactMs: bounds['contact-ms'],
		drainMs: bounds['drain-ms'],
		stopMs: bounds['grace-s'] * 1000,
		configurationMs: bounds['config-apply-ms'],
		duties: toDuties(raw),
		retries: {
			ratio: bounds['retry-ratio'],
			windowMs: bounds['retry-window-s'] * 1000,
			extra: bounds['retry-extra'],
		},
	};
}

function toDuties(raw: zod.infer<typeof schema>): DutySettings | undefined {
	const { bounds } = raw;
	const api = raw['cloud-api'];
	return (
		api && {
			api: api.address,
			callsPerSecond: api['duty-per-s'],
			reportsUsage: api.duties.includes('metering'),
			ordersEngines: api.duties.includes('autoscaling'),
			checksTokens: bounds['fencing-required'],
			leaseMs: bounds['lease-ms'],
			windowMs: bounds['report-window-s'] * 1000,
			usageDelayMs: bounds['usage-delay-s'] * 1000,
		}
	);
}

/** Findings are located by path: the JSON parser reports no lines. */
function createFinding(file: string, path: string, message: string): Finding {
	return { file, line: 1, column: 1, path, message };
}
