/**
 * Steps that replay an overload: placement before engines in simulated time, with its costs learned meanwhile.
 * @module
 */
import * as assert from 'node:assert/strict';
import * as cucumber from '@cucumber/cucumber';
import { CostModel } from '../../src/core/engines/cost-model.js';
import { Engine } from '../../src/core/engines/engine.js';
import { EnginePlacement } from '../../src/core/engines/placement.js';
import type { PlacementRequest } from '../../src/core/engines/placement-types.js';
import { FleetView } from '../../src/core/fleet/fleet-view.js';
import { BatchEngine } from '../stand-ins/batch-engine.js';
import { observed } from './observed-answer.js';
import {
	entry,
	ManualClock,
	noAnswerGossip,
	noCrashes,
	noLimitGossip,
	seededRandom,
	seen,
	silentLog,
	unlimited,
} from './relay-fakes.js';
import type { FleetWorld } from './world.js';

const service = 'pool';
const engineCount = 6;
const seconds = 14;
/** Results of the first seconds are left out: costs are learned there. */
const learnedAfterS = 4;

/** A kind of request as engines of usual speed are asked it. */
interface Kind {
	name: string;
	perS: number;
	promptTokens: number;
	answerTokens: number;
	targetMs: number;
	leastUrgent: boolean;
}

const chat: Kind = {
	name: 'chat',
	perS: 20,
	promptTokens: 600,
	answerTokens: 200,
	targetMs: 250,
	leastUrgent: false,
};
const letter: Kind = {
	name: 'letter',
	perS: 45,
	promptTokens: 6500,
	answerTokens: 120,
	targetMs: 1500,
	leastUrgent: true,
};
const pauseMs = 150;

interface Tally {
	sent: number;
	refused: number;
	inTime: number;
}

/** One request of the trace: its time on engines of usual speed, and how its size differs from its kind's. */
interface Arrival {
	kind: Kind;
	atMs: number;
	size: number;
}

function traceOf(seed: number): Arrival[] {
	const next = seededRandom(seed);
	const arrivals: Arrival[] = [];
	for (const kind of [chat, letter]) {
		let atMs = 0;
		while (atMs < seconds * 1000) {
			atMs += (-Math.log(1 - next()) * 1000) / kind.perS;
			arrivals.push({ kind, atMs, size: Math.exp(next() - 0.5) });
		}
	}
	return arrivals.sort((a, b) => a.atMs - b.atMs);
}

/**
 * Plays the trace on engines that are slower by a factor; times, targets and pauses are longer by the same, so
 * that the same decisions should come out.
 */
class Replay {
	readonly tallies = new Map<string, Tally>();
	private readonly clock = new ManualClock();
	private readonly costs = new CostModel();
	private readonly fleet: FleetView;
	private readonly engines: Engine[] = [];
	private readonly batches = new Map<string, BatchEngine>();
	private readonly placement: EnginePlacement;

	constructor(private readonly slower: number) {
		this.fleet = new FleetView({
			self: 'vm-1',
			address: '10.0.0.1:1',
			incarnation: 1,
			clock: this.clock,
			log: silentLog,
			costs: this.costs,
			answers: noAnswerGossip,
			onNewerConfiguration() {},
			onStoreStatus() {},
			crashes: noCrashes(),
			limits: noLimitGossip,
			storeStatus: () => undefined,
		});
		const random = { next: () => 0.5, hex: () => '' };
		this.placement = new EnginePlacement(random, this.fleet, this.costs, () => false);
		for (let at = 0; at < engineCount; at++) {
			this.engines.push(new Engine(entry(`engine-${at}`, 64)));
			this.batches.set(`engine-${at}`, new BatchEngine(this.speed()));
		}
	}

	play(arrivals: readonly Arrival[]): void {
		for (const [number, arrival] of arrivals.entries()) {
			const now = arrival.atMs * this.slower;
			this.runUntil(now);
			this.clock.now = now;
			this.request(arrival, now, number);
		}
		this.runUntil((seconds + 60) * 1000 * this.slower);
	}

	private speed() {
		return {
			readPerMs: 45 / this.slower,
			stepMs: 4.5 * this.slower,
			stepMsPerStream: 0.025 * this.slower,
			tokensPerEvent: 4,
			chunkTokens: 1024,
			slots: 64,
			wayMs: 1,
		};
	}

	private runUntil(now: number): void {
		for (const batch of this.batches.values()) {
			batch.runUntil(now);
		}
	}

	private request({ kind, atMs, size }: Arrival, now: number, number: number): void {
		const promptTokens = Math.round(kind.promptTokens * size);
		const targetMs = kind.targetMs * this.slower;
		const req: PlacementRequest = {
			service,
			segments: [
				{ id: `${number}-a`, tokens: 10 },
				{ id: `${number}-b`, tokens: promptTokens - 10 },
			],
			promptTokens,
			answerTokens: kind.answerTokens,
			targetMs,
			tightestPauseMs: pauseMs * this.slower,
			isLeastUrgentTier: kind.leastUrgent,
			tried: new Set(),
			...unlimited,
		};
		const placed = this.placement.choose(req, this.engines, now);
		const tally = this.tallyOf(kind);
		const counts = atMs > learnedAfterS * 1000;
		tally.sent += counts ? 1 : 0;
		if ('refusal' in placed) {
			tally.refused += counts ? 1 : 0;
			return;
		}
		this.send(req, placed.engine, now, (delayMs) => {
			tally.inTime += counts && delayMs <= targetMs ? 1 : 0;
		});
	}

	private send(
		req: PlacementRequest,
		{ id: engineId, ref, registration: { slots } }: Engine,
		now: number,
		onFirst: (delayMs: number) => void,
	): void {
		const { promptTokens, answerTokens } = req;
		const { promptTokens: aheadTokens, running } = this.fleet.workAt(engineId);
		this.fleet.changeWork(engineId, { running: 1, promptTokens });
		const request = observed(this.costs, {
			service,
			sentAt: now,
			promptTokens,
			answerTokens,
			aheadTokens,
			engine: ref,
			isQueued: running >= slots,
			isBesidePrompts: () => this.fleet.workAt(engineId).promptTokens > 0,
			expectedTokens: answerTokens,
			onFirst: (delayMs) => {
				this.fleet.changeWork(engineId, { promptTokens: -promptTokens });
				onFirst(delayMs);
			},
			onEnd: () => this.fleet.changeWork(engineId, { running: -1 }),
		});
		this.batches.get(engineId)?.send(request);
	}

	private tallyOf(kind: Kind): Tally {
		const tally = this.tallies.get(kind.name) ?? { sent: 0, refused: 0, inTime: 0 };
		this.tallies.set(kind.name, tally);
		return tally;
	}
}

cucumber.When(
	'the same overload is replayed on engines of half, usual and double time',
	function (this: FleetWorld) {
		const trace = traceOf(11);
		const tallies = [0.5, 1, 2].map((slower) => {
			const replay = new Replay(slower);
			replay.play(trace);
			return replay.tallies;
		});
		this.seen.set('tallies', tallies);
	},
);

function shares(world: FleetWorld, name: string, part: keyof Tally): number[] {
	const tallies = seen<Map<string, Tally>[]>(world, 'tallies');
	return tallies.map((each) => {
		const tally = each.get(name) as Tally;
		return (100 * tally[part]) / tally.sent;
	});
}

cucumber.Then(
	'each time at least {int} % of the chats are in time and none is refused',
	function (this: FleetWorld, least: number) {
		const inTime = shares(this, chat.name, 'inTime');
		assert.ok(Math.min(...inTime) >= least, inTime.join(', '));
		assert.deepEqual(shares(this, chat.name, 'refused'), [0, 0, 0]);
	},
);

cucumber.Then(
	'each time {int} to {int} % of the letters are refused, within {int} points of each other',
	function (this: FleetWorld, least: number, most: number, apart: number) {
		const refused = shares(this, letter.name, 'refused');
		const text = refused.join(', ');
		assert.ok(Math.min(...refused) >= least && Math.max(...refused) <= most, text);
		assert.ok(Math.max(...refused) - Math.min(...refused) <= apart, text);
	},
);

cucumber.Then(
	'each time at least {int} % of the other letters are in time',
	function (this: FleetWorld, least: number) {
		const refused = shares(this, letter.name, 'refused');
		const inTime = shares(this, letter.name, 'inTime');
		const ofTaken = inTime.map((share, at) => (100 * share) / (100 - (refused[at] ?? 0)));
		assert.ok(Math.min(...ofTaken) >= least, ofTaken.join(', '));
	},
);
