/**
 * Steps that replay an overload on engines in simulated time, with cost estimates updated meanwhile.
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
import { observedRequest } from './observed-request.js';
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
/** Results before this time are ignored, while cost estimates converge. */
const warmupS = 4;

/** A kind of request, with times for engines of nominal pace. */
interface Kind {
	name: string;
	perS: number;
	promptTokens: number;
	answerTokens: number;
	targetMs: number;
	isLeastUrgentTier: boolean;
}

const chat: Kind = {
	name: 'chat',
	perS: 20,
	promptTokens: 600,
	answerTokens: 200,
	targetMs: 250,
	isLeastUrgentTier: false,
};
const letter: Kind = {
	name: 'letter',
	perS: 45,
	promptTokens: 6500,
	answerTokens: 120,
	targetMs: 1500,
	isLeastUrgentTier: true,
};
const pauseMs = 150;

interface Tally {
	sent: number;
	refused: number;
	inTime: number;
}

/** One request of the trace: its time for engines of nominal pace, and its size relative to its kind. */
interface Arrival {
	kind: Kind;
	atMs: number;
	sizeFactor: number;
}

function traceOf(seed: number): Arrival[] {
	const next = seededRandom(seed);
	const arrivals: Arrival[] = [];
	for (const kind of [chat, letter]) {
		let atMs = 0;
		while (atMs < seconds * 1000) {
			atMs += (-Math.log(1 - next()) * 1000) / kind.perS;
			arrivals.push({ kind, atMs, sizeFactor: Math.exp(next() - 0.5) });
		}
	}
	return arrivals.sort((a, b) => a.atMs - b.atMs);
}

/**
 * Replays the trace on engines of a given pace. Times, targets and pauses are scaled by it, so that the same decisions are
 * expected.
 */
class Replay {
	readonly tallies = new Map<string, Tally>();
	private readonly clock = new ManualClock();
	private readonly costs = new CostModel();
	private readonly fleet: FleetView;
	private readonly engines: Engine[] = [];
	private readonly batches = new Map<string, BatchEngine>();
	private readonly placement: EnginePlacement;

	constructor(private readonly pace: number) {
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
			getStoreStatus: () => undefined,
		});
		const random = { next: () => 0.5, hex: () => '' };
		this.placement = new EnginePlacement(random, this.fleet, this.costs, () => false);
		for (let index = 0; index < engineCount; index++) {
			this.engines.push(new Engine(entry(`engine-${index}`, 64)));
			this.batches.set(`engine-${index}`, new BatchEngine(this.engineOptions()));
		}
	}

	play(arrivals: readonly Arrival[]): void {
		for (const [index, arrival] of arrivals.entries()) {
			const now = arrival.atMs * this.pace;
			this.runUntil(now);
			this.clock.now = now;
			this.request(arrival, now, index);
		}
		this.runUntil((seconds + 60) * 1000 * this.pace);
	}

	private engineOptions() {
		return {
			prefillTokensPerMs: 45 / this.pace,
			stepMs: 4.5 * this.pace,
			stepMsPerStream: 0.025 * this.pace,
			tokensPerEvent: 4,
			prefillChunkTokens: 1024,
			slots: 64,
			networkDelayMs: 1,
		};
	}

	private runUntil(now: number): void {
		for (const batch of this.batches.values()) {
			batch.runUntil(now);
		}
	}

	private request({ kind, atMs, sizeFactor }: Arrival, now: number, index: number): void {
		const promptTokens = Math.round(kind.promptTokens * sizeFactor);
		const targetMs = kind.targetMs * this.pace;
		const req: PlacementRequest = {
			service,
			promptSegments: [
				{ id: `${index}-a`, tokens: 10 },
				{ id: `${index}-b`, tokens: promptTokens - 10 },
			],
			promptTokens,
			answerTokens: kind.answerTokens,
			targetMs,
			minTargetPauseMs: pauseMs * this.pace,
			isLeastUrgent: kind.isLeastUrgentTier,
			tried: new Set(),
			...unlimited,
		};
		const placed = this.placement.choose(req, this.engines, now);
		const tally = this.tallyOf(kind);
		const isCounted = atMs > warmupS * 1000;
		tally.sent += isCounted ? 1 : 0;
		if ('refusal' in placed) {
			tally.refused += isCounted ? 1 : 0;
			return;
		}
		this.send(req, placed.engine, now, (delayMs) => {
			tally.inTime += isCounted && delayMs <= targetMs ? 1 : 0;
		});
	}

	private send(
		req: PlacementRequest,
		{ id: engineId, ref, registration: { slots } }: Engine,
		now: number,
		onFirst: (delayMs: number) => void,
	): void {
		const { promptTokens, answerTokens } = req;
		const { promptTokens: aheadTokens, running } = this.fleet.getWork(engineId);
		this.fleet.changeWork(engineId, { running: 1, promptTokens });
		const request = observedRequest(this.costs, {
			service,
			sentAt: now,
			promptTokens,
			answerTokens,
			aheadTokens,
			engine: ref,
			isQueued: running >= slots,
			isBesidePrompts: () => this.fleet.getWork(engineId).promptTokens > 0,
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
	'the same overload is replayed on engines of pace 0.5, 1 and 2',
	function (this: FleetWorld) {
		const trace = traceOf(11);
		const tallies = [0.5, 1, 2].map((pace) => {
			const replay = new Replay(pace);
			replay.play(trace);
			return replay.tallies;
		});
		this.state.set('tallies', tallies);
	},
);

function shares(world: FleetWorld, name: string, field: keyof Tally): number[] {
	const tallies = seen<Map<string, Tally>[]>(world, 'tallies');
	return tallies.map((each) => {
		const tally = each.get(name) as Tally;
		return (100 * tally[field]) / tally.sent;
	});
}

cucumber.Then(
	'in each replay at least {int} % of the chats are in time and none is refused',
	function (this: FleetWorld, min: number) {
		const inTime = shares(this, chat.name, 'inTime');
		assert.ok(Math.min(...inTime) >= min, inTime.join(', '));
		assert.deepEqual(shares(this, chat.name, 'refused'), [0, 0, 0]);
	},
);

cucumber.Then(
	'in each replay {int} to {int} % of the letters are refused, within {int} points of each other',
	function (this: FleetWorld, min: number, max: number, maxSpread: number) {
		const refused = shares(this, letter.name, 'refused');
		const text = refused.join(', ');
		assert.ok(Math.min(...refused) >= min && Math.max(...refused) <= max, text);
		assert.ok(Math.max(...refused) - Math.min(...refused) <= maxSpread, text);
	},
);

cucumber.Then(
	'in each replay at least {int} % of the accepted letters are in time',
	function (this: FleetWorld, min: number) {
		const refused = shares(this, letter.name, 'refused');
		const inTime = shares(this, letter.name, 'inTime');
		const ofAccepted = inTime.map((share, index) => (100 * share) / (100 - (refused[index] ?? 0)));
		assert.ok(Math.min(...ofAccepted) >= min, ofAccepted.join(', '));
	},
);
