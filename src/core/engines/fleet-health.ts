/**
 * Engines that fail the requests of several VMs at once, as the fleet's answers of the last seconds tell. Each VM alone needs some
 * failures to close an engine, and in a large fleet every VM would pay for them; together they need as many as one.
 *
 * The load it answers: many VMs, each with few requests to each engine, before engines that fail all or part of what they get
 * while their registration says that they are well.
 * @module
 */
import type { Clock, Log, Random } from '../definitions.js';
import type { EngineRef } from '../fleet/types.js';
import type { EngineAnswerCounts } from './recent-answers.js';
import {
	addAnswerCounts,
	areCountsEqual,
	emptyAnswerCounts,
	RecentAnswers,
} from './recent-answers.js';

/** Failures of the last seconds after which an engine is closed for the whole fleet: as many as one VM needs. */
const failuresToClose = 3;
/** And this share of its answers: callers that can be served elsewhere are not sent where one in four fails. */
const shareToClose = 0.25;
/** One VM that fails everywhere may be cut off itself. */
const vmsToClose = 2;
/** First and longest time that it stays closed, in milliseconds. The first is longer than answers are remembered and told. */
const firstCloseMs = 2500;
const maxCloseMs = 8000;
/** Within this time after it, VMs try the engine one after the other, in milliseconds: the first answers are heard meanwhile. */
const trialSpreadMs = 1000;
/** An engine on trial that nobody failed at for so long is as any other, in milliseconds. */
const trialMs = 10_000;
/** Engines that one datagram tells of, those that failed most: more have another cause than the engines. */
const rowsEach = 24;
/** Where more engines than this share of a service are closed, what fails is not the engines. */
const mostClosedShare = 0.5;

/** An engine that was closed, until it has served again. */
interface Verdict {
	closeMs: number;
	closedUntil: number;
	/** When this VM may try it. */
	trialAt: number;
}

/** An engine, by what names it in messages. */
interface Referred {
	ref: EngineRef;
}

export interface FleetHealthOptions {
	clock: Clock;
	log: Log;
	random: Random;
	/** VMs that are heard, this one included. */
	countLiveVms: () => number;
	/** Something is to be told to the other VMs. */
	onUpdate: () => void;
	engineId: (ref: EngineRef) => string | undefined;
}

/** What is told to other VMs, and heard of them. */
export interface AnswerGossip {
	/** @param names VMs whose answers are added to those of this VM */
	export(names: readonly string[]): EngineAnswerCounts[];
	/**
	 * @param isTotal the rows contain this VM's own answers
	 * @returns whether they differ from what was told before
	 */
	merge(from: string, rows: readonly EngineAnswerCounts[], isTotal: boolean): boolean;
	removePeer(from: string): void;
}

export class FleetHealth implements AnswerGossip {
	private readonly own: RecentAnswers;
	private readonly told = new Map<string, ToldAnswers>();
	private readonly verdicts = new Map<EngineRef, Verdict>();

	constructor(private readonly opts: FleetHealthOptions) {
		this.own = new RecentAnswers(opts.clock);
	}

	/** The engine failed a request of this VM, or could not be reached. */
	recordFailure({ ref }: Referred): void {
		this.own.recordFailure(ref);
		this.judge(ref);
		this.opts.onUpdate();
	}

	/** The engine served a request of this VM to its end. */
	recordSuccess({ ref }: Referred): void {
		this.own.recordSuccess(ref);
		if (this.verdicts.has(ref)) {
			this.judge(ref);
			this.opts.onUpdate();
		}
	}

	/**
	 * Engines that the fleet's answers do not speak against; all of them where these would be too few.
	 * @param engines those of one service that may be given work otherwise
	 */
	filterAvailable<T extends Referred>(engines: readonly T[]): readonly T[] {
		if (this.verdicts.size === 0) {
			return engines;
		}
		const { now } = this;
		const open = engines.filter(({ ref }) => now >= (this.verdicts.get(ref)?.trialAt ?? now));
		return open.length < engines.length * mostClosedShare ? engines : open;
	}

	export(names: readonly string[]): EngineAnswerCounts[] {
		const told = names.map((name) => this.told.get(name));
		const rows: EngineAnswerCounts[] = [];
		for (const ref of this.doubted()) {
			const row = emptyAnswerCounts(ref);
			addAnswerCounts(row, this.own.of(ref));
			for (const answers of told) {
				addAnswerCounts(row, answers?.rows.get(ref));
			}
			if (row.failed > 0 || row.served > 0) {
				rows.push(row);
			}
		}
		return rows.sort((a, b) => b.failed - a.failed).slice(0, rowsEach);
	}

	merge(from: string, rows: readonly EngineAnswerCounts[], isTotal: boolean): boolean {
		const before = this.told.get(from)?.rows;
		const isNew = rows.some((row) => !areCountsEqual(row, before?.get(row.engine)));
		if (rows.length === 0) {
			this.told.delete(from);
			return false;
		}
		this.told.set(from, { rows: new Map(rows.map((row) => [row.engine, row])), isTotal });
		for (const { engine } of rows) {
			this.judge(engine);
		}
		return isNew;
	}

	removePeer(from: string): void {
		this.told.delete(from);
	}

	/** Forgets what is old; called each second. */
	sweep(): void {
		this.own.sweep();
		for (const [ref, { closedUntil }] of this.verdicts) {
			if (this.now - closedUntil > trialMs) {
				this.verdicts.delete(ref);
			}
		}
	}

	private get now(): number {
		return this.opts.clock.monotonic();
	}

	/** Engines of which any VM tells a failure, or that are closed or on trial. */
	private doubted(): ReadonlySet<EngineRef> {
		const refs = new Set([...this.own.failingEngines(), ...this.verdicts.keys()]);
		for (const { rows } of this.told.values()) {
			for (const ref of rows.keys()) {
				refs.add(ref);
			}
		}
		return refs;
	}

	/** Answers of the whole fleet. */
	private totalOf(ref: EngineRef): EngineAnswerCounts {
		const sum = emptyAnswerCounts(ref);
		const own = this.own.of(ref);
		addAnswerCounts(sum, own);
		for (const { rows, isTotal } of this.told.values()) {
			const row = rows.get(ref);
			if (isTotal && row) {
				// The sums contain what this VM told of its own, which may be a little older than what it knows.
				sum.failed = Math.max(own.failed, row.failed);
				sum.served = Math.max(own.served, row.served);
				sum.failingVms = Math.max(own.failingVms, row.failingVms);
			} else {
				addAnswerCounts(sum, row);
			}
		}
		return sum;
	}

	private judge(ref: EngineRef): void {
		const total = this.totalOf(ref);
		const verdict = this.verdicts.get(ref);
		if (!verdict) {
			if (this.failsFleet(total)) {
				this.close(ref, total, firstCloseMs);
			}
		} else if (this.now >= verdict.closedUntil) {
			this.judgeTrial(ref, total, verdict);
		}
	}

	/** What was remembered when it was closed is forgotten by now: every answer is one of the trial. */
	private judgeTrial(ref: EngineRef, total: EngineAnswerCounts, { closeMs }: Verdict): void {
		if (total.failed > 0) {
			this.close(ref, total, Math.min(closeMs * 2, maxCloseMs));
		} else if (total.served > 0) {
			this.verdicts.delete(ref);
			this.opts.log.info('engine.restored', { engine: this.opts.engineId(ref) });
		}
	}

	private failsFleet({ failed, served, failingVms }: EngineAnswerCounts): boolean {
		const vms = Math.min(vmsToClose, this.opts.countLiveVms());
		const share = failed / (failed + served);
		return failed >= failuresToClose && share >= shareToClose && failingVms >= vms;
	}

	private close(ref: EngineRef, { failed, served }: EngineAnswerCounts, closeMs: number): void {
		const closedUntil = this.now + closeMs;
		const trialAt = closedUntil + this.opts.random.next() * trialSpreadMs;
		this.verdicts.set(ref, { closeMs, closedUntil, trialAt });
		this.opts.log.warn('engine.suspected', {
			engine: this.opts.engineId(ref),
			failed,
			served,
			close_ms: closeMs,
		});
	}
}

/** What one VM told last. */
interface ToldAnswers {
	rows: ReadonlyMap<EngineRef, EngineAnswerCounts>;
	isTotal: boolean;
}
