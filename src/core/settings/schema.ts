/**
 * Schema of a daemon's settings file, which is read once at start.
 * @module
 */
import * as zod from 'zod';

const ip = zod.union([zod.ipv4(), zod.ipv6()], 'expected an IP address, such as 10.0.0.7');
const port = zod.int('expected a port number').min(0).max(65535);
const durationMs = zod.int('expected a number of milliseconds').min(1);

const vm = zod.strictObject({
	/** Name of the VM, unique in the fleet. */
	id: zod
		.string()
		.regex(/^[a-z0-9][a-z0-9-]{0,62}$/, 'expected lower-case letters, digits and hyphens'),
	/** Failure domain of the VM. */
	failure_domain: zod.string().min(1),
	/** IP address on which callers and peers reach this VM. */
	address: ip,
});

const listen = zod.strictObject({
	/** TCP port for callers; 0 for any free port. @default 8080 */
	callers_port: port.default(8080),
	/** TCP port for operators and UDP port for peers; 0 for any free port. @default 8090 */
	control_port: port.default(8090),
});

const platform = zod.strictObject({
	/** Base URL of the key-value service. */
	kv: zod.url('expected a URL, such as http://10.0.0.2:7000'),
	/** Base URL of the VM list. */
	vm_list: zod.url('expected a URL, such as http://10.0.0.2:7000'),
	/** Base URL of the weight store; only load orders need it. */
	weights: zod.url('expected a URL').optional(),
	/** Timeout of one call, in milliseconds. @default 1000 */
	timeout_ms: durationMs.default(1000),
});

const peers = zod.strictObject({
	/** Shared secret of all daemons, with which they sign datagrams to each other. */
	token: zod.string().min(16, 'expected at least 16 characters'),
	/** Interval between liveness probes, in milliseconds. @default 500 */
	probe_ms: durationMs.default(500),
	/** Minimum interval between datagrams to a peer under load, in milliseconds. @default 5 */
	tick_ms: durationMs.default(5),
});

const limits = zod.strictObject({
	/** Memory of the process, which bounds what its clients may hold, in MB. @default 350 */
	memory_mb: zod.number().positive().default(350),
	/** File descriptors of the process, which bound connections and running requests. @default 4100 */
	max_descriptors: zod.int().min(1).default(4100),
	/** Maximum size of a request body, in bytes. @default 4194304 */
	body_bytes: zod
		.int()
		.min(1024)
		.default(4 * 1024 * 1024),
	/** Maximum size of a request head, in bytes. @default 16384 */
	header_bytes: zod
		.int()
		.min(1024)
		.default(16 * 1024),
	/** Maximum size of an answer that is assembled from a stream, in bytes. @default 16777216 */
	answer_bytes: zod
		.int()
		.min(1024)
		.default(16 * 1024 * 1024),
	/** Maximum number of requests queued on this daemon. @default 2000 */
	queue_requests: zod.int().min(1).default(2000),
	/** Maximum total size of requests queued on this daemon, in bytes. @default 67108864 */
	queue_bytes: zod
		.int()
		.min(1024)
		.default(64 * 1024 * 1024),
	/** Time without data after which an answer counts as broken, in milliseconds. @default 3000 */
	stall_ms: durationMs.default(3000),
	/** Maximum time that a planned stop waits for running streams, in milliseconds. @default 300000 */
	stop_ms: durationMs.default(300_000),
});

const log = zod.strictObject({
	/** Minimum level of log lines. @default 'info' */
	level: zod.enum(['debug', 'info', 'warn', 'error']).default('info'),
});

const metrics = zod.strictObject({
	/** IP address of a StatsD agent; metrics are sent only if it is set. */
	statsd_host: ip.optional(),
	/** UDP port of the StatsD agent. @default 8125 */
	statsd_port: port.default(8125),
});

const drills = zod.strictObject({
	/** Whether operators may cut this daemon off from peers, to rehearse failures. @default false */
	enabled: zod.boolean().default(false),
});

export const settingsSchema = zod.strictObject({
	vm,
	listen: listen.default({ callers_port: 8080, control_port: 8090 }),
	platform,
	peers,
	limits: limits.default(limits.parse({})),
	log: log.default({ level: 'info' }),
	metrics: metrics.default({ statsd_port: 8125 }),
	drills: drills.default({ enabled: false }),
});

/** Validated settings, with defaults. */
export type Settings = zod.infer<typeof settingsSchema>;
