/**
 * Steps about a reader of the store that compares its engines with those of its peers. Time is simulated.
 * @module
 */
import * as assert from 'node:assert/strict';
import * as cucumber from '@cucumber/cucumber';
import type { ContentState } from '../../src/core/store/missed-changes.js';
import { MissedChanges } from '../../src/core/store/missed-changes.js';
import { seen } from './relay-fakes.js';
import type { FleetWorld } from './world.js';

/** Pause of each reader after a change. */
const pauseMs = 500;
/** Interval between gossip of a reader without changes. */
const gossipMs = 400;
const tickMs = 10;

/** A reader of the store; its digest is that of the changes it received. */
interface Reader extends ContentState {
	pausedUntil: number;
	gossipAt: number;
}

class Readers {
	now = 0;
	revision = 1;
	hangs = false;
	leavesOut = false;
	/** When the reader first heard of a change that it did not have, and when it was told so. */
	heardAt?: number;
	missedAt?: number;
	private readonly missed = new MissedChanges(pauseMs);
	private readonly own: Reader = { revision: 1, digest: 1, pausedUntil: 0, gossipAt: 0 };
	private readonly peers: Reader[];

	constructor(count: number) {
		this.peers = Array.from({ length: count }, (_, index) => ({
			...this.own,
			pausedUntil: index * 130,
			gossipAt: index * 90,
		}));
	}

	/** @param changeEachMs interval between changes of the engines; undefined for none */
	run(ms: number, changeEachMs?: number): void {
		for (const end = this.now + ms; this.now < end; this.now += tickMs) {
			if (changeEachMs !== undefined && this.now % changeEachMs === 0) {
				this.revision++;
			}
			if (!this.hangs && this.receive(this.own) && this.leavesOut) {
				this.own.digest = -1;
				this.leavesOut = false;
			}
			for (const [index, peer] of this.peers.entries()) {
				this.gossip(`peer-${index}`, peer);
			}
			const waitingSince = this.now < this.own.pausedUntil ? undefined : this.own.pausedUntil;
			if (this.missed.isOverdue({ ...this.own, waitingSince }, this.now)) {
				this.missedAt ??= this.now;
			}
		}
	}

	/** @returns whether the reader received a change */
	private receive(reader: Reader): boolean {
		if (reader.revision === this.revision || this.now < reader.pausedUntil) {
			return false;
		}
		reader.revision = this.revision;
		reader.digest = this.revision;
		reader.pausedUntil = this.now + pauseMs;
		return true;
	}

	private gossip(address: string, peer: Reader): void {
		if (this.receive(peer) || this.now >= peer.gossipAt) {
			peer.gossipAt = this.now + gossipMs;
			this.missed.observe(address, this.own, peer, this.now);
			if (peer.digest !== this.own.digest) {
				this.heardAt ??= this.now;
			}
		}
	}
}

const readersOf = (world: FleetWorld) => seen<Readers>(world, 'readers');

cucumber.Given(
	'a reader with {int} peers, each of which receives changes at its own moment',
	function (this: FleetWorld, peers: number) {
		this.state.set('readers', new Readers(peers));
	},
);

cucumber.Given('the watch of the reader hangs', function (this: FleetWorld) {
	readersOf(this).hangs = true;
});

cucumber.Given('the watch of the reader leaves out the next change', function (this: FleetWorld) {
	readersOf(this).leavesOut = true;
});

cucumber.When(
	'the engines change each {int} ms for {int} ms',
	function (this: FleetWorld, eachMs: number, ms: number) {
		readersOf(this).run(ms, eachMs);
	},
);

cucumber.When('{int} ms pass without a change', function (this: FleetWorld, ms: number) {
	readersOf(this).run(ms);
});

cucumber.Then('the reader never missed a change', function (this: FleetWorld) {
	assert.equal(readersOf(this).missedAt, undefined);
});

cucumber.Then(
	'the reader missed a change within {int} ms of hearing of it',
	function (this: FleetWorld, ms: number) {
		const { heardAt, missedAt } = readersOf(this);
		assert.ok(heardAt !== undefined && missedAt !== undefined);
		assert.ok(missedAt - heardAt <= ms, `${missedAt - heardAt} ms`);
	},
);
