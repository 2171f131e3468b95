/**
 * Reads the settings file that the platform lays on each VM.
 * @module
 */
import './zod-setup.js';
import * as zod from 'zod/mini';
import type { Finding } from '../core/errors/index.js';
import type { DutySettings, HostPort, RelaySettings } from '../core/relay/settings.js';

const hostPort = zod.pipe(
	zod.string().check(zod.regex(/^\d+\.\d+\.\d+\.\d+:\d+$/, 'expected IP:PORT')),
	zod.transform(parseHostPort),
);
const text = zod.string().check(zod.minLength(1));
const atLeastZero = zod.number().check(zod.gte(0));
const positive = zod.number().check(zod.positive());

/** Time in milliseconds, or in seconds by the field's name. */
function time(otherwise: number) {
	return zod._default(atLeastZero, otherwise);
}

/** Fields that are not named here are passed over. */
const schema = zod.object({
	'node-name': text,
	ip: zod.ipv4(),
	/** "Zone": the failure domain. */
	zone: text,
	listen: zod.object({
		/** For callers. */
		frontend: hostPort,
		readiness: hostPort,
		/** For the other VMs, where the role serves it. */
		'control-plane': zod.optional(hostPort),
	}),
	/** Free for traffic between VMs, both ends included; alike on all VMs. */
	'port-range': zod.tuple([zod.int(), zod.int()]),
	'seed-nodes': zod._default(zod.array(hostPort), []),
	limits: zod.object({
		'memory-mb': zod.number(),
		'max-fds': zod.int(),
		/** Share of one core. */
		'cpu-quota': zod._default(positive, 1),
		/** How many times as fast as a usual one that core runs. */
		'cpu-cores': zod._default(positive, 1),
	}),
	/** Time between two signs of life of an engine. */
	'heartbeat-ms': time(1200),
	bounds: zod.object({
		'contact-ms': time(3000),
		'drain-ms': time(2000),
		/** From SIGTERM to SIGKILL. */
		'grace-s': time(8),
		'config-apply-ms': time(2000),
		'retry-ratio': zod._default(zod.number(), 0.2),
		'retry-window-s': time(10),
		/** Retries of the whole fleet in a window beyond the ratio. */
		'retry-extra': zod._default(zod.number(), 20),
		/** Whether the platform refuses tokens lower than one that it has seen. */
		'fencing-required': zod._default(zod.boolean(), true),
		'lease-ms': time(3000),
		'report-window-s': zod._default(atLeastZero.check(zod.positive()), 5),
		/** A window's counts are due so long after its end. */
		'usage-delay-s': time(10),
	}),
	/** Absent where nothing is done for the whole fleet. */
	'cloud-api': zod.optional(
		zod.object({
			address: hostPort,
			/** What one VM at a time does: `metering`, `autoscaling`. Others are passed over. */
			duties: zod._default(zod.array(zod.string()), []),
			/** Calls of all VMs together. */
			'duty-per-s': zod._default(positive, 10),
		}),
	),
	platform: zod.object({
		address: hostPort,
		'ttl-min-ms': time(1000),
	}),
});

export type SettingsResult =
	| { settings: RelaySettings; findings: [] }
	| { settings?: undefined; findings: Finding[] };

/** Checks the whole text and returns the settings, or all findings with their place. */
export function parseSettings(file: string, text: string): SettingsResult {
	let json: unknown;
	try {
		json = JSON.parse(text);
	} catch (err) {
		return { findings: [finding(file, '', (err as Error).message)] };
	}
	const parsed = schema.safeParse(json);
	if (!parsed.success) {
		const findings = parsed.error.issues.map((issue) =>
			finding(file, issue.path.join('.'), issue.message),
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

function parseHostPort(text: string): HostPort {
	const at = text.lastIndexOf(':');
	return { host: text.slice(0, at), port: Number(text.slice(at + 1)) };
}

/** The file is JSON on one or more lines; a finding is placed by its path, not by its line. */
function finding(file: string, path: string, message: string): Finding {
	return { file, line: 1, column: 1, path, message };
}
