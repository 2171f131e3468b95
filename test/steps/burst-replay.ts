/**
 * A burst of long prompts that share parts, before engines with few slots, placed by many VMs that hear of each
 * other's work only by news: all in simulated time.
 * @module
 */
import { Engine } from '../../src/core/engines/engine.js';
import type { Placement, PlacementRequest } from '../../src/core/engines/placement.js';
import { EnginePlacement } from '../../src/core/engines/placement.js';
import type { PromptPart } from '../../src/core/relay/definitions.js';
import { BatchEngine } from '../stand-ins/batch-engine.js';
import { observed } from './observed-answer.js';
import { entry, sequence, unlimited } from './relay-fakes.js';
import type { SimulatedVm } from './simulated-fleet.js';
import { SimulatedFleet } from './simulated-fleet.js';

const service = 'pool';
const copyPerMs = 200;
const copySetupMs = 4;
/** Resolution of the replay. */
const stepMs = 5;
/** Of these every long prompt shares one, then one of its subjects'. */
const baseParts = 4;

interface Kind {
	ownTokens: number;
	answerTokens: number;
	targetMs: number;
	pauseMs: number;
}

/** What callers ask and what engines do. */
export interface Workload {
	slots: number;
	readPerMs: number;
	stepMs: number;
	subjects: number;
	baseTokens: number;
	subjectTokens: number;
	long: Kind;
	short: Kind;
}

/** Summaries of notices with a tight target, on engines with few slots. */
export const notices: Workload = {
	slots: 12,
	readPerMs: 42,
	stepMs: 5.5,
	subjects: 800,
	baseTokens: 2500,
	subjectTokens: 3800,
	long: { ownTokens: 2900, answerTokens: 50, targetMs: 600, pauseMs: 400 },
	short: { ownTokens: 630, answerTokens: 290, targetMs: 600, pauseMs: 250 },
};

/** Recaps of episodes that may take two seconds, beside questions that may take a quarter. */
export const recaps: Workload = {
	slots: 24,
	readPerMs: 61,
	stepMs: 3.1,
	subjects: 400,
	baseTokens: 500,
	subjectTokens: 4900,
	long: { ownTokens: 6600, answerTokens: 380, targetMs: 2000, pauseMs: 600 },
	short: { ownTokens: 630, answerTokens: 290, targetMs: 250, pauseMs: 150 },
};

export interface BurstOptions {
	workload: Workload;
	vms: number;
	domains: number;
	engines: number;
	longPerS: number;
	shortPerS: number;
	seconds: number;
	seed: number;
	/** Share of the engines that are so many times as slow as the others. */
	slowShare?: number;
	slower?: number;
	/** Customers who send alike; told apart when there are any. */
	customers?: number;
	/** The first of them sends so many times as many long prompts as the others. */
	rush?: number;
	/** For so many seconds. @default all */
	rushS?: number;
	/** Callers wait so long in all, in milliseconds, and come back once when they are told to; else they never do. */
	deadlineMs?: number;
	/** It repeats what is refused at once, so many times. */
	repeats?: number;
}

interface Arrival {
	at: number;
	isLong: boolean;
	customer?: number;
	/** It was refused before; what is left of its time, in milliseconds. */
	again?: { leftMs: number; parts: readonly PromptPart[] };
}

/** A prompt on its way to a VM. */
interface TriedPrompt {
	isLong: boolean;
	customer?: number;
	parts: readonly PromptPart[];
	leftMs: number;
}

export interface BurstTally {
	sent: number;
	inTime: number;
	refused: number;
	/** Of those that came back. */
	returned: number;
	refusedAgain: number;
	/** Tokens of shared parts that engines read though another had read them. */
	readAgain: number;
	read: number;
}

/** An engine and what it keeps of prompts. */
interface KeepingEngine {
	engine: Engine;
	batch: BatchEngine;
	kept: Set<string>;
	/** When the link of the engine is free for the next copy. */
	linkFreeAt: number;
}

export class BurstReplay {
	readonly long = noTally();
	readonly short = noTally();
	/** Long prompts by customer. */
	readonly byCustomer: BurstTally[] = [];
	private readonly fleet: SimulatedFleet;
	private readonly engines: KeepingEngine[] = [];
	private readonly placements = new Map<SimulatedVm, EnginePlacement>();
	private readonly everRead = new Set<string>();
	private readonly next: () => number;
	private number = 0;
	/** What is still to come, in order. */
	private waiting: Arrival[] = [];

	constructor(private readonly opts: BurstOptions) {
		this.next = sequence(opts.seed);
		this.fleet = new SimulatedFleet(opts.vms, opts.domains, opts.seed);
		for (let at = 0; at < opts.engines; at++) {
			const isSlow = at < opts.engines * (opts.slowShare ?? 0);
			this.engines.push(this.newEngine(`engine-${at}`, isSlow ? (opts.slower ?? 1) : 1));
		}
		const random = { next: this.next, hex: () => '' };
		for (const vm of this.fleet.vms) {
			this.placements.set(vm, new EnginePlacement(random, vm.fleet, vm.costs, () => false));
		}
	}

	play(): void {
		this.fleet.run(1500);
		const startAt = this.fleet.clock.now;
		this.waiting = this.arrivals().map((arrival) => ({ ...arrival, at: startAt + arrival.at }));
		for (let next = this.waiting.shift(); next; next = this.waiting.shift()) {
			this.runUntil(next.at);
			this.arrive(next);
		}
		this.runUntil(this.fleet.clock.now + 5000);
	}

	private runUntil(until: number): void {
		while (this.fleet.clock.now < until) {
			this.fleet.run(stepMs);
			for (const { batch } of this.engines) {
				batch.runUntil(this.fleet.clock.now);
			}
		}
	}

	private arrivals(): Arrival[] {
		const { longPerS, shortPerS, seconds, customers = 1, rush = 1, rushS = seconds } = this.opts;
		const all = [
			...this.arrivalsOf(longPerS).map((at) => ({ at, isLong: true, ...this.anyCustomer() })),
			...this.arrivalsOf(shortPerS).map((at) => ({ at, isLong: false, ...this.anyCustomer() })),
		];
		const more = (rush - 1) / customers;
		if (more > 0) {
			const rushing = this.arrivalsOf(longPerS * more).filter((at) => at <= rushS * 1000);
			all.push(...rushing.map((at) => ({ at, isLong: true, customer: 0 })));
		}
		return all.sort((a, b) => a.at - b.at);
	}

	private anyCustomer(): Pick<Arrival, 'customer'> {
		const { customers } = this.opts;
		return customers === undefined ? {} : { customer: Math.floor(this.next() * customers) };
	}

	private arrivalsOf(perS: number): number[] {
		const arrivals: number[] = [];
		for (let at = 0; at < this.opts.seconds * 1000; ) {
			at += (-Math.log(1 - this.next()) * 1000) / perS;
			arrivals.push(at);
		}
		return arrivals;
	}

	private arrive(arrival: Arrival): void {
		const { isLong, customer, again } = arrival;
		const { workload, repeats = 0, deadlineMs = Number.POSITIVE_INFINITY } = this.opts;
		const kind = isLong ? workload.long : workload.short;
		const tally = this.tallyOf(isLong, customer);
		const parts = again?.parts ?? this.partsOf(isLong, kind.ownTokens);
		const leftMs = again?.leftMs ?? deadlineMs;
		tally.sent += again ? 0 : 1;
		tally.returned += again ? 1 : 0;
		for (let tries = 1 + (customer === 0 ? repeats : 0); tries > 0; tries--) {
			const comeBackS = this.tryOnce({ isLong, customer, parts, leftMs }, tally);
			if (comeBackS === undefined) {
				return;
			}
			tally.refused++;
			if (again) {
				tally.refusedAgain++;
			} else if (this.opts.deadlineMs !== undefined) {
				this.comeBack(
					{ ...arrival, again: { leftMs: leftMs - comeBackS * 1000, parts } },
					comeBackS,
				);
			}
		}
	}

	private comeBack(arrival: Arrival, afterS: number): void {
		const at = this.fleet.clock.now + afterS * 1000;
		const before = this.waiting.findIndex((other) => other.at > at);
		this.waiting.splice(before < 0 ? this.waiting.length : before, 0, { ...arrival, at });
	}

	/** @returns when it may come back, in seconds; undefined when it is let in */
	private tryOnce(tried: TriedPrompt, tally: BurstTally): number | undefined {
		const { isLong, customer, parts, leftMs } = tried;
		const { workload } = this.opts;
		const kind = isLong ? workload.long : workload.short;
		const vm = this.fleet.vms[Math.floor(this.next() * this.opts.vms)] as SimulatedVm;
		const promptTokens = parts.reduce((sum, part) => sum + part.tokens, 0);
		const req: PlacementRequest = {
			service,
			parts,
			promptTokens,
			answerTokens: kind.answerTokens,
			targetMs: kind.targetMs,
			tightestPauseMs: workload.short.pauseMs,
			leastUrgent: isLong,
			tried: new Set(),
			...unlimited,
			leftMs,
			urgency: isLong ? 1 : 0,
			customer: customer === undefined ? undefined : `customer-${customer}`,
		};
		const engines = this.engines.map(({ engine }) => engine);
		const placement = this.placements.get(vm) as EnginePlacement;
		const placed = placement.choose(req, engines, this.fleet.clock.now);
		if ('refusal' in placed) {
			return placed.retryAfterS;
		}
		this.send(vm, req, placed, tally, kind.pauseMs);
		return undefined;
	}

	private tallyOf(isLong: boolean, customer: number | undefined): BurstTally {
		if (!isLong || customer === undefined) {
			return isLong ? this.long : this.short;
		}
		this.byCustomer[customer] ??= noTally();
		return this.byCustomer[customer];
	}

	private partsOf(isLong: boolean, ownTokens: number): PromptPart[] {
		const own = { id: `own-${this.number++}`, tokens: Math.round(this.sizeOf(ownTokens)) };
		if (!isLong) {
			return [{ id: 'greeting', tokens: 200 }, own];
		}
		const { subjects, baseTokens, subjectTokens } = this.opts.workload;
		const subject = Math.floor(this.next() ** 1.3 * subjects);
		return [
			{ id: `base-${subject % baseParts}`, tokens: baseTokens },
			{ id: `subject-${subject}`, tokens: subjectTokens },
			own,
		];
	}

	/** Sizes differ by up to four times either way. */
	private sizeOf(mean: number): number {
		return mean * 0.75 * Math.exp(1.4 * (this.next() + this.next() - 1));
	}

	private send(
		vm: SimulatedVm,
		req: PlacementRequest,
		placed: Placement,
		tally: BurstTally,
		pauseMs: number,
	): void {
		const target = this.engines.find(({ engine }) => engine === placed.engine) as KeepingEngine;
		const { promptTokens } = placed;
		const { id } = placed.engine;
		const shared = req.parts.slice(0, -1);
		vm.fleet.changeWork(id, { running: 1, promptTokens });
		vm.fleet.read(shared, id, false);
		vm.exchange.changed();
		const sentAt = this.fleet.clock.now;
		let isInTime = false;
		const request = observed(vm.costs, {
			service,
			sentAt,
			promptTokens,
			answerTokens: req.answerTokens,
			aheadTokens: placed.work.promptTokens,
			expectedTokens: req.answerTokens,
			onFirst: (delayMs) => {
				isInTime = delayMs <= req.targetMs;
				for (const part of shared) {
					target.kept.add(part.id);
				}
				vm.fleet.changeWork(id, { promptTokens: -promptTokens });
				vm.fleet.read(shared, id, true);
				vm.exchange.changed();
			},
			onEnd: () => {
				tally.inTime += isInTime ? 1 : 0;
				vm.fleet.changeWork(id, { running: -1 });
				vm.exchange.changed();
			},
		});
		let lastAt = Number.POSITIVE_INFINITY;
		const onEvent = (at: number) => {
			isInTime &&= at - lastAt <= pauseMs;
			lastAt = at;
			request.onEvent(at);
		};
		const unreadTokens = () => this.unreadOf(req, placed, target, tally);
		target.batch.send({ ...request, onEvent, unreadTokens });
	}

	/** Tokens to read when the engine lets the request in; a copy takes as long as reading some of them. */
	private unreadOf(
		req: PlacementRequest,
		placed: Placement,
		target: KeepingEngine,
		tally: BurstTally,
	): number {
		const source = this.engines.find(({ engine }) => engine === placed.copyFrom);
		let unread = req.parts.at(-1)?.tokens ?? 0;
		let copied = 0;
		for (const part of req.parts.slice(0, -1)) {
			if (target.kept.has(part.id)) {
				continue;
			}
			if (source?.kept.has(part.id)) {
				copied += part.tokens;
				continue;
			}
			unread += part.tokens;
			tally.readAgain += this.everRead.has(part.id) ? part.tokens : 0;
			this.everRead.add(part.id);
		}
		tally.read += unread;
		return (
			unread +
			(source && copied > 0 ? this.copyMs(source, copied) * this.opts.workload.readPerMs : 0)
		);
	}

	private copyMs(source: KeepingEngine, tokens: number): number {
		const { now } = this.fleet.clock;
		source.linkFreeAt = Math.max(source.linkFreeAt, now) + tokens / copyPerMs;
		return source.linkFreeAt - now + copySetupMs;
	}

	private newEngine(id: string, slower: number): KeepingEngine {
		const { workload } = this.opts;
		const batch = new BatchEngine({
			readPerMs: workload.readPerMs / slower,
			stepMs: workload.stepMs * slower,
			stepMsPerStream: 0.03 * slower,
			tokensPerEvent: 5,
			chunkTokens: 2048,
			slots: workload.slots,
			wayMs: 2,
		});
		// The engine's own clock begins with that of the fleet.
		batch.runUntil(this.fleet.clock.now);
		return { engine: new Engine(entry(id, workload.slots)), batch, kept: new Set(), linkFreeAt: 0 };
	}
}

function noTally(): BurstTally {
	return { sent: 0, inTime: 0, refused: 0, returned: 0, refusedAgain: 0, readAgain: 0, read: 0 };
}
