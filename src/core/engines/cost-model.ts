/**
 * Estimates the cost of work on the engines of each service from the answers that this VM relays and from the
 * observations that other VMs gossip. Placement, partitioning and refusals rely on these estimates.
 * @module
 */
import type { EngineRef } from '../fleet/types.js';
import * as rendezvous from '../membership/rendezvous.js';
import { EnginePaces } from './engine-paces.js';
import type { LineSums } from './estimators.js';
import { addLineSums, emptyLineSums, LineEstimator, QuantileEstimator } from './estimators.js';
import type { CostEstimates } from './work-estimate.js';
import { effectiveTokens, readingMs, scaleByPace } from './work-estimate.js';

/**
 * Estimates used until observations arrive: the middle of published figures of large models on current accelerators (40 to 70
 * prompt tokens a millisecond, a token each 3 to 6 ms, 3 to 6 tokens an event, copies over 200 to 700 Gbit/s at 160 to 320 KiB a
 * token).
 */
const prior = {
	readMsPerToken: 0.02,
	firstEventOverheadMs: 10,
	copyMsPerToken: 0.008,
	copySetupMs: 4,
	eventIntervalMs: 20,
	tokensPerEvent: 4.5,
	slotOccupancyMs: 1000,
};
/** Weight of the prior of a line at each of its ends, in observations. */
const priorObservations = 3;
/** Tokens of a typical long prompt: the far end of the prior line. */
const priorTokens = 3000;
/** Below this number of tokens all delays are equally noisy, as overhead dominates the reading. */
const noiseFloorTokens = 500;
/** Decay of the observations of one VM, in observations: a few seconds of traffic, so that a release of faster engines shows. */
const decayObservations = 150;
/** Quantile of the pauses that represents an undisturbed one: longer pauses overlap the reading of prompts. */
const undisturbedQuantile = 0.3;
/** Relative step of the pause estimate once it is settled: follows a lasting change within some 50 events. */
const pauseStep = 0.03;
const pauseSettledAfter = 100;
/** Weight of the prior of tokens per event, in events. */
const priorEvents = 50;
/** Decay of the counts of events and tokens, in events. */
const decayEvents = 1000;

/** Weight of one answer in the moving average of slot occupancy. */
const occupancyWeight = 0.02;

/** Observations of a service's engines, as sums that can be added up across VMs. */
export interface CostSums {
	/** 32-bit hash that identifies the service in messages. */
	service: number;
	reading: LineSums;
	copying: LineSums;
	/** Undisturbed pause between two events in milliseconds, and the number of events it is based on. */
	eventIntervalMs: number;
	eventWeight: number;
	/** Events of completed answers, and the tokens that were expected of them. */
	events: number;
	expectedTokens: number;
}

/** Time to the first event of a request, with the work that was known to precede it. */
export interface FirstEventObservation {
	/** Prompt tokens that the engine had to read for the request itself. */
	promptTokens: number;
	/** Prompt tokens of other requests that were queued at the engine when the request was sent. */
	aheadTokens: number;
	copiedTokens: number;
	/** From sending the request to its first event, in milliseconds. */
	delayMs: number;
	engine: EngineRef;
	/** When the first event arrived, in monotonic milliseconds. */
	at: number;
	/** Whether the engine was known to have no free slot when the request was sent. */
	isQueued: boolean;
}

/** Pause between two events of a stream whose caller reads without delay. */
export interface PauseObservation {
	ms: number;
	engine: EngineRef;
	/** When the pause ended, in monotonic milliseconds. */
	at: number;
	/** Undisturbed pause in milliseconds, when `UndisturbedPauseFilter` returned one. */
	undisturbedMs?: number;
}

/** A stream that ran to its end. */
export interface CompletedAnswer {
	events: number;
	/** Tokens that were expected of it. */
	expectedTokens: number;
	/** From the first event to the last, in milliseconds. */
	slotOccupancyMs: number;
}

class ServiceCosts {
	private readonly reading = new LineEstimator(
		line(prior.firstEventOverheadMs, prior.readMsPerToken),
		decayObservations,
	);
	private readonly copying = new LineEstimator(
		line(prior.copySetupMs, prior.copyMsPerToken),
		decayObservations,
	);
	private readonly pause = new QuantileEstimator(
		prior.eventIntervalMs,
		undisturbedQuantile,
		pauseStep,
		pauseSettledAfter,
	);
	private events = 0;
	private expectedTokens = 0;
	private slotOccupancyMs = prior.slotOccupancyMs;
	private readonly peerSums = new Map<string, CostSums>();
	private totalPeerSums: Omit<CostSums, 'service'> = emptyCostSums();
	private cached?: CostEstimates;
	/** First events that this VM observed since its start. */
	observations = 0;

	constructor(private readonly ref: number) {}

	/** Number of VMs whose observations are included. */
	get peers(): number {
		return this.peerSums.size;
	}

	estimates(): CostEstimates {
		this.cached ??= this.compute();
		return this.cached;
	}

	recordFirstEvent(observation: FirstEventObservation): void {
		const ownTokens = effectiveTokens(observation.promptTokens);
		if (observation.aheadTokens > ownTokens) {
			// The cost of queued prompts is uncertain: they may be overtaken, or read already.
			return;
		}
		this.observations++;
		const tokens = ownTokens + observation.aheadTokens;
		if (observation.copiedTokens === 0) {
			this.reading.add(tokens, observation.delayMs, this.totalPeerSums.reading);
		} else {
			const { readMsPerToken, firstEventOverheadMs } = this.estimates();
			const copyMs = observation.delayMs - firstEventOverheadMs - tokens * readMsPerToken;
			this.copying.add(observation.copiedTokens, copyMs, this.totalPeerSums.copying);
		}
		this.cached = undefined;
	}

	recordPause(ms: number): void {
		this.pause.add(ms);
		this.cached = undefined;
	}

	recordAnswer(answer: CompletedAnswer): void {
		const { events, expectedTokens, slotOccupancyMs } = answer;
		this.slotOccupancyMs += (slotOccupancyMs - this.slotOccupancyMs) * occupancyWeight;
		const decay = Math.max(0, 1 - events / decayEvents);
		this.events = this.events * decay + events;
		this.expectedTokens = this.expectedTokens * decay + expectedTokens;
		this.cached = undefined;
	}

	/** @param vmNames VMs whose sums are added to those of this VM */
	export(vmNames: readonly string[]): CostSums {
		const peers = vmNames.flatMap((name) => this.peerSums.get(name) ?? []);
		return { service: this.ref, ...sumOf([this.ownSums(), ...peers]) };
	}

	/** Whether this VM or any of the named ones has observations. */
	hasObservations(vmNames: readonly string[]): boolean {
		return this.observations > 0 || vmNames.some((name) => this.peerSums.has(name));
	}

	merge(peer: string, sums: CostSums): void {
		this.peerSums.set(peer, sums);
		this.updatePeerSums();
	}

	removePeer(peer: string): void {
		if (this.peerSums.delete(peer)) {
			this.updatePeerSums();
		}
	}

	private updatePeerSums(): void {
		this.totalPeerSums = sumOf(this.peerSums.values());
		this.cached = undefined;
	}

	private ownSums(): CostSums {
		return {
			service: this.ref,
			reading: this.reading.sums,
			copying: this.copying.sums,
			eventIntervalMs: this.pause.value,
			eventWeight: this.pause.weight,
			events: this.events,
			expectedTokens: this.expectedTokens,
		};
	}

	private compute(): CostEstimates {
		const { totalPeerSums } = this;
		const reading = this.reading.fit(totalPeerSums.reading);
		const copying = this.copying.fit(totalPeerSums.copying);
		const eventIntervalMs = meanInterval(this.pause, totalPeerSums);
		const events = priorEvents + this.events + totalPeerSums.events;
		const tokens =
			priorEvents * prior.tokensPerEvent + this.expectedTokens + totalPeerSums.expectedTokens;
		return {
			readMsPerToken: reading.slope,
			firstEventOverheadMs: reading.base,
			copyMsPerToken: copying.slope,
			copySetupMs: copying.base,
			eventIntervalMs,
			answerMsPerToken: (eventIntervalMs * events) / tokens,
			slotOccupancyMs: this.slotOccupancyMs,
		};
	}
}

export class CostModel {
	/** Pace of each engine relative to the estimates of its service. */
	readonly paces = new EnginePaces();
	private readonly services = new Map<number, ServiceCosts>();

	/** Estimates for a service; those of the prior before any observation. */
	of(service: string): CostEstimates {
		return this.costsOf(rendezvous.hashText(service)).estimates();
	}

	/** Estimates for one engine of a service, scaled by its current pace. */
	ofEngine(service: string, engine: EngineRef, now: number): CostEstimates {
		return scaleByPace(this.of(service), this.paces.getPace(service, engine, now));
	}

	/** Counts the first events that this VM observed, and the VMs whose observations are included. */
	sources(service: string): { observations: number; peers: number } {
		const { observations, peers } = this.costsOf(rendezvous.hashText(service));
		return { observations, peers };
	}

	/** Updates the pace of the engine, and the service's estimates by the delay of an engine of nominal pace. */
	recordFirstEvent(service: string, observation: FirstEventObservation): void {
		const { engine, at, delayMs } = observation;
		const { reading } = this.paces.getPace(service, engine, at);
		this.recordPace(service, observation);
		const costs = this.costsOf(rendezvous.hashText(service));
		costs.recordFirstEvent({ ...observation, delayMs: delayMs / reading });
	}

	/** Updates pace and estimates like `recordFirstEvent`. */
	recordPause(service: string, { ms, engine, at, undisturbedMs }: PauseObservation): void {
		const costs = this.costsOf(rendezvous.hashText(service));
		const { steps } = this.paces.getPace(service, engine, at);
		if (undisturbedMs !== undefined) {
			this.paces.recordPause(
				service,
				engine,
				undisturbedMs / costs.estimates().eventIntervalMs,
				at,
			);
		}
		costs.recordPause(ms / steps);
	}

	recordAnswer(service: string, answer: CompletedAnswer): void {
		this.costsOf(rendezvous.hashText(service)).recordAnswer(answer);
	}

	/** @param vmNames VMs whose sums are added to those of this VM */
	export(vmNames: readonly string[]): CostSums[] {
		return [...this.services.values()]
			.filter((costs) => costs.hasObservations(vmNames))
			.map((costs) => costs.export(vmNames));
	}

	/** Replaces the sums that another VM sent before. */
	merge(peer: string, received: readonly CostSums[]): void {
		for (const sums of received) {
			this.costsOf(sums.service).merge(peer, sums);
		}
	}

	/** Drops the sums of another VM. The engine paces that it sent decay on their own. */
	removePeer(peer: string): void {
		for (const costs of this.services.values()) {
			costs.removePeer(peer);
		}
	}

	private recordPace(service: string, observation: FirstEventObservation): void {
		const { engine, at, delayMs, promptTokens, aheadTokens, copiedTokens, isQueued } = observation;
		if (isQueued || copiedTokens > 0) {
			return;
		}
		const costs = this.of(service);
		const ownMs = costs.firstEventOverheadMs + readingMs(costs, promptTokens);
		const expectedMs = ownMs + aheadTokens * costs.readMsPerToken;
		// The more of the delay is due to queued prompts, the less the observation weighs.
		this.paces.recordFirstEvent(service, engine, delayMs / expectedMs, ownMs / expectedMs, at);
	}

	private costsOf(ref: number): ServiceCosts {
		let costs = this.services.get(ref);
		if (!costs) {
			costs = new ServiceCosts(ref);
			this.services.set(ref, costs);
		}
		return costs;
	}
}

function line(base: number, slope: number) {
	return {
		base,
		slope,
		observations: priorObservations,
		referenceX: priorTokens,
		noiseFloor: noiseFloorTokens,
	};
}

function emptyCostSums(): Omit<CostSums, 'service'> {
	const pause = { eventIntervalMs: 0, eventWeight: 0 };
	return {
		reading: emptyLineSums(),
		copying: emptyLineSums(),
		...pause,
		events: 0,
		expectedTokens: 0,
	};
}

function sumOf(all: Iterable<CostSums>): Omit<CostSums, 'service'> {
	const sum = emptyCostSums();
	for (const one of all) {
		addLineSums(sum.reading, one.reading);
		addLineSums(sum.copying, one.copying);
		sum.eventIntervalMs += one.eventIntervalMs * one.eventWeight;
		sum.eventWeight += one.eventWeight;
		sum.events += one.events;
		sum.expectedTokens += one.expectedTokens;
	}
	sum.eventIntervalMs /= Math.max(1, sum.eventWeight);
	return sum;
}

/** Mean of this VM's pause and those of its peers, weighted by events. */
function meanInterval(
	own: QuantileEstimator,
	peers: { eventIntervalMs: number; eventWeight: number },
): number {
	const ownWeight = Math.max(1, own.weight);
	const sum = own.value * ownWeight + peers.eventIntervalMs * peers.eventWeight;
	return sum / (ownWeight + peers.eventWeight);
}
