/**
 * Reads the settings file that the platform lays on each VM.
 * @module
 */
import * as zod from 'zod';
import type { Finding } from '../core/errors/index.js';
import type { DutySettings, HostPort, RelaySettings } from '../core/relay/settings.js';

const hostPort = zod
	.string()
	.regex(/^\d+\.\d+\.\d+\.\d+:\d+$/, 'expected IP:PORT')
	.transform(parseHostPort);
const milliseconds = zod.number().min(0);
const seconds = zod.number().min(0);

/** Fields that are not named here are passed over. */
const schema = zod.object({
	'node-name': zod.string().min(1),
	ip: zod.ipv4(),
	/** "Zone": the failure domain. */
	zone: zod.string().min(1),
	listen: zod.object({
		/** For callers. */
		frontend: hostPort,
		readiness: hostPort,
		/** For the other VMs, where the role serves it. */
		'control-plane': hostPort.optional(),
	}),
	/** Free for traffic between VMs, both ends included; alike on all VMs. */
	'port-range': zod.tuple([zod.int(), zod.int()]),
	'seed-nodes': zod.array(hostPort).default([]),
	limits: zod.object({
		'memory-mb': zod.number(),
		'max-fds': zod.int(),
		/** Share of one core. */
		'cpu-quota': zod.number().positive().default(1),
		/** How many times as fast as a usual one that core runs. */
		'cpu-cores': zod.number().positive().default(1),
	}),
	/** Time between two signs of life of an engine. */
	'heartbeat-ms': milliseconds.default(1200),
	bounds: zod.object({
		'contact-ms': milliseconds.default(3000),
		'drain-ms': milliseconds.default(2000),
		/** From SIGTERM to SIGKILL. */
		'grace-s': seconds.default(8),
		'config-apply-ms': milliseconds.default(2000),
		'retry-ratio': zod.number().default(0.2),
		'retry-window-s': seconds.default(10),
		/** Retries of the whole fleet in a window beyond the ratio. */
		'retry-extra': zod.number().default(20),
		/** Whether the platform refuses tokens lower than one that it has seen. */
		'fencing-required': zod.boolean().default(true),
		'lease-ms': milliseconds.default(3000),
		'report-window-s': seconds.positive().default(5),
		/** A window's counts are due so long after its end. */
		'usage-delay-s': seconds.default(10),
	}),
	/** Absent where nothing is done for the whole fleet. */
	'cloud-api': zod
		.object({
			address: hostPort,
			/** What one VM at a time does: `metering`, `autoscaling`. Others are passed over. */
			duties: zod.array(zod.string()).default([]),
			/** Calls of all VMs together. */
			'duty-per-s': zod.number().positive().default(10),
		})
		.optional(),
	platform: zod.object({
		address: hostPort,
		'ttl-min-ms': milliseconds.default(1000),
	}),
});

export type SettingsResult =
	| { settings: RelaySettings; findings: [] }
	| { settings?: undefined; findings: Finding[] };

/** Checks the whole text and returns the settings, or all findings with their place. */
export function readSettings(file: string, text: string): SettingsResult {
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
