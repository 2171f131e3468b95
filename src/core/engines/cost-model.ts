/**
 * What work costs on the engines of each service, learned from the answers that this VM passes on and from
 * what other VMs tell. Decisions about waiting, division and refusal rest on these figures alone.
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
 * Figures before anything was seen: the middle of what published figures of large models on current
 * accelerators give (40 to 70 prompt tokens a millisecond, a token each 3 to 6 ms, 3 to 6 tokens an event, copies over
 * 200 to 700 Gbit/s at 160 to 320 KiB a token). They weigh as much as a few observations.
 */
const prior = {
	readMsPerToken: 0.02,
	firstMs: 10,
	copyMsPerToken: 0.008,
	copySetupMs: 4,
	eventMs: 20,
	tokensPerEvent: 4.5,
	heldMs: 1000,
};
/** The prior of a line counts as so many observations at each of its ends. */
const priorObservations = 3;
/** Tokens of a usual long prompt: the far end of the prior line. */
const priorTokens = 3000;
/** Delays of fewer tokens than this are equally uncertain: the rest of a delay hides the reading. */
const unitTokens = 500;
/** Observations of one VM that count: a few seconds of traffic, so that a release of faster engines shows. */
const keepObservations = 150;
/** Share of pauses that are shorter than an engine's undisturbed pause: the others have prompts read beside them. */
const undisturbedShare = 0.3;
/** A settled pause follows a lasting change within some 50 events, and stays within 3 % of it otherwise. */
const pauseStep = 0.03;
const pauseSettled = 100;
/** The prior of tokens an event counts as so many events. */
const priorEvents = 50;
/** Events of one VM that count for their tokens: some twenty answers. */
const keepEvents = 1000;

/** Share of the mean time in a slot that one answer makes up. */
const heldShare = 0.02;

/** What one VM has seen of a service's engines, for others to add up. */
export interface CostSums {
	/** 32 bits that stand for the service in messages. */
	service: number;
	reading: LineSums;
	copying: LineSums;
	/** Undisturbed pause between two events in milliseconds, and the events behind it. */
	eventIntervalMs: number;
	eventWeight: number;
	/** Events of whole answers, and the tokens that were expected of them. */
	events: number;
	expectedTokens: number;
}

/** One first event: what was to be read before it, as far as was known, and how long it took. */
export interface FirstEventObservation {
	/** Prompt tokens that the engine had to read for the request itself. */
	promptTokens: number;
	/** Prompt tokens of others that waited there when the request was sent. */
	aheadTokens: number;
	copiedTokens: number;
	/** From sending to the first event, in milliseconds. */
	delayMs: number;
	engine: EngineRef;
	/** When the first event came, in monotonic milliseconds. */
	at: number;
	/** The engine had no free slot for it when it was sent, as far as was known. */
	isQueued: boolean;
}

/** One pause between two events of a stream that its caller reads at once. */
export interface PauseObservation {
	ms: number;
	engine: EngineRef;
	/** When it ended, in monotonic milliseconds. */
	at: number;
	/** A late pause of the stream beside which nothing was read; see `calm-pauses`. */
	undisturbedMs?: number;
}

/** One stream that came to its end. */
export interface CompletedAnswer {
	events: number;
	/** Tokens that were expected of it. */
	expectedTokens: number;
	/** From the first event to the last, in milliseconds. */
	slotOccupancyMs: number;
}

class ServiceCosts {
	private readonly reading = new LineEstimator(
		line(prior.firstMs, prior.readMsPerToken),
		keepObservations,
	);
	private readonly copying = new LineEstimator(
		line(prior.copySetupMs, prior.copyMsPerToken),
		keepObservations,
	);
	private readonly pause = new QuantileEstimator(
		prior.eventMs,
		undisturbedShare,
		pauseStep,
		pauseSettled,
	);
	private events = 0;
	private expectedTokens = 0;
	private heldMs = prior.heldMs;
	private readonly told = new Map<string, CostSums>();
	private toldSums: Omit<CostSums, 'service'> = noCosts();
	private cached?: CostEstimates;
	/** Observations of this VM since its start. */
	observations = 0;

	constructor(private readonly ref: number) {}

	/** VMs that told what they have seen. */
	get peers(): number {
		return this.told.size;
	}

	figures(): CostEstimates {
		this.cached ??= this.compute();
		return this.cached;
	}

	firstEvent(seen: FirstEventObservation): void {
		const own = effectiveTokens(seen.promptTokens);
		if (seen.aheadTokens > own) {
			// What others' prompts cost is known too roughly: they may be overtaken, or read already.
			return;
		}
		this.observations++;
		const tokens = own + seen.aheadTokens;
		if (seen.copiedTokens === 0) {
			this.reading.add(tokens, seen.delayMs, this.toldSums.reading);
		} else {
			const { readMsPerToken, firstEventOverheadMs: firstMs } = this.figures();
			const copyMs = seen.delayMs - firstMs - tokens * readMsPerToken;
			this.copying.add(seen.copiedTokens, copyMs, this.toldSums.copying);
		}
		this.cached = undefined;
	}

	pauseSeen(ms: number): void {
		this.pause.add(ms);
		this.cached = undefined;
	}

	answerSeen(answer: CompletedAnswer): void {
		const { events, expectedTokens, slotOccupancyMs: heldMs } = answer;
		this.heldMs += (heldMs - this.heldMs) * heldShare;
		const kept = Math.max(0, 1 - events / keepEvents);
		this.events = this.events * kept + events;
		this.expectedTokens = this.expectedTokens * kept + expectedTokens;
		this.cached = undefined;
	}

	/** @param names VMs whose sums are added to what this VM has seen */
	export(names: readonly string[]): CostSums {
		const told = names.flatMap((name) => this.told.get(name) ?? []);
		return { service: this.ref, ...sumOf([this.seen(), ...told]) };
	}

	/** Whether there is anything to tell of what this VM and the named ones have seen. */
	hasSeen(names: readonly string[]): boolean {
		return this.observations > 0 || names.some((name) => this.told.has(name));
	}

	take(from: string, sums: CostSums): void {
		this.told.set(from, sums);
		this.toldChanged();
	}

	forget(from: string): void {
		if (this.told.delete(from)) {
			this.toldChanged();
		}
	}

	private toldChanged(): void {
		this.toldSums = sumOf(this.told.values());
		this.cached = undefined;
	}

	private seen(): CostSums {
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
		const { toldSums } = this;
		const reading = this.reading.fit(toldSums.reading);
		const copying = this.copying.fit(toldSums.copying);
		const eventMs = meanOf(this.pause, toldSums);
		const events = priorEvents + this.events + toldSums.events;
		const tokens =
			priorEvents * prior.tokensPerEvent + this.expectedTokens + toldSums.expectedTokens;
		return {
			readMsPerToken: reading.slope,
			firstEventOverheadMs: reading.base,
			copyMsPerToken: copying.slope,
			copySetupMs: copying.base,
			eventIntervalMs: eventMs,
			answerMsPerToken: (eventMs * events) / tokens,
			slotOccupancyMs: this.heldMs,
		};
	}
}

export class CostModel {
	/** How much faster or slower than the figures of its service each engine is. */
	readonly paces = new EnginePaces();
	private readonly services = new Map<number, ServiceCosts>();

	/** Figures of a service, those of the prior before anything was seen. */
	of(service: string): CostEstimates {
		return this.costsOf(rendezvous.hashText(service)).figures();
	}

	/** Figures of one engine of a service, by its own pace now. */
	ofEngine(service: string, engine: EngineRef, now: number): CostEstimates {
		return scaleByPace(this.of(service), this.paces.pace(service, engine, now));
	}

	/** What stands behind the figures: first events that this VM saw, and VMs that told of theirs. */
	sources(service: string): { observations: number; peers: number } {
		const { observations, peers } = this.costsOf(rendezvous.hashText(service));
		return { observations, peers };
	}

	/** The service's figures learn from it what an engine of usual pace would have taken. */
	recordFirstEvent(service: string, seen: FirstEventObservation): void {
		const { engine, at, delayMs } = seen;
		const { reading } = this.paces.pace(service, engine, at);
		this.paceSeen(service, seen);
		const costs = this.costsOf(rendezvous.hashText(service));
		costs.firstEvent({ ...seen, delayMs: delayMs / reading });
	}

	/** The same for a pause. */
	recordPause(service: string, { ms, engine, at, undisturbedMs: calmMs }: PauseObservation): void {
		const costs = this.costsOf(rendezvous.hashText(service));
		const { steps } = this.paces.pace(service, engine, at);
		if (calmMs !== undefined) {
			this.paces.recordPause(service, engine, calmMs / costs.figures().eventIntervalMs, at);
		}
		costs.pauseSeen(ms / steps);
	}

	recordAnswer(service: string, answer: CompletedAnswer): void {
		this.costsOf(rendezvous.hashText(service)).answerSeen(answer);
	}

	/** What this VM has seen itself, and what the named ones told. */
	export(names: readonly string[]): CostSums[] {
		return [...this.services.values()]
			.filter((costs) => costs.hasSeen(names))
			.map((costs) => costs.export(names));
	}

	/** What another VM tells, in place of what it told before. */
	merge(from: string, told: readonly CostSums[]): void {
		for (const sums of told) {
			this.costsOf(sums.service).take(from, sums);
		}
	}

	/** Another VM no longer tells anything: others speak for what it has seen. Speeds that it told fade by themselves. */
	removePeer(from: string): void {
		for (const costs of this.services.values()) {
			costs.forget(from);
		}
	}

	private paceSeen(service: string, seen: FirstEventObservation): void {
		const { engine, at, delayMs, promptTokens, aheadTokens, copiedTokens, isQueued } = seen;
		if (isQueued || copiedTokens > 0) {
			return;
		}
		const costs = this.of(service);
		const ownMs = costs.firstEventOverheadMs + readingMs(costs, promptTokens);
		const expectedMs = ownMs + aheadTokens * costs.readMsPerToken;
		// What others' prompts cost is known roughly.
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
	return { base, slope, observations: priorObservations, at: priorTokens, unit: unitTokens };
}

function noCosts(): Omit<CostSums, 'service'> {
	const pause = { eventMs: 0, eventWeight: 0 };
	return {
		reading: emptyLineSums(),
		copying: emptyLineSums(),
		...pause,
		events: 0,
		expectedTokens: 0,
	};
}

function sumOf(all: Iterable<CostSums>): Omit<CostSums, 'service'> {
	const sum = noCosts();
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

/** Of this VM's pause and those told, each by the events behind it. */
function meanOf(own: QuantileEstimator, told: { eventMs: number; eventWeight: number }): number {
	const ownWeight = Math.max(1, own.weight);
	const sum = own.value * ownWeight + told.eventMs * told.eventWeight;
	return sum / (ownWeight + told.eventWeight);
}
