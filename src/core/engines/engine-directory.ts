/**
 * Directory of all engines, built from their registrations in the store. After a store outage, engines whose
 * registration is missing stay usable for a grace period, since live engines register again.
 * @module
 */
import type { Clock, Log } from '../definitions.js';
import type { EngineRef } from '../fleet/types.js';
import * as rendezvous from '../membership/rendezvous.js';
import type { StoreChanges, StoreItem } from '../store/definitions.js';
import type { PrefixListener } from '../store/prefix-follower.js';
import { eraOf, storedRevision } from '../store/revisions.js';
import type { Engine } from './engine.js';
import { PastIncarnations } from './past-incarnations.js';
import type { EngineRegistration } from './types.js';

/** Grace period for missing registrations after a store outage, in milliseconds; live engines register again within it. */
const reregistrationGraceMs = 1900;
/** Time for which a serialized copy of all registrations is reused while their content is the same, in milliseconds. */
const fullCopyReuseMs = 1000;

/** Copy of the directory for a peer, as JSON: all ids, and the registrations whose content changed. */
interface DirectoryCopy {
	revision: number;
	/** Digest of the sender's directory. */
	digest: number;
	ids: string[];
	items: StoreItem[];
}

/** A registration as stored, with the revision from which on its content has been the same. */
interface KnownItem {
	item: StoreItem;
	contentRevision: number;
}

/** Serialized copy of all registrations. */
interface FullCopy {
	text: string;
	digest: number;
	era: number;
	/** In monotonic milliseconds. */
	exportedAt: number;
}

export interface EngineDirectoryOptions {
	clock: Clock;
	log: Log;
	decode: (key: string, value: string) => EngineRegistration;
	idOf: (key: string) => string;
	/** Called when no registered engine uses an address any more. */
	onAddressUnused: (address: string) => void;
	onRemoved: (engine: Engine) => void;
	/** Called when the content of a registration changed. */
	onChanged: () => void;
	/** Called when all registrations were loaded, from the store or a peer. */
	onLoaded: () => void;
}

export class EngineDirectory implements PrefixListener {
	private readonly engines = new Map<string, Engine>();
	private readonly byRef = new Map<EngineRef, Engine>();
	/** Engines of each service, sorted by id. */
	private readonly byService = new Map<string, Engine[]>();
	/** Registrations for peers that cannot read the store. */
	private readonly items = new Map<string, KnownItem>();
	private fullCopy?: FullCopy;
	/** Revisions of the registrations that could not be decoded, by id. */
	private readonly undecodable = new Map<string, number>();
	private appliedRevision = 0;
	/** When the directory was last known to be current, in milliseconds since boot. */
	private currentAt?: number;
	private readonly incarnations: PastIncarnations;
	private contentDigest = 0;
	/** Hashes of the decoded registrations, by id. */
	private readonly contentHashes = new Map<string, number>();
	private isLoaded = false;
	private isStoreLost = false;
	private storeRestoredAt = Number.NEGATIVE_INFINITY;

	constructor(private readonly opts: EngineDirectoryOptions) {
		this.incarnations = new PastIncarnations(opts.clock, opts.log);
	}

	get(id: string): Engine | undefined {
		return this.engines.get(id);
	}

	/** The engine that a reference in a message names. */
	findByRef(ref: EngineRef): Engine | undefined {
		return this.byRef.get(ref);
	}

	/** Names of the services that have or had engines. */
	getServices(): Iterable<string> {
		return this.byService.keys();
	}

	getAll(): Iterable<Engine> {
		return this.engines.values();
	}

	/** All engines of a service, also those that accept no work now. */
	getByService(service: string): readonly Engine[] {
		return this.byService.get(service) ?? [];
	}

	/** Engines of a service that accept new work now, sorted by id and regardless of health. */
	getEligible(service: string): Engine[] {
		const now = this.opts.clock.sinceBoot();
		return this.accepting(service).filter(({ notices }) => notices.getBackOffLeftMs(now) === 0);
	}

	/** Milliseconds until the first engine of a service ends its back-off; 0 when one accepts work or there is none. */
	getBackOffLeftMs(service: string): number {
		const now = this.opts.clock.sinceBoot();
		const left = this.accepting(service).map(({ notices }) => notices.getBackOffLeftMs(now));
		return left.length === 0 ? 0 : Math.min(...left);
	}

	/** Eligible engines of a service, including those that back off. */
	private accepting(service: string): Engine[] {
		const now = this.opts.clock.monotonic();
		return (this.byService.get(service) ?? []).filter((engine) => engine.isEligible(now));
	}

	/** Whether all registrations were loaded at least once, from the store or a peer. */
	get hasLoaded(): boolean {
		return this.isLoaded;
	}

	/** Newest store revision that the directory reflects. */
	get revision(): number {
		return this.appliedRevision;
	}

	/**
	 * Digest of the content of all registrations; equal directories have equal digests. Heartbeats that rewrite a registration
	 * unchanged keep it, so that peers need not fetch the directory again.
	 */
	get digest(): number {
		return this.contentDigest;
	}

	/**
	 * Serializes the directory for a peer.
	 * @param since revision of the peer's own copy; registrations with the same content since then are omitted, however often
	 * heartbeats rewrote them
	 */
	export(since: number): string {
		return since === 0 ? this.exportAll() : this.serialize(since);
	}

	/** All VMs that start together fetch the same copy, so it is serialized only once. */
	private exportAll(): string {
		const now = this.opts.clock.monotonic();
		const { digest } = this;
		const era = eraOf(this.appliedRevision);
		const last = this.fullCopy;
		const isReusable =
			last?.digest === digest && last.era === era && now - last.exportedAt < fullCopyReuseMs;
		if (last && isReusable) {
			return last.text;
		}
		const text = this.serialize(0);
		this.fullCopy = { text, digest, era, exportedAt: now };
		return text;
	}

	private serialize(since: number): string {
		const changed = [...this.items.values()].filter((known) => known.contentRevision > since);
		const copy: DirectoryCopy = {
			revision: this.appliedRevision,
			digest: this.contentDigest,
			ids: [...this.items.keys()],
			items: changed.map(({ item }) => item),
		};
		return JSON.stringify(copy);
	}

	/**
	 * Applies a peer's copy of the directory, while this VM does not read the store itself.
	 * @returns false when a full copy is needed: a registration that is not known here was omitted, which leaves the directory
	 * unchanged, or the result differs from the peer's directory
	 * @throws Error when the text is no valid copy
	 */
	applyCopy(text: string): boolean {
		const copy = decodeCopy(text);
		if (copy.revision < this.appliedRevision || copy.ids.length === 0) {
			return true;
		}
		const included = new Map(copy.items.map((item) => [this.opts.idOf(item.key), item]));
		const items = copy.ids.flatMap((id) => included.get(id) ?? this.items.get(id)?.item ?? []);
		if (items.length < copy.ids.length) {
			return false;
		}
		this.appliedRevision = copy.revision;
		// The peer has current data, so a registration missing there has ended: no grace period.
		this.isStoreLost = false;
		this.storeRestoredAt = Number.NEGATIVE_INFINITY;
		this.replaceAll(items, this.opts.clock.monotonic());
		return copy.digest === this.contentDigest;
	}

	/** Milliseconds since the directory was last known to be current; undefined while it never was. */
	get ageMs(): number | undefined {
		return this.currentAt === undefined ? undefined : this.opts.clock.sinceBoot() - this.currentAt;
	}

	/** Records that the directory was current at a time, in milliseconds since boot. */
	markCurrent(at: number): void {
		this.currentAt = Math.max(at, this.currentAt ?? at);
	}

	applySnapshot(items: readonly StoreItem[], readAt: number, revision: number): void {
		this.markCurrent(readAt);
		const now = this.opts.clock.monotonic();
		if (this.isStoreLost) {
			this.isStoreLost = false;
			this.storeRestoredAt = now;
		}
		this.appliedRevision = revision;
		this.replaceAll(items, now);
	}

	private replaceAll(items: readonly StoreItem[], now: number): void {
		this.isLoaded = true;
		const listed = new Set<string>();
		for (const item of items) {
			listed.add(this.opts.idOf(item.key));
			this.put(item);
		}
		for (const id of [...this.engines.keys()]) {
			if (!listed.has(id)) {
				this.handleMissing(id, now);
			}
		}
		this.opts.onLoaded();
	}

	applyChanges(changes: StoreChanges): void {
		const before = this.contentDigest;
		this.markCurrent(this.opts.clock.sinceBoot());
		this.appliedRevision = changes.revision;
		for (const event of changes.events) {
			if (event.kind === 'put') {
				this.put(event.item);
				this.confirm(event.item);
			} else {
				this.handleEnded(this.opts.idOf(event.key));
			}
		}
		if (this.contentDigest !== before) {
			this.opts.onChanged();
		}
	}

	handleStoreLost(): void {
		this.isStoreLost = true;
	}

	/** Removes engines whose grace period ended and expired notices; called several times a second. */
	sweep(): void {
		this.incarnations.sweep();
		const now = this.opts.clock.monotonic();
		for (const engine of [...this.engines.values()]) {
			if (engine.missingUntil !== undefined && now >= engine.missingUntil) {
				this.remove(engine, 'registration still missing after store outage');
			}
		}
	}

	/** A watched write happened in the current era of the store, which proves that the engine is alive. */
	private confirm(item: StoreItem): void {
		const engine = this.engines.get(this.opts.idOf(item.key));
		if (engine) {
			engine.unconfirmedUntil = undefined;
		}
	}

	/** An incarnation never stops draining; a registration that says otherwise is from an older copy of the store. */
	private keepDraining(
		known: Engine,
		registration: EngineRegistration,
		before: number,
		revision: number,
	): void {
		const isOlderCopy =
			known.registration.draining && !registration.draining && eraOf(before) < eraOf(revision);
		if (isOlderCopy) {
			known.notices.apply({ isDraining: true }, this.opts.clock.sinceBoot());
			this.opts.log.warn('engine.kept-leaving', { engine: known.id });
		}
	}

	private put(item: StoreItem): void {
		if (this.isCurrent(item)) {
			return;
		}
		const registration = this.decode(item);
		if (!registration) {
			return;
		}
		const known = this.engines.get(registration.id);
		const isSame = known?.isSameIncarnation(registration) ?? false;
		if (known && !isSame) {
			this.remove(known, 'engine restarted');
		}
		const before = this.items.get(registration.id)?.item.revision ?? 0;
		this.setItem(registration, item);
		if (!known || !isSame) {
			this.add(this.incarnations.createEngine(registration, item.revision), item.revision);
			return;
		}
		this.keepDraining(known, registration, before, item.revision);
		if (registration.draining !== known.registration.draining) {
			this.logState(registration, item.revision);
		}
		known.registration = registration;
		known.missingUntil = undefined;
	}

	/** Whether this revision of the registration was applied before; if so, the engine is no longer missing. */
	private isCurrent({ key, revision }: StoreItem): boolean {
		const id = this.opts.idOf(key);
		const known = this.engines.get(id);
		if (!known || this.items.get(id)?.item.revision !== revision) {
			return false;
		}
		known.missingUntil = undefined;
		return true;
	}

	/** Decodes a registration; one that is invalid removes its engine and is logged once per revision. */
	private decode(item: StoreItem): EngineRegistration | undefined {
		const id = this.opts.idOf(item.key);
		try {
			const registration = this.opts.decode(item.key, item.value);
			this.undecodable.delete(id);
			return registration;
		} catch (err) {
			if (this.undecodable.get(id) !== item.revision) {
				this.undecodable.set(id, item.revision);
				const error = (err as Error).message;
				const revision = storedRevision(item.revision);
				this.opts.log.warn('engine.unreadable', { key: item.key, revision, error });
			}
		}
		const known = this.engines.get(id);
		if (known) {
			this.remove(known, 'registration is invalid');
		}
		return undefined;
	}

	private add(engine: Engine, revision: number): void {
		this.engines.set(engine.id, engine);
		this.byRef.set(engine.ref, engine);
		const { service } = engine.registration;
		const list = this.byService.get(service) ?? [];
		list.splice(findInsertionIndex(list, engine.id), 0, engine);
		this.byService.set(service, list);
		this.logState(engine.registration, revision);
	}

	/** The store reported the end of the registration, so there is no grace period. */
	private handleEnded(id: string): void {
		this.undecodable.delete(id);
		const engine = this.engines.get(id);
		if (engine) {
			this.remove(engine, 'registration ended');
		}
	}

	/** Removes an engine that is not listed, unless the store was just restored and may get the registration back. */
	private handleMissing(id: string, now: number): void {
		const engine = this.engines.get(id);
		if (!engine) {
			return;
		}
		const mayReturn = now < this.storeRestoredAt + reregistrationGraceMs && !engine.isDraining;
		if (mayReturn) {
			engine.missingUntil ??= this.storeRestoredAt + reregistrationGraceMs;
		} else {
			this.remove(engine, 'registration ended');
		}
	}

	private remove(engine: Engine, reason: string): void {
		const { id, service, address } = engine.registration;
		engine.isRemoved = true;
		this.incarnations.recordEnd(engine, eraOf(this.appliedRevision));
		this.engines.delete(id);
		if (this.byRef.get(engine.ref) === engine) {
			this.byRef.delete(engine.ref);
		}
		this.removeItem(id);
		const others = (this.byService.get(service) ?? []).filter((other) => other !== engine);
		this.byService.set(service, others);
		this.opts.onRemoved(engine);
		this.opts.log.info('engine.gone', { engine: id, service, reason });
		if (![...this.engines.values()].some((other) => other.registration.address === address)) {
			this.opts.onAddressUnused(address);
		}
	}

	private setItem(registration: EngineRegistration, item: StoreItem): void {
		const { id } = registration;
		const previous = this.items.get(id);
		const hash = rendezvous.hashText(JSON.stringify(registration));
		const isSame =
			previous !== undefined &&
			this.contentHashes.get(id) === hash &&
			eraOf(previous.item.revision) === eraOf(item.revision);
		const contentRevision = isSame ? previous.contentRevision : item.revision;
		this.items.set(id, { item, contentRevision });
		this.setContentHash(id, hash);
	}

	private removeItem(id: string): void {
		this.items.delete(id);
		this.setContentHash(id, 0);
	}

	/** @param hash of the decoded registration; 0 when there is none */
	private setContentHash(id: string, hash: number): void {
		this.contentDigest ^= (this.contentHashes.get(id) ?? 0) ^ hash;
		if (hash === 0) {
			this.contentHashes.delete(id);
		} else {
			this.contentHashes.set(id, hash);
		}
	}

	private logState(registration: EngineRegistration, revision: number): void {
		this.opts.log.info('engine.seen', {
			engine: registration.id,
			service: registration.service,
			address: registration.address,
			domain: registration.domain,
			draining: registration.draining,
			revision: storedRevision(revision),
		});
	}
}

/** @throws Error when the text is no copy; nothing of it may be applied then */
function decodeCopy(text: string): DirectoryCopy {
	const copy = JSON.parse(text) as DirectoryCopy | null;
	const isValid =
		Number.isSafeInteger(copy?.revision) &&
		Number.isInteger(copy?.digest) &&
		copy?.ids.every((id) => typeof id === 'string') &&
		copy.items.every(isItem);
	if (!copy || !isValid) {
		throw new Error('expected a revision, a digest, ids and items');
	}
	return copy;
}

function isItem(item: StoreItem | null): boolean {
	return (
		typeof item?.key === 'string' &&
		typeof item.value === 'string' &&
		Number.isSafeInteger(item.revision)
	);
}

/** Index at which an engine with this id keeps the list sorted by id. */
function findInsertionIndex(sorted: readonly Engine[], id: string): number {
	let from = 0;
	let to = sorted.length;
	while (from < to) {
		const middle = (from + to) >> 1;
		if ((sorted[middle] as Engine).id < id) {
			from = middle + 1;
		} else {
			to = middle;
		}
	}
	return from;
}
