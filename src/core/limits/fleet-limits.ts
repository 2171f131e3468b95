/**
 * The requests a second that engines take from all VMs together: what the fleet has heard, who issues permits, and this VM's asks.
 * @module
 */
import type { Clock, Log, Random } from '../definitions.js';
import type { EngineRef, NewsKind } from '../fleet/types.js';
import { assumedVms, EnginePermits } from './engine-permits.js';
import { IssuerElection } from './issuer-election.js';
import { LimitLedger } from './limit-ledger.js';
import { PermitIssuer } from './permit-issuer.js';
import type { IssuerWord, LimitWord, PermitAnswer, PermitAsk } from './types.js';

/** What news between VMs carry of limits. */
export interface LimitNews {
	/** @param kind of the news that they go with */
	wordsToTell(kind: NewsKind): LimitWord[];
	issuerToTell(): IssuerWord | undefined;
	/** @returns whether others should hear of it too */
	take(words: readonly LimitWord[], issuer: IssuerWord | undefined): boolean;
}

export interface FleetLimitsOptions {
	clock: Clock;
	log: Log;
	random: Random;
	/** Where this VM hears datagrams, as IP:PORT. */
	self: string;
	/** Id of an engine, for the log; undefined while it is not registered. */
	engineId: (engine: EngineRef) => string | undefined;
	/** Place of this VM in an order that all VMs share, 0 for the first, with an address left out. */
	rank: (without?: string) => number;
	/** VMs that this one hears of now, itself included. */
	heardVms: () => number;
	/** VMs of the fleet, silent ones included; undefined while not known. */
	vms: () => number | undefined;
	sendAsk: (to: string, ask: PermitAsk) => void;
	sendAnswer: (to: string, answer: PermitAnswer) => void;
	/** Others should hear of something. */
	onNews: () => void;
	/** `dueAt` changed. */
	onDue: () => void;
}

export class FleetLimits implements LimitNews {
	readonly ledger: LimitLedger;
	readonly permits: EnginePermits;
	private readonly election: IssuerElection;
	private readonly issuer: PermitIssuer;
	private wasSelf = false;

	constructor(private readonly opts: FleetLimitsOptions) {
		const { clock, log, random, self, engineId, rank, vms, sendAsk, onNews, onDue } = opts;
		this.ledger = new LimitLedger({
			clock,
			onChanged: onNews,
			onLimit: ({ engine, perS, version }, before) => {
				const fields = { engine: engineId(engine) ?? engine, limit_per_s: perS, version };
				log.info('engine.limit', fields);
				if (perS === undefined || (before !== undefined && perS > before)) {
					this.permits.reopen(engine);
					onDue();
				}
			},
		});
		const wordOf = (engine: EngineRef) => this.ledger.wordOf(engine);
		this.election = new IssuerElection({
			clock,
			log,
			self,
			rank,
			isNeeded: () => this.ledger.size > 0,
			onChanged: onNews,
		});
		this.issuer = new PermitIssuer({
			clock,
			random,
			wordOf,
			share: () => this.share,
			isIssuing: () => this.election.isIssuing,
		});
		this.permits = new EnginePermits({
			clock,
			random,
			self,
			wordOf,
			vms,
			isIssuer: () => this.election.isSelf,
			issue: (ask, answer) => this.issuer.ask(ask, answer),
			issuer: () => this.election.address,
			send: sendAsk,
			onChanged: onDue,
		});
	}

	/** Whether this VM issues permits. */
	get isIssuer(): boolean {
		return this.election.isIssuing;
	}

	/** Monotonic milliseconds at which `run` should be called next. */
	get dueAt(): number {
		return Math.min(this.permits.dueAt, this.issuer.dueAt);
	}

	run(): void {
		this.issuer.run();
		this.permits.run();
	}

	/** Looks who issues permits; called several times a second. */
	update(): void {
		this.election.update();
		this.noteIssuer();
	}

	/** Forgets what is old; called each second. */
	sweep(isRegistered: (engine: EngineRef) => boolean): void {
		this.ledger.sweep(isRegistered);
		this.issuer.sweep();
	}

	/** This VM stops: another may issue permits at once. */
	retire(): void {
		this.election.retire();
		this.noteIssuer();
	}

	wordsToTell(kind: NewsKind): LimitWord[] {
		return this.ledger.wordsToTell(kind);
	}

	issuerToTell(): IssuerWord | undefined {
		return this.election.wordToTell;
	}

	take(words: readonly LimitWord[], issuer: IssuerWord | undefined): boolean {
		const hasWords = this.ledger.take(words);
		const hasIssuer = issuer !== undefined && this.election.take(issuer);
		if (hasIssuer) {
			this.noteIssuer();
		}
		return hasWords || hasIssuer;
	}

	/** Another VM asks for a permit. */
	asked(ask: PermitAsk): void {
		this.ledger.take([ask.word]);
		this.issuer.ask(ask, (answer) => this.opts.sendAnswer(ask.from, answer));
		this.opts.onDue();
	}

	/** The issuer answers. */
	answered(answer: PermitAnswer): void {
		this.ledger.take([answer.word]);
		this.permits.answered(answer);
	}

	/**
	 * The part of all limits that this VM may issue: the part of the fleet that it hears. Two sides of a cut that both issue permits
	 * then keep the limits together.
	 */
	private get share(): number {
		const heard = this.opts.heardVms();
		return heard / Math.max(heard, this.opts.vms() ?? assumedVms);
	}

	private noteIssuer(): void {
		const { isSelf } = this.election;
		if (this.wasSelf && !isSelf) {
			this.issuer.resign();
		}
		this.wasSelf = isSelf;
	}
}
