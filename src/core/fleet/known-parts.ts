/**
 * What is known of the prompt parts that engines keep, and which of it is still to be told to others.
 * @module
 */
import type { PromptPart } from '../relay/definitions.js';
import type { KeptTokens } from './prompt-cache-map.js';
import { PromptCacheMap } from './prompt-cache-map.js';
import { refOf } from './refs.js';
import type { EngineRef, PartRead, PeerNews } from './types.js';
import { newsKinds } from './types.js';

/** A part's use is told again when the last word on it is so old, in milliseconds. */
const tellAgainMs = 4000;
/** Words that wait to be told at the most: a part that is not told of is read twice. */
const maxWaiting = 200;

export class KnownParts {
	/** Words that wait for the aggregator, or the other aggregators. */
	readonly up: PartRead[] = [];
	/** Words that wait for the VMs that report here. */
	readonly down: PartRead[] = [];
	private readonly cache = new PromptCacheMap();

	/**
	 * The engine will read these parts for a request of this VM, or has read them.
	 * @param isDone the first event after them has come
	 */
	read(parts: readonly PromptPart[], engineKey: string, isDone: boolean, now: number): void {
		const engine = refOf(engineKey);
		for (const { id } of parts) {
			const read = { part: refOf(id), engine, isDone };
			const known = this.cache.note(read, now);
			const isNews = !known || known.ageMs > tellAgainMs || (isDone && !known.isDone);
			if (isNews) {
				enqueue(read, this.up, this.down);
			}
		}
	}

	/** Takes in what others tell, and passes it on to those who do not hear them. */
	take(news: PeerNews, now: number): void {
		for (const read of news.reads) {
			this.cache.note(read, now);
			if (news.kind === newsKinds.report) {
				enqueue(read, this.up, this.down);
			} else if (news.kind === newsKinds.group) {
				enqueue(read, this.down);
			}
		}
	}

	/** How much of the start of a prompt each engine is believed to keep; those that keep nothing are left out. See `PromptCacheMap`. */
	keptBy(
		parts: readonly PromptPart[],
		heldMs: number,
		now: number,
	): ReadonlyMap<EngineRef, KeptTokens> {
		const known = parts.map(({ id, tokens }) => ({ ref: refOf(id), tokens }));
		return this.cache.keptBy(known, heldMs, now);
	}

	/** No VM reports here. */
	clearDown(): void {
		this.down.length = 0;
	}

	forgetEngine(engine: EngineRef): void {
		this.cache.forgetEngine(engine);
	}
}

function enqueue(read: PartRead, ...queues: PartRead[][]): void {
	for (const queue of queues) {
		if (queue.length < maxWaiting) {
			queue.push(read);
		}
	}
}
