/**
 * Declares every event that a relaying daemon logs, with its fields. Source of docs/LOGS.md.
 * @module
 */

export interface LogEvent {
	name: string;
	/** When it is logged. */
	when: string;
	/** Fields besides time, level, event and vm. */
	fields: Readonly<Record<string, string>>;
}

const request = { request: "the caller's id of the request", route: 'name of its route' };

export const logEvents: readonly LogEvent[] = [
	{
		name: 'request.held',
		when: 'A request that arrived before configuration and engines were known is processed.',
		fields: {
			request: 'id of the request',
			held_ms: 'how long it waited',
		},
	},
	{
		name: 'request.placed',
		when: 'An engine was chosen and the request is sent to it.',
		fields: {
			...request,
			engine: 'id of the engine',
			via: 'the VM that forwards the request, if this VM has lost its own link to the engine',
			reason: 'the deciding factor, with the expected wait',
			fleet_running: 'requests of all VMs at that engine, as known to this VM',
			unread_tokens: 'prompt tokens that the engine has to process',
			wait_ms: 'estimated time to the first event',
			read_ms_per_token:
				'estimated processing time of a prompt token at that engine; see costs.learned',
			pace_reading:
				"the engine's prompt processing time relative to the service's estimate; 1 is equal, higher is slower",
			pace_steps:
				"the engine's token generation time relative to the service's estimate; 1 is equal, higher is slower",
			cached_tokens: "prompt tokens expected in the engine's prefix cache",
			copied_tokens: "prompt tokens to copy from another engine's prefix cache",
			copied_from: 'id of that engine',
			fleet_prompt_tokens: 'prompt tokens queued at the engine, as known to this VM',
			peers: 'VMs whose gossip is included; each is at most a few gossip intervals old',
			left_ms: "time left until the caller's deadline",
			last_event: 'event after which the stream is resumed',
			limit_per_s: "the engine's request limit per second, if it has one; a permit was granted",
			customer: 'name of the customer',
			urgency: 'urgency at the engine; 0 is the most urgent',
			configuration: 'version of the configuration used',
			engines_age_ms:
				'time since the list of engines was last known to be current; absent before the first list',
			engines_revision: 'revision of the store that the list of engines reflects',
		},
	},
	{
		name: 'request.retried',
		when: 'The request is sent to another engine.',
		fields: {
			...request,
			engine: 'id of the previous engine',
			reason: 'why that attempt failed',
			last_event: 'last event that the caller received',
		},
	},
	{
		name: 'request.replaced',
		when: 'Two engines worked on the request, since one was silent; the first to answer goes on and the other is cancelled.',
		fields: {
			...request,
			engine: 'id of the engine that is cancelled',
			by: 'id of the engine that goes on',
			reason: 'why: it answered first, or the silent engine went on itself',
			sent_ms: 'time since the request was sent to the cancelled engine',
			last_event: 'last event that the caller received',
		},
	},
	{
		name: 'request.not-replaced',
		when: 'No other engine takes over from one that is silent or failed. Logged when the reason changes; the request waits where it can.',
		fields: {
			...request,
			reason:
				'what is missing: an engine with room, a permit, the retry budget, or a clean record of the request',
		},
	},
	{
		name: 'request.defect',
		when: 'The relay itself failed to handle the request and ended it. Never expected.',
		fields: { ...request, error: 'the error and where it was raised' },
	},
	{
		name: 'request.broken',
		when: 'The connection to the engine failed, its answer cannot be used, or it was silent until another engine answered or the deadline passed.',
		fields: {
			...request,
			engine: 'id of the engine',
			via: 'the VM that forwarded the request, if any',
			reason: 'the failure',
			content:
				'hash of method, host, path, customer and body; identifies the same request under another id',
			parts: 'ids of the parts of its prompt that other requests may share, eight at most',
			sent_ms: 'time since the request was sent to the engine',
			running_ms: 'time since its first event, if there was one',
		},
	},
	{
		name: 'request.quarantined',
		when: 'The request is not sent, or not sent again, because its content or a part of its prompt crashed engines before. Its request.ended tells whether it has run.',
		fields: {
			request: 'id of the request',
			customer: 'name of the customer',
			content: 'hash of the content, as in quarantine.entered and request.broken',
			part: 'id of the prompt part, if it is refused for one',
		},
	},
	{
		name: 'quarantine.entered',
		when: 'Engines crashed while running requests with this content or prompt part; such requests are refused for ten minutes.',
		fields: {
			content: 'hash of the content',
			part: 'id of the prompt part, in place of a content; several joined by +, if only requests with all of them are refused',
			engines: 'number of engines that crashed, as known to this VM',
			source: '`news`: VMs saw the crashes; `store`: another VM recorded the content before',
		},
	},
	{
		name: 'quarantine.left',
		when: 'Such requests are accepted again: one was served, something else explains the crashes, an operator lifted it, or the time is over.',
		fields: {
			content: 'hash of the content',
			part: 'id of the prompt part, in place of a content',
		},
	},
	{
		name: 'quarantine.recorded',
		when: 'The quarantine is recorded in the store for VMs that start later.',
		fields: {
			content: 'hash of the content',
			part: 'id of the prompt part, in place of a content',
		},
	},
	{
		name: 'quarantine.lifted',
		when: 'An operator lifted the quarantine: the value of its entry in the store is `lifted`.',
		fields: {
			content: 'hash of the content',
			part: 'id of the prompt part, in place of a content',
		},
	},
	{
		name: 'quarantine.unrecorded',
		when: 'Quarantined contents and prompt parts could not be read from or written to the store; the call is retried after a second.',
		fields: {
			error: 'error of the store',
		},
	},
	{
		name: 'vm.stalled',
		when: 'The process did not run for a second or longer, though the VM was not suspended.',
		fields: {
			ms: 'duration',
		},
	},
	{
		name: 'vm.suspended',
		when: 'The VM was suspended, or its clock was set forward; data from the store is read again.',
		fields: {
			ms: 'duration',
		},
	},
	{
		name: 'request.ended',
		when: 'The caller received the last byte or disconnected. Level warn unless complete.',
		fields: {
			...request,
			outcome:
				'complete, engine-failure, refused, unknown (may have run), timed-out, cut, caller-left',
			reason: 'why, unless complete',
			not_replaced:
				'why no other engine took over before, if one was looked for; see request.not-replaced',
			status: 'status of an answer generated by the router',
			engines: 'engines that received bytes of the request',
			first_ms: 'from the request to the first byte of the answer',
			pause_ms: 'longest time between two writes of a streamed answer, at this VM',
			took_ms: 'from the request to its end',
		},
	},
	{
		name: 'request.denied',
		when: 'No route, no known key, no configuration yet, or the daemon is stopping.',
		fields: {
			request: request.request,
			status: 'status sent to the caller',
			reason: 'why',
			version: 'version of the configuration',
		},
	},
	{
		name: 'engine.closed',
		when: 'After failures the circuit breaker of the engine opens: no requests for 0.5 to 4 s, then one trial request.',
		fields: {
			...request,
			engine: 'id of the engine',
			reason: 'the last failure',
		},
	},
	{
		name: 'request.not-forwarded',
		when: 'Another VM did not send the request to the engine. The engine has not received it; it is sent another way.',
		fields: {
			...request,
			engine: 'id of the engine',
			via: 'the other VM',
			reason: 'why',
		},
	},
	{
		name: 'request.forwarded',
		when: 'Another VM, which has lost its link to the engine, asked this one to forward a request, and it is sent.',
		fields: {
			request: request.request,
			engine: 'id of the engine',
			sender: 'IP of the other VM',
			urgency: 'urgency at the engine; 0 is the most urgent',
		},
	},
	{
		name: 'request.forward-refused',
		when: 'A request was not forwarded. It has not been sent to the engine.',
		fields: {
			request: request.request,
			engine: 'id of the engine',
			sender: 'IP of whoever asked',
			reason: 'unknown-sender, cut-off, overloaded, stopping or engine-unavailable',
		},
	},
	{
		name: 'request.forward-ended',
		when: 'A forwarded request ended other than with a complete answer.',
		fields: {
			request: request.request,
			engine: 'id of the engine',
			outcome:
				'engine-unavailable or engine-unreachable (not sent), broken (the answer), or sender-left',
			reason: 'the failure',
		},
	},
	{
		name: 'engines.cut-off',
		when: 'This VM cannot open connections to most engines of a service. Either its own links are down or the engines are.',
		fields: {
			service: 'name of the service',
			probed: 'engines to which a connection was tried',
			failed: 'engines to which none could be opened',
		},
	},
	{
		name: 'engines.reached',
		when: 'This VM can open connections to the engines of the service again.',
		fields: {
			service: 'name of the service',
			probed: 'engines to which a connection was tried',
			failed: 'engines to which none could be opened',
		},
	},
	{
		name: 'engine.suspected',
		when: 'The engine failed requests of several VMs: this VM sends it none for a while, then a trial request.',
		fields: {
			engine: 'id of the engine',
			failed: 'requests that it failed in the last seconds, over all VMs',
			served: 'requests that it served in that time, as far as known',
			close_ms: 'how long it gets no requests',
		},
	},
	{
		name: 'engine.restored',
		when: 'A suspected engine has served a request, of this VM or another one.',
		fields: {
			engine: 'id of the engine',
		},
	},
	{
		name: 'engine.notice',
		when: 'The head of an answer carries a new engine notice: the engine drains, asks for a back-off, or sets, changes or removes its limit of requests per second.',
		fields: {
			...request,
			engine: 'id of the engine',
			status: 'status of that answer',
			leaving: 'whether the engine drains',
			rest_s: 'back-off: how long the engine wants no requests',
			limit_per_s:
				'requests per second that the engine accepts from all VMs together; absent without a limit',
		},
	},
	{
		name: 'engine.limit',
		when: 'The fleet learns of a new, changed or removed limit of an engine, from an answer of the engine or from another VM.',
		fields: {
			engine: 'id of the engine; a number while it is not registered',
			limit_per_s:
				'requests per second that it accepts from all VMs together; absent without a limit',
			version: 'number of changes; higher versions replace lower ones',
		},
	},
	{
		name: 'permits.issuer',
		when: 'Another VM, or this one, becomes the issuer of permits for engines with limits.',
		fields: {
			address: 'address at which the issuer receives messages of other VMs',
			term: 'increases with each new issuer',
		},
	},
	{
		name: 'permit.denied',
		when: 'The request got no permit for an engine with a limit; another engine is chosen, or the caller is refused with a retry time.',
		fields: {
			...request,
			engine: 'id of the engine',
			retry_ms: 'how long no request of this urgency asks for a permit there',
		},
	},
	{
		name: 'request.withdrawn',
		when: 'The engine left, asked for a back-off or set a limit while the connection was being established. Nothing was sent; an engine is chosen again.',
		fields: {
			...request,
			engine: 'id of the engine',
			draining: 'whether it drains or has left',
			limit_per_s: 'requests per second that the engine accepts, if it has a limit',
			rest_ms: 'remaining back-off',
		},
	},
	{
		name: 'engine.seen',
		when: 'An engine registered, or its registration says that it drains.',
		fields: {
			engine: 'id',
			service: 'its service',
			address: 'IP and port',
			domain: 'failure domain',
			draining: 'whether it accepts no new requests',
			revision: 'revision of the store',
		},
	},
	{
		name: 'engine.doubted',
		when: 'A registration that had ended reappeared in a store that was restored from an older copy; the engine is not used for a while.',
		fields: {
			engine: 'id',
			ms: 'how long, unless the registration is written again earlier',
		},
	},
	{
		name: 'engine.kept-leaving',
		when: 'A draining engine is registered as ready in a store that was restored from an older copy; it is not used.',
		fields: {
			engine: 'id',
		},
	},
	{
		name: 'engine.gone',
		when: 'An engine is no longer used.',
		fields: {
			engine: 'id',
			service: 'its service',
			reason: 'how this is known',
		},
	},
	{
		name: 'costs.learned',
		when: 'Every 5 seconds for each service of model engines: the estimates of its cost model.',
		fields: {
			service: 'its name',
			read_tokens_per_ms:
				'prompt tokens that an engine processes, including generation steps in between',
			first_ms: 'time to the first event in addition to prompt processing',
			copy_tokens_per_ms: 'tokens copied from another engine',
			copy_setup_ms: 'time before a copy starts',
			event_ms: 'pause between events of a stream while no prompt is processed',
			answer_ms_per_token: 'duration of a stream per expected answer token',
			held_ms: 'mean time from the first to the last event',
			observations: 'first events that this VM has observed since its start',
			peers: 'VMs that shared observations',
			paced: 'engines with a known pace of their own',
			turned: 'those whose pace changed recently by more than a factor of two',
			slowest: 'the slowest engine, with its pace of prompt processing and token generation',
		},
	},
	{
		name: 'vm.unreadable',
		when: "The value under a VM's key is not a valid registration; it is ignored.",
		fields: {
			key: 'key in the store',
			revision: 'of the store',
		},
	},
	{
		name: 'engine.unreadable',
		when: "The value under an engine's key is not a valid registration. Logged once per write.",
		fields: {
			key: 'key in the store',
			revision: 'of the store',
			error: 'what is wrong',
		},
	},
	{
		name: 'configuration.applied',
		when: 'A configuration version is in force on this VM.',
		fields: {
			version: 'version',
			source: 'the store or a peer',
			routes: 'number of routes',
			customers: 'number of customers',
		},
	},
	{
		name: 'configuration.unreadable',
		when: 'A configuration is invalid; the previous version stays in force.',
		fields: {
			source: 'where it came from',
			error: 'all findings',
		},
	},
	{
		name: 'store.reached',
		when: 'The store can be read, for the first time or again.',
		fields: {
			prefix: 'key prefix that is watched',
			revision: 'revision of the store',
			era: 'number of times the store was restored from an older copy',
		},
	},
	{
		name: 'store.unreadable',
		when: 'The store answered with an entry that names no key or no revision; it is ignored.',
		fields: {
			entry: 'as the store wrote it, cut off when it is long',
		},
	},
	{
		name: 'store.watch-dropped',
		when: 'A watch that may hang is given up, and the range is read again.',
		fields: {
			prefix: 'key prefix that is watched',
			waited_ms: 'time since the last answer to this watch or read',
			reason: 'why',
		},
	},
	{
		name: 'store.restored',
		when: 'The store was restored from an older copy. The VM writes its own entries again and keeps newer data that it knows.',
		fields: {
			era: 'number of times the store was restored from an older copy',
			era_before: 'era at the last read of the list of engines',
			revision_before: 'revision of the store at the last read of the list of engines',
			configuration: 'version in force, which is kept',
			duty_token: 'fencing token that this VM gives up, if it held the duty',
		},
	},
	{
		name: 'store.lost',
		when: 'The store cannot be read; the last known data stays in use.',
		fields: {
			prefix: 'key prefix that is watched',
			error: 'how the call failed',
		},
	},
	{
		name: 'store.reading',
		when: 'This VM starts or stops reading the store for the fleet.',
		fields: {
			reads: 'whether it reads the store now',
			peers: 'VMs seen recently',
		},
	},
	{
		name: 'vm.registered',
		when: 'This VM is registered in the store.',
		fields: {
			lease: 'id of the lease',
			taken_over: 'whether it continues the registration of the previous process',
		},
	},
	{
		name: 'vm.renewal-failed',
		when: 'The lease was not renewed; pending calls are dropped and retried.',
		fields: {
			reason: 'refused, unknown or lease-ended',
			error: 'how the call failed',
		},
	},
	{
		name: 'vm.refresh-failed',
		when: 'A VM that is not known as registered asked for something, and the registrations could not be read again.',
		fields: {
			reason: 'refused, unknown or lease-ended',
			error: 'how the call failed',
		},
	},
	{
		name: 'peer.seen',
		when: 'Gossip of a VM arrived for the first time, or again.',
		fields: {
			peer: 'its name',
			peers: 'known live VMs',
		},
	},
	{
		name: 'peer.lost',
		when: 'A VM is silent; its work is no longer counted.',
		fields: {
			peer: 'its name',
			peers: 'known live VMs',
		},
	},
	{
		name: 'news.aggregator',
		when: 'This VM reports its work to a different aggregator, or became one itself.',
		fields: {
			reports_to: 'address of the aggregator; absent while this VM is one itself',
			peers: 'known live VMs',
		},
	},
	{
		name: 'engines.copied',
		when: 'A list of engines was received from a peer that reads the store.',
		fields: {
			peer: 'its address',
			revision: 'revision of the store that the list now reflects',
			complete:
				'false when it lacked engines that this VM does not know, so that the whole list is fetched',
		},
	},
	{
		name: 'engines.unreadable',
		when: "A peer's list of engines is invalid; the previous list stays in use.",
		fields: {
			peer: 'its address',
			error: 'why',
		},
	},
	{
		name: 'peer.fetch-failed',
		when: 'A peer did not answer a request for the configuration or the engines.',
		fields: {
			peer: 'its address',
			path: 'requested path',
			error: 'how the call failed',
		},
	},
	{
		name: 'peers.unreadable',
		when: 'The first datagram that is not a message of this format.',
		fields: {
			from: 'its sender',
			bytes: 'its length',
		},
	},
	{
		name: 'peers.socket-failed',
		when: 'The gossip socket reported an error.',
		fields: {
			error: 'the error',
		},
	},
	{
		name: 'callers.memory-full',
		when: 'Callers hold as much memory, or as many sockets, as they may; a request was refused before its body was read.',
		fields: {
			held_bytes: 'bytes held',
			sockets: 'connections of callers, and requests that run',
		},
	},
	{
		name: 'callers.refused',
		when: 'A request was refused before it was read completely, or cannot be decoded.',
		fields: {
			request: 'id of the request, if its head was read',
			status: 'status of the answer',
			reason: 'why; the error of the HTTP parser where there is one',
		},
	},
	{
		name: 'callers.body-broken',
		when: 'A caller disconnected before its request was read completely (level debug).',
		fields: {
			error: 'the error',
			body_bytes: 'bytes read',
		},
	},
	{
		name: 'daemon.started',
		when: 'The daemon is listening.',
		fields: {
			callers_port: 'port for callers',
			domain: 'failure domain',
			took_ms: 'from the start of the process',
		},
	},
	{
		name: 'daemon.stopping',
		when: 'The stop signal was received.',
		fields: {
			requests: 'open requests',
		},
	},
	{
		name: 'daemon.stopped',
		when: 'The process ends.',
		fields: {
			took_ms: 'since the signal',
		},
	},
	{
		name: 'daemon.reloaded',
		when: 'Changed settings are in use.',
		fields: {
			seeds: 'seed nodes',
		},
	},
	{
		name: 'daemon.start-failed',
		when: 'The daemon cannot start, for example because another process uses one of its ports; the process exits.',
		fields: {
			error: 'what failed, with the address',
		},
	},
	{
		name: 'daemon.failed',
		when: 'An unexpected error ended a loop; the process exits and is restarted.',
		fields: {
			error: 'with its stack',
		},
	},
	{
		name: 'settings.finding',
		when: 'Changed settings are invalid; the previous ones stay in use.',
		fields: {
			finding: 'place and fault',
		},
	},
	{
		name: 'settings.unreadable',
		when: 'Changed settings cannot be read.',
		fields: {
			file: 'path',
			error: 'why',
		},
	},
	{
		name: 'duty.taken',
		when: 'This VM now holds the duty for the fleet: it reports usage and orders engines.',
		fields: {
			token: 'fencing token of its calls',
			lease: 'id of the lease in the store',
		},
	},
	{
		name: 'duty.lost',
		when: 'This VM no longer holds the duty.',
		fields: {
			token: 'its fencing token',
			reason: 'why',
		},
	},
	{
		name: 'duty.store-failed',
		when: 'A call to the store for the duty failed; it is retried.',
		fields: {
			reason: 'kind of failure',
			error: 'what happened',
		},
	},
	{
		name: 'duty.unanswered',
		when: "The platform's API did not answer a call; the call may still take effect.",
		fields: {
			path: 'requested path',
			reason: 'why',
		},
	},
	{
		name: 'usage.reported',
		when: 'The counts of a window were sent to the platform.',
		fields: {
			window: 'number of the window since 1970',
			customers: 'customers with requests in the window',
			requests: 'requests that started in the window',
			token: 'fencing token',
			answer: '`done`, `refused`, `busy` or `unknown`',
		},
	},
	{
		name: 'usage.late',
		when: 'The platform accepted the counts of a window after they were due.',
		fields: {
			window: 'its number',
			late_ms: 'how late',
		},
	},
	{
		name: 'usage.doubted',
		when: 'The store was restored from an older copy, and another VM held the duty: completed windows may have been reported already and are skipped.',
		fields: {
			before: 'number of the first window that is not skipped',
			era: 'era in which the reports in the store were written',
		},
	},
	{
		name: 'usage.unreadable',
		when: 'The record of earlier reports in the store is invalid; it is ignored.',
		fields: {
			error: 'what is wrong',
		},
	},
	{
		name: 'engines.ordered',
		when: 'A number of engines was ordered.',
		fields: {
			service: 'service of the engines',
			domain: 'failure domain',
			spot: 'whether they are spot engines, which can be preempted',
			count: 'number of engines that should exist',
			serving: 'engines of this kind that serve there now',
			wanted: 'engines that the service should have in total, with headroom for bursts',
			required: 'engines that the current load requires',
			busy: 'engines kept busy by the current load',
			token: 'fencing token',
			answer: '`done`, `refused` (or none available), `busy` or `unknown`',
		},
	},
	{
		name: 'clock.set',
		when: 'The clock by which windows are counted was wrong on this VM, compared to the other VMs.',
		fields: {
			difference_ms: 'correction',
		},
	},
	{
		name: 'log.thinned',
		when: 'An event was logged more often than its limit per second.',
		fields: {
			of: 'the event',
			lines: 'number of suppressed lines',
		},
	},
	{
		name: 'log.dropped',
		when: 'The log was not read fast enough.',
		fields: {
			lines: 'number of dropped lines',
		},
	},
];
