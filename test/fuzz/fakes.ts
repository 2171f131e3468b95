/**
 * In-memory fakes for tests: a manually advanced clock, endpoints whose answers the test drives,
 * and a key-value store that can be down or lose replies.
 * @module
 */
import type {
	AnswerSink,
	Clock,
	EndpointCall,
	EndpointClient,
	KvEntry,
	KvStore,
	KvSwapResult,
	LoadReport,
	Metrics,
	RunningCall,
} from '../../src/core/definitions.js';
import { callFailures, KvError } from '../../src/core/definitions.js';

export class FakeClock implements Clock {
	now = 1000;

	monotonic(): number {
		return this.now;
	}

	sinceBoot(): number {
		return this.now;
	}

	wall(): number {
		return 1_800_000_000_000 + this.now;
	}
}

export const noMetrics: Metrics = { count: () => {}, timing: () => {}, gauge: () => {} };

/** One run on a fake endpoint. */
export interface FakeRun {
	call: EndpointCall;
	sink: AnswerSink;
	nextTokenIndex: number;
	isOver: boolean;
}

/** Tokens in every complete answer. */
export const answerTokens = 4;

export class FakeEndpoints implements EndpointClient {
	readonly runs: FakeRun[] = [];
	/** Number of runs that reached an endpoint, by request id. */
	readonly runCounts = new Map<string, number>();
	readonly unreachableUrls = new Set<string>();

	open(call: EndpointCall, sink: AnswerSink): RunningCall {
		const run: FakeRun = { call, sink, nextTokenIndex: call.offset, isOver: false };
		if (this.unreachableUrls.has(call.url)) {
			run.isOver = true;
			queueMicrotask(() => sink.onError(callFailures.notSent, 'down'));
		} else {
			this.runs.push(run);
			this.runCounts.set(call.id, (this.runCounts.get(call.id) ?? 0) + 1);
		}
		const cancel = () => {
			run.isOver = true;
		};
		return { pause: () => {}, resume: () => {}, cancel };
	}

	fetchLoad(): Promise<LoadReport> {
		return Promise.resolve({ running: 0, waiting: 0, isDraining: false });
	}

	order(): Promise<number> {
		return Promise.resolve(200);
	}

	close(): Promise<void> {
		return Promise.resolve();
	}

	get activeRuns(): FakeRun[] {
		return this.runs.filter((run) => !run.isOver);
	}

	/** Emits the next token, or the end of the answer after the last one. */
	advance(run: FakeRun): void {
		run.sink.onHead(200, { 'content-type': 'text/event-stream' });
		if (run.nextTokenIndex < answerTokens) {
			run.nextTokenIndex++;
			run.sink.onEvents([{ data: `t${run.nextTokenIndex - 1}`, offset: run.nextTokenIndex }]);
			return;
		}
		run.isOver = true;
		run.sink.onEvents([{ data: '[DONE]' }]);
		run.sink.onEnd();
	}

	/** Fails a run as if its connection had broken. */
	break(run: FakeRun): void {
		run.isOver = true;
		run.sink.onError(callFailures.broken, 'cut');
	}
}

export class FakeKv implements KvStore {
	callCount = 0;
	isDown = false;
	/** Number of next writes that take effect and then fail with an error. */
	repliesToLose = 0;
	private readonly entries = new Map<string, KvEntry>();
	private rev = 0;

	async get(key: string): Promise<KvEntry | undefined> {
		this.recordCall();
		return this.entries.get(key);
	}

	async compareAndSwap(key: string, rev: number, value: string): Promise<KvSwapResult> {
		this.recordCall();
		const current = this.entries.get(key);
		if ((current?.rev ?? 0) !== rev) {
			return { swapped: false, current };
		}
		this.rev++;
		this.entries.set(key, { value, rev: this.rev });
		if (this.repliesToLose > 0) {
			this.repliesToLose--;
			throw new KvError('the reply was lost');
		}
		return { swapped: true, rev: this.rev };
	}

	watch(key: string): Promise<KvEntry | undefined> {
		return this.get(key);
	}

	grantLease(): Promise<string> {
		return Promise.resolve('lease');
	}

	renewLease(): Promise<boolean> {
		return Promise.resolve(true);
	}

	async revokeLease(): Promise<void> {}

	/** Deletes an entry, as when its lease expires. */
	expire(key: string): void {
		this.entries.delete(key);
	}

	private recordCall(): void {
		this.callCount++;
		if (this.isDown) {
			throw new KvError('down');
		}
	}
}
