/**
 * Every event that a relaying daemon logs, with its fields. docs/LOGS.md is made from here.
 * @module
 */

export interface LogEvent {
	name: string;
	/** When it is written. */
	when: string;
	/** Fields beside time, level, event and vm. */
	fields: Readonly<Record<string, string>>;
}

const request = { request: "the caller's id of the request", route: 'name of its route' };

export const logEvents: readonly LogEvent[] = [
	{
		name: 'request.held',
		when: 'A request that came before configuration and engines were known goes on.',
		fields: { request: 'id of the request', held_ms: 'how long it waited' },
	},
	{
		name: 'request.placed',
		when: 'An engine was chosen and the request is sent there.',
		fields: {
			...request,
			engine: 'id of the engine',
			reason: 'what decided, with the wait expected there',
			fleet_running: 'requests of the whole fleet at that engine, as known here',
			fleet_memory_tokens:
				'tokens of its memory that these requests need, as estimated; 0 where memory is not known',
			memory_need_tokens: 'tokens that this request needs there',
			memory_room_tokens:
				'tokens left for it beside what is kept for answers that grow; negative when full',
			memory_wait_ms: 'time until as much memory comes free',
			unread_tokens: 'tokens of the prompt that it will have to read',
			wait_ms: 'time until its first event, as estimated',
			read_ms_per_token: 'what reading a token was estimated to cost; see costs.learned',
			cached_tokens: 'tokens of the prompt that the engine is believed to keep',
			copied_tokens: 'tokens of the prompt that it should copy from another engine',
			copied_from: 'id of that engine',
			fleet_prompt_tokens: 'prompt tokens that wait there, as known here',
			peers: 'VMs whose news that knowledge includes; each is at most a few news intervals old',
			left_ms: "what is left of the caller's time",
			last_event: 'the stream goes on behind this event',
			limit_per_s: 'requests a second that the engine names, if it does; a permit was got',
			customer: 'name of the customer',
			urgency: 'urgency at the engine, 0 first',
			configuration: 'version that decided',
		},
	},
	{
		name: 'request.retried',
		when: 'It goes to a further engine.',
		fields: {
			...request,
			engine: 'engine before',
			reason: 'why not that one',
			last_event: 'last event that the caller has',
		},
	},
	{
		name: 'request.broken',
		when: 'The engine broke off, or its answer cannot be used.',
		fields: {
			...request,
			engine: 'id of the engine',
			reason: 'what was seen',
			content:
				'stands for method, host, path, customer and body: the same for a request that comes again under another id',
			sent_ms: 'time since it was sent there',
			running_ms: 'time since its first event, if one came',
		},
	},
	{
		name: 'request.quarantined',
		when: 'It is refused: its content crashed engines before. It has not run.',
		fields: {
			request: 'id of the request',
			customer: 'name of the customer',
			content: 'what it asks, as in quarantine.entered and request.broken',
		},
	},
	{
		name: 'quarantine.entered',
		when: 'Engines ended under a content; it is kept from engines for ten minutes.',
		fields: {
			content: 'stands for what such requests ask',
			engines: 'engines that ended under it, as known here',
			source: 'news: VMs saw them end; store: another VM recorded it before',
		},
	},
	{
		name: 'quarantine.left',
		when: 'A content is let through again: it was served, another explains the ends, or its time is over.',
		fields: { content: 'stands for what such requests ask' },
	},
	{
		name: 'quarantine.recorded',
		when: 'The store holds it for VMs that start.',
		fields: { content: 'stands for what such requests ask' },
	},
	{
		name: 'quarantine.unrecorded',
		when: 'The store did not tell or take contents; it is asked again after a second.',
		fields: { error: 'what the store said' },
	},
	{
		name: 'vm.suspended',
		when: 'The VM was suspended, or its time of day was set forward; what the store told is read again.',
		fields: { ms: 'for how long' },
	},
	{
		name: 'request.ended',
		when: 'The caller got its last byte, or went away. A warning unless complete.',
		fields: {
			...request,
			outcome:
				'complete, engine-failure, refused, unknown (may have run), timed-out, cut, caller-left',
			reason: 'why, unless complete',
			status: 'status of an answer of our own',
			engines: 'engines that bytes of it were sent to',
			first_ms: 'from the request to the first byte of its answer',
			pause_ms: 'longest time between two parts of a streamed answer, at this VM',
			took_ms: 'from the request to its end',
		},
	},
	{
		name: 'request.denied',
		when: 'No route, no known key, no configuration yet, or the daemon stops.',
		fields: {
			request: request.request,
			status: 'status told',
			reason: 'why',
			version: 'configuration',
		},
	},
	{
		name: 'engine.closed',
		when: 'After failures the engine gets no work for 0.5 to 4 s, then one request to try it.',
		fields: { ...request, engine: 'id of the engine', reason: 'the last failure' },
	},
	{
		name: 'engine.notice',
		when: 'The head of an answer says something new of its engine: that it leaves, wants rest, or names (or no longer names) the requests a second that it takes.',
		fields: {
			...request,
			engine: 'id of the engine',
			status: 'status of that answer',
			leaving: 'the engine leaves',
			rest_s: 'the engine wants no request for so long',
			limit_per_s:
				'requests a second that the engine takes from all VMs together; left out when it names no limit',
		},
	},
	{
		name: 'engine.limit',
		when: 'The fleet hears that an engine names another limit than before, or none any more; from its own answer or from another VM.',
		fields: {
			engine: 'id of the engine; a number while it is not registered',
			limit_per_s:
				'requests a second that it takes from all VMs together; left out when it names no limit',
			version: 'how often that changed; higher ones replace lower ones',
		},
	},
	{
		name: 'permits.issuer',
		when: 'Another VM, or this one, issues the permits for engines that name limits.',
		fields: {
			address: 'where that VM hears the others',
			term: 'rises with each that takes over',
		},
	},
	{
		name: 'permit.denied',
		when: 'The request got no permit for the engine, which names a limit; another engine is chosen, or the caller is told when to come back.',
		fields: {
			...request,
			engine: 'id of the engine',
			retry_ms: 'for so long no request of its urgency asks there',
		},
	},
	{
		name: 'request.withdrawn',
		when: 'Its engine asked for rest, or named a limit, while the connection came up. Nothing was sent; an engine is chosen anew.',
		fields: {
			...request,
			engine: 'id of the engine',
			limit_per_s: 'requests a second that the engine names, if it does',
			rest_ms: 'for how long it still wants no request',
		},
	},
	{
		name: 'engine.seen',
		when: 'An engine registered, or says that it leaves.',
		fields: {
			engine: 'id',
			service: 'its service',
			address: 'IP and port',
			domain: 'failure domain',
			draining: 'it takes nothing new',
			revision: 'revision of the store',
		},
	},
	{
		name: 'engine.doubted',
		when: 'A registration that had ended stands again in a store that came back from an older copy; it is not used for a while.',
		fields: { engine: 'id', ms: 'for how long, unless it is written anew before' },
	},
	{
		name: 'engine.kept-leaving',
		when: 'An engine that leaves reads as ready in a store that came back from an older copy; it is not used.',
		fields: { engine: 'id' },
	},
	{
		name: 'engine.gone',
		when: 'An engine is no longer used.',
		fields: { engine: 'id', service: 'its service', reason: 'how this is known' },
	},
	{
		name: 'costs.learned',
		when: 'Each 5 seconds, for each service of model engines: what work there is estimated to cost.',
		fields: {
			service: 'its name',
			read_tokens_per_ms: 'prompt tokens that an engine reads, steps between included',
			first_ms: 'time to a first event beyond reading',
			copy_tokens_per_ms: 'tokens that an engine copies from another',
			copy_setup_ms: 'time before a copy begins',
			event_ms: 'pause between events of a stream beside which no prompt is read',
			answer_ms_per_token: 'time of a stream for each token expected of its answer',
			held_ms: 'time from first to last event, in the mean',
			observations: 'first events that this VM has seen since its start',
			peers: 'VMs that told what they have seen',
		},
	},
	{
		name: 'vm.unreadable',
		when: 'What stands under the key of a VM is no registration of one; it is passed over.',
		fields: { key: 'key in the store', revision: 'of the store' },
	},
	{
		name: 'engine.unreadable',
		when: 'A registration is not an engine’s: it names no engine. Once for each time it is written.',
		fields: { key: 'key in the store', revision: 'of the store', error: 'what is wrong' },
	},
	{
		name: 'configuration.applied',
		when: 'A version is in force on this VM.',
		fields: {
			version: 'version',
			source: 'the store or a peer',
			routes: 'number of routes',
			customers: 'number of customers',
		},
	},
	{
		name: 'configuration.unreadable',
		when: 'A configuration cannot be understood; the version before stays in force.',
		fields: { source: 'where it came from', error: 'all findings' },
	},
	{
		name: 'store.reached',
		when: 'The store can be read, first or again.',
		fields: {
			prefix: 'keys that are followed',
			revision: 'revision of the store',
			era: 'how often it has come back from an older copy',
		},
	},
	{
		name: 'store.restored',
		when: 'The store came back from an older copy. The VM writes again what it had written there, and keeps what it knows that is newer.',
		fields: {
			era: 'how often the store has come back from an older copy',
			era_before: 'the same as the list of engines showed it',
			revision_before: 'revision of the store that the list of engines showed',
			configuration: 'version in force, which stays',
			duty_token: 'fencing token that this VM gives up, if it held the duty',
		},
	},
	{
		name: 'store.lost',
		when: 'The store cannot be read; what is known stays in use.',
		fields: { prefix: 'keys that are followed', error: 'how the call failed' },
	},
	{
		name: 'store.reading',
		when: 'This VM takes up or lays down reading the store for the fleet.',
		fields: { reads: 'whether it reads the store now', peers: 'VMs heard of lately' },
	},
	{
		name: 'vm.registered',
		when: 'This VM is listed in the store.',
		fields: {
			lease: 'id of the lease',
			taken_over: 'whether it goes on with the registration of the process before',
		},
	},
	{
		name: 'vm.renewal-failed',
		when: 'The lease was not renewed; calls that hang are dropped and made again.',
		fields: { reason: 'refused, unknown or lease-ended', error: 'how the call failed' },
	},
	{
		name: 'peer.seen',
		when: 'A VM was heard for the first time, or again.',
		fields: { peer: 'its name', peers: 'VMs heard of' },
	},
	{
		name: 'peer.lost',
		when: 'A VM fell silent; its work is no longer counted.',
		fields: { peer: 'its name', peers: 'VMs heard of' },
	},
	{
		name: 'news.aggregator',
		when: 'This VM reports its work to another aggregator than before, or became one itself.',
		fields: {
			reports_to: 'the aggregator’s address; none while it is one itself',
			peers: 'VMs heard of',
		},
	},
	{
		name: 'engines.unreadable',
		when: 'A peer’s list of engines cannot be understood; the list before stays.',
		fields: { peer: 'its address', error: 'why' },
	},
	{
		name: 'peer.fetch-failed',
		when: 'A peer did not answer a question for configuration or engines.',
		fields: { peer: 'its address', path: 'what was asked for', error: 'how the call failed' },
	},
	{
		name: 'peers.unreadable',
		when: 'The first datagram that is no news of this format.',
		fields: { bytes: 'its length' },
	},
	{
		name: 'peers.socket-failed',
		when: 'The socket for news reported an error.',
		fields: { error: 'the error' },
	},
	{
		name: 'callers.memory-full',
		when: 'Bodies of requests fill their bound; a request was refused unread.',
		fields: { held_bytes: 'bytes held' },
	},
	{
		name: 'callers.body-broken',
		when: 'A caller went away before its request was read whole (level debug).',
		fields: { error: 'the error', body_bytes: 'bytes read' },
	},
	{
		name: 'daemon.started',
		when: 'The daemon listens.',
		fields: {
			callers_port: 'port for callers',
			domain: 'failure domain',
			took_ms: 'from the start of the process',
		},
	},
	{ name: 'daemon.stopping', when: 'The stop signal came.', fields: { requests: 'still open' } },
	{ name: 'daemon.stopped', when: 'The process ends.', fields: { took_ms: 'since the signal' } },
	{
		name: 'daemon.reloaded',
		when: 'Changed settings are in use.',
		fields: { seeds: 'peers to ask first' },
	},
	{
		name: 'daemon.failed',
		when: 'A defect ended a loop; the process ends and is started anew.',
		fields: { error: 'with its stack' },
	},
	{
		name: 'settings.finding',
		when: 'Changed settings are wrong; those before stay in use.',
		fields: { finding: 'place and fault' },
	},
	{
		name: 'settings.unreadable',
		when: 'Changed settings cannot be read.',
		fields: { file: 'path', error: 'why' },
	},
	{
		name: 'duty.taken',
		when: 'This VM acts for the whole fleet from now on: it reports usage and orders engines.',
		fields: { token: 'fencing token of its calls', lease: 'of the store' },
	},
	{
		name: 'duty.lost',
		when: 'This VM no longer acts for the whole fleet.',
		fields: { token: 'that it had', reason: 'why' },
	},
	{
		name: 'duty.store-failed',
		when: 'A call to the store for the duty failed; it is tried again.',
		fields: { reason: 'kind of failure', error: 'what happened' },
	},
	{
		name: 'duty.unanswered',
		when: 'The platform’s API did not answer a call; it may still be carried out.',
		fields: { path: 'what was called', reason: 'why' },
	},
	{
		name: 'usage.reported',
		when: 'The counts of a window were sent to the platform.',
		fields: {
			window: 'its number since 1970',
			customers: 'with requests in it',
			requests: 'that began in it',
			token: 'fencing token',
			answer: '`done`, `refused`, `busy` or `unknown`',
		},
	},
	{
		name: 'usage.late',
		when: 'The platform took the counts of a window after they were due.',
		fields: { window: 'its number', late_ms: 'how much too late' },
	},
	{
		name: 'usage.doubted',
		when: 'The store came back from an older copy, and another VM held the duty: windows that were over may have been reported, and are given up.',
		fields: {
			before: 'number of the first window that is not',
			era: 'in which the store’s reports were written',
		},
	},
	{
		name: 'usage.unreadable',
		when: 'What the store holds of earlier reports is none; it is passed over.',
		fields: { error: 'what is wrong' },
	},
	{
		name: 'engines.ordered',
		when: 'A number of engines was ordered.',
		fields: {
			service: 'whose engines',
			domain: 'failure domain',
			spot: 'whether of the kind that may be taken away',
			count: 'engines there should be',
			serving: 'engines of the kind that serve there now',
			wanted: 'engines that the service should have in all, with room for bursts',
			required: 'engines that what callers bring now takes',
			busy: 'engines kept busy by what callers bring now',
			token: 'fencing token',
			answer: '`done`, `refused` (or none to be had), `busy` or `unknown`',
		},
	},
	{
		name: 'clock.set',
		when: 'The time by which windows are counted was wrong on this VM, as the others say.',
		fields: { difference_ms: 'by how much it was set' },
	},
	{
		name: 'log.thinned',
		when: 'More lines of one event came than pass in a second.',
		fields: { of: 'the event', lines: 'lines left out' },
	},
	{
		name: 'log.dropped',
		when: 'Nobody read the log fast enough.',
		fields: { lines: 'lines dropped' },
	},
];
