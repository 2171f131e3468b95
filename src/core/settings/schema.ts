/**
 * Settings of one daemon: what it must know before it can reach anything. Read once at the start.
 * @module
 */
import * as zod from 'zod';

const ip = zod.union([zod.ipv4(), zod.ipv6()], 'expected an IP number, such as 10.0.0.7');
const port = zod.int('expected a port number').min(0).max(65535);
const millis = zod.int('expected a number of milliseconds').min(1);

const vm = zod.strictObject({
	/** Name of the VM, unique in the fleet. */
	id: zod
		.string()
		.regex(/^[a-z0-9][a-z0-9-]{0,62}$/, 'expected lower-case letters, digits and hyphens'),
	/** Failure domain that the VM stands in. */
	failure_domain: zod.string().min(1),
	/** IP number on which callers and peers reach this VM. */
	address: ip,
});

const listen = zod.strictObject({
	/** TCP port for callers; 0 lets the system choose. @default 8080 */
	callers_port: port.default(8080),
	/** TCP port for operators and UDP port for peers; 0 lets the system choose. @default 8090 */
	control_port: port.default(8090),
});

const platform = zod.strictObject({
	/** Base URL of the key-value service. */
	kv: zod.url('expected a URL, such as http://10.0.0.2:7000'),
	/** Base URL of the VM list. */
	vm_list: zod.url('expected a URL, such as http://10.0.0.2:7000'),
	/** Base URL of the weight store, needed for load orders only. */
	weights: zod.url('expected a URL').optional(),
	/** How long one call may take, in milliseconds. @default 1000 */
	timeout_ms: millis.default(1000),
});

const peers = zod.strictObject({
	/** Secret that all daemons share; it signs every datagram between them. */
	token: zod.string().min(16, 'expected at least 16 characters'),
	/** Time between two liveness probes, in milliseconds. @default 500 */
	probe_ms: millis.default(500),
	/** Least time between two datagrams to one peer under load, in milliseconds. @default 5 */
	tick_ms: millis.default(5),
});

const limits = zod.strictObject({
	/** Largest request body, in bytes. @default 4194304 */
	body_bytes: zod
		.int()
		.min(1024)
		.default(4 * 1024 * 1024),
	/** Largest request head, in bytes. @default 16384 */
	header_bytes: zod
		.int()
		.min(1024)
		.default(16 * 1024),
	/** Largest whole answer that is put together for a caller, in bytes. @default 16777216 */
	answer_bytes: zod
		.int()
		.min(1024)
		.default(16 * 1024 * 1024),
	/** Most requests waiting on this daemon. @default 2000 */
	queue_requests: zod.int().min(1).default(2000),
	/** Most bytes of waiting requests on this daemon. @default 67108864 */
	queue_bytes: zod
		.int()
		.min(1024)
		.default(64 * 1024 * 1024),
	/** An answer that brings nothing for so long is taken for broken, in milliseconds. @default 3000 */
	stall_ms: millis.default(3000),
	/** Longest planned stop before streams in flight would be cut, in milliseconds. @default 300000 */
	stop_ms: millis.default(300_000),
});

const log = zod.strictObject({
	/** Least level that is written. @default 'info' */
	level: zod.enum(['debug', 'info', 'warn', 'error']).default('info'),
});

const metrics = zod.strictObject({
	/** IP number of a StatsD agent; without it metrics are not sent. */
	statsd_host: ip.optional(),
	/** UDP port of the StatsD agent. @default 8125 */
	statsd_port: port.default(8125),
});

const drills = zod.strictObject({
	/** Lets operators cut this daemon off from peers, to rehearse failures. @default false */
	enabled: zod.boolean().default(false),
});

/** The whole settings file. */
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

/** Settings after checks, defaults filled in. */
export type Settings = zod.infer<typeof settingsSchema>;
