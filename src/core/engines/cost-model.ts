/**
 * What work costs on the engines of each service, learned from the answers that this VM passes on and from
 * what other VMs tell. Decisions about waiting, division and refusal rest on these figures alone.
 * @module
 */
import * as rendezvous from '../membership/rendezvous.js';
import { AnswerLengths } from './answer-lengths.js';
import type { LineSums } from './estimators.js';
import { addSums, LineEstimate, noSums, QuantileEstimate } from './estimators.js';
import type { CostFigures } from './work-estimate.js';
import { effectiveTokens } from './work-estimate.js';

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
	eventMs: number;
	eventWeight: number;
	/** Events of whole answers, and the tokens that were expected of them. */
	events: number;
	expectedTokens: number;
}

/** One first event: what was to be read before it, as far as was known, and how long it took. */
export interface FirstEvent {
	/** Prompt tokens that the engine had to read for the request itself. */
	promptTokens: number;
	/** Prompt tokens of others that waited there when the request was sent. */
	aheadTokens: number;
	copiedTokens: number;
	/** From sending to the first event, in milliseconds. */
	delayMs: number;
}

/** One stream that came to its end. */
export interface WholeAnswer {
	events: number;
	/** Tokens that were expected of it. */
	expectedTokens: number;
	/** From the first event to the last, in milliseconds. */
	heldMs: number;
}

class ServiceCosts {
	readonly lengths = new AnswerLengths();
	private readonly reading = new LineEstimate(
		line(prior.firstMs, prior.readMsPerToken),
		keepObservations,
	);
	private readonly copying = new LineEstimate(
		line(prior.copySetupMs, prior.copyMsPerToken),
		keepObservations,
	);
	private readonly pause = new QuantileEstimate(
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
	private cached?: CostFigures;
	/** Observations of this VM since its start. */
	observations = 0;

	constructor(private readonly ref: number) {}

	/** VMs that told what they have seen. */
	get peers(): number {
		return this.told.size;
	}

	figures(): CostFigures {
		this.cached ??= this.compute();
		return this.cached;
	}

	firstEvent(seen: FirstEvent): void {
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
			const { readMsPerToken, firstMs } = this.figures();
			const copyMs = seen.delayMs - firstMs - tokens * readMsPerToken;
			this.copying.add(seen.copiedTokens, copyMs, this.toldSums.copying);
		}
		this.cached = undefined;
	}

	pauseSeen(ms: number): void {
		this.pause.add(ms);
		this.cached = undefined;
	}

	answerSeen(answer: WholeAnswer): void {
		const { events, expectedTokens, heldMs } = answer;
		this.lengths.seen(events, expectedTokens);
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
			eventMs: this.pause.value,
			eventWeight: this.pause.weight,
			events: this.events,
			expectedTokens: this.expectedTokens,
		};
	}

	private compute(): CostFigures {
		const { toldSums } = this;
		const reading = this.reading.read(toldSums.reading);
		const copying = this.copying.read(toldSums.copying);
		const eventMs = meanOf(this.pause, toldSums);
		const events = priorEvents + this.events + toldSums.events;
		const tokens =
			priorEvents * prior.tokensPerEvent + this.expectedTokens + toldSums.expectedTokens;
		return {
			readMsPerToken: reading.slope,
			firstMs: reading.base,
			copyMsPerToken: copying.slope,
			copySetupMs: copying.base,
			eventMs,
			answerMsPerToken: (eventMs * events) / tokens,
			heldMs: this.heldMs,
		};
	}
}

export class CostModel {
	private readonly services = new Map<number, ServiceCosts>();

	/** Figures of a service, those of the prior before anything was seen. */
	of(service: string): CostFigures {
		return this.costsOf(rendezvous.hashText(service)).figures();
	}

	/** What stands behind the figures: first events that this VM saw, and VMs that told of theirs. */
	sources(service: string): { observations: number; peers: number } {
		const { observations, peers } = this.costsOf(rendezvous.hashText(service));
		return { observations, peers };
	}

	/** How far this VM has seen answers go beyond what was expected of them. */
	lengthsOf(service: string): AnswerLengths {
		return this.costsOf(rendezvous.hashText(service)).lengths;
	}

	firstEvent(service: string, seen: FirstEvent): void {
		this.costsOf(rendezvous.hashText(service)).firstEvent(seen);
	}

	/** @param ms between two events of a stream that its caller reads at once */
	pauseSeen(service: string, ms: number): void {
		this.costsOf(rendezvous.hashText(service)).pauseSeen(ms);
	}

	answerSeen(service: string, answer: WholeAnswer): void {
		this.costsOf(rendezvous.hashText(service)).answerSeen(answer);
	}

	/** What this VM has seen itself, and what the named ones told. */
	export(names: readonly string[]): CostSums[] {
		return [...this.services.values()]
			.filter((costs) => costs.hasSeen(names))
			.map((costs) => costs.export(names));
	}

	/** What another VM tells, in place of what it told before. */
	take(from: string, told: readonly CostSums[]): void {
		for (const sums of told) {
			this.costsOf(sums.service).take(from, sums);
		}
	}

	/** Another VM no longer tells anything: others speak for what it has seen. */
	forget(from: string): void {
		for (const costs of this.services.values()) {
			costs.forget(from);
		}
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
	return { reading: noSums(), copying: noSums(), ...pause, events: 0, expectedTokens: 0 };
}

function sumOf(all: Iterable<CostSums>): Omit<CostSums, 'service'> {
	const sum = noCosts();
	for (const one of all) {
		addSums(sum.reading, one.reading);
		addSums(sum.copying, one.copying);
		sum.eventMs += one.eventMs * one.eventWeight;
		sum.eventWeight += one.eventWeight;
		sum.events += one.events;
		sum.expectedTokens += one.expectedTokens;
	}
	sum.eventMs /= Math.max(1, sum.eventWeight);
	return sum;
}

/** Of this VM's pause and those told, each by the events behind it. */
function meanOf(own: QuantileEstimate, told: { eventMs: number; eventWeight: number }): number {
	const ownWeight = Math.max(1, own.weight);
	const sum = own.value * ownWeight + told.eventMs * told.eventWeight;
	return sum / (ownWeight + told.eventWeight);
}
