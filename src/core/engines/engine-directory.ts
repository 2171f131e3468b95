/**
 * All engines, as their registrations in the store tell. A store that was away may have lost
 * registrations of engines that live: those stay usable for a moment after its return.
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

/** Lapsed registrations are back within about 2 s of the store's return, if the engine lives. */
const returnMs = 1900;
/** What one VM tells another of all engines: all ids, and the registrations that changed. */
interface DirectoryCopy {
	revision: number;
	ids: string[];
	items: StoreItem[];
}

export interface EngineDirectoryOptions {
	clock: Clock;
	log: Log;
	decode: (key: string, value: string) => EngineRegistration;
	idOf: (key: string) => string;
	/** No engine listens at this address any more. */
	onAddressUnused: (address: string) => void;
	onRemoved: (engine: Engine) => void;
	/** What registrations say changed. */
	onChanged: () => void;
	/** All registrations were read, from the store or a peer. */
	onLoaded: () => void;
}

export class EngineDirectory implements PrefixListener {
	private readonly engines = new Map<string, Engine>();
	private readonly ofService = new Map<string, Engine[]>();
	/** Registrations as the store holds them, for peers that it turns away. */
	private readonly items = new Map<string, StoreItem>();
	/** Registrations that could not be read, by id, with their revision. */
	private readonly unreadable = new Map<string, number>();
	/** Newest revision of the store that the directory shows. */
	private shownRevision = 0;
	private readonly starts: PastIncarnations;
	private contentDigest = 0;
	/** Hashes of what the registrations say, by id. */
	private readonly contents = new Map<string, number>();
	private wasRead = false;
	private storeLost = false;
	private storeBackAt = Number.NEGATIVE_INFINITY;

	constructor(private readonly opts: EngineDirectoryOptions) {
		this.starts = new PastIncarnations(opts.clock, opts.log);
	}

	get(id: string): Engine | undefined {
		return this.engines.get(id);
	}

	/** The engine that messages mean. */
	findByRef(ref: EngineRef): Engine | undefined {
		return [...this.engines.values()].find((engine) => engine.ref === ref);
	}

	all(): Iterable<Engine> {
		return this.engines.values();
	}

	/** Engines of a service that may be given new work now, by id; health is not looked at. */
	eligible(service: string): Engine[] {
		const now = this.opts.clock.sinceBoot();
		return this.present(service).filter(({ notices }) => notices.backOffLeftMs(now) === 0);
	}

	/** For how long no engine of a service may be given work because all rest, in milliseconds; 0 when it has none. */
	backOffLeftMs(service: string): number {
		const now = this.opts.clock.sinceBoot();
		const left = this.present(service).map(({ notices }) => notices.backOffLeftMs(now));
		return left.length === 0 ? 0 : Math.min(...left);
	}

	/** Those that do not leave. */
	private present(service: string): Engine[] {
		const now = this.opts.clock.monotonic();
		return (this.ofService.get(service) ?? []).filter((engine) => engine.isEligible(now));
	}

	/** Whether all registrations were read once, from the store or a peer. */
	get hasLoaded(): boolean {
		return this.wasRead;
	}

	/** Newest revision of the store that the directory shows. */
	get revision(): number {
		return this.shownRevision;
	}

	/**
	 * Stands for what all registrations say; directories that say the same have equal digests. Engines write theirs again with each
	 * heartbeat: that alone makes no VM fetch them.
	 */
	get digest(): number {
		return this.contentDigest;
	}

	/**
	 * The directory as text for a peer.
	 * @param since revision that the peer's own copy shows; registrations that are older are left out
	 */
	export(since: number): string {
		const items = [...this.items.values()].filter((item) => item.revision > since);
		const copy: DirectoryCopy = {
			revision: this.shownRevision,
			ids: [...this.items.keys()],
			items,
		};
		return JSON.stringify(copy);
	}

	/**
	 * Takes in what a peer's directory shows, while this VM does not read the store itself.
	 * @returns whether the copy names no registration that is neither in it nor known here
	 * @throws Error when the text is no copy of a directory
	 */
	applyCopy(text: string): boolean {
		const copy = JSON.parse(text) as DirectoryCopy;
		if (copy.revision < this.shownRevision || copy.ids.length === 0) {
			return true;
		}
		const given = new Map(copy.items.map((item) => [this.opts.idOf(item.key), item]));
		const known = copy.ids.flatMap((id) => given.get(id) ?? this.items.get(id) ?? []);
		if (known.length < copy.ids.length) {
			return false;
		}
		this.shownRevision = copy.revision;
		// The store served that peer all along: what is missing there has ended.
		this.storeLost = false;
		this.storeBackAt = Number.NEGATIVE_INFINITY;
		this.replaceAll(known, this.opts.clock.monotonic());
		return true;
	}

	applySnapshot(items: readonly StoreItem[], _readAt: number, revision: number): void {
		const now = this.opts.clock.monotonic();
		if (this.storeLost) {
			this.storeLost = false;
			this.storeBackAt = now;
		}
		this.shownRevision = revision;
		this.replaceAll(items, now);
	}

	private replaceAll(items: readonly StoreItem[], now: number): void {
		this.wasRead = true;
		const seen = new Set<string>();
		for (const item of items) {
			seen.add(this.opts.idOf(item.key));
			this.put(item);
		}
		for (const id of [...this.engines.keys()]) {
			if (!seen.has(id)) {
				this.missing(id, now);
			}
		}
		this.opts.onLoaded();
	}

	applyChanges(changes: StoreChanges): void {
		const before = this.contentDigest;
		this.shownRevision = changes.revision;
		for (const event of changes.events) {
			if (event.kind === 'put') {
				this.put(event.item);
				this.isWrittenNow(event.item);
			} else {
				this.gone(this.opts.idOf(event.key));
			}
		}
		if (this.contentDigest !== before) {
			this.opts.onChanged();
		}
	}

	handleStoreLost(): void {
		this.storeLost = true;
	}

	/** Forgets engines whose registration did not come back, and what engines said long ago; called several times a second. */
	sweep(): void {
		this.starts.sweep();
		const now = this.opts.clock.monotonic();
		for (const engine of [...this.engines.values()]) {
			if (engine.missingUntil !== undefined && now >= engine.missingUntil) {
				this.remove(engine, 'registration did not come back');
			}
		}
	}

	/** A change that a watch tells was written in the store's era: the engine lives. */
	private isWrittenNow(item: StoreItem): void {
		const engine = this.engines.get(this.opts.idOf(item.key));
		if (engine) {
			engine.unconfirmedUntil = undefined;
		}
	}

	/** A start that leaves is ready again only in an older copy of the store. */
	private keepLeaving(
		known: Engine,
		entry: EngineRegistration,
		before: number,
		revision: number,
	): void {
		const isOlder =
			known.registration.draining && !entry.draining && eraOf(before) < eraOf(revision);
		if (isOlder) {
			known.notices.apply({ isDraining: true }, this.opts.clock.sinceBoot());
			this.opts.log.warn('engine.kept-leaving', { engine: known.id });
		}
	}

	private put(item: StoreItem): void {
		if (this.isShown(item)) {
			return;
		}
		const entry = this.decode(item);
		if (!entry) {
			return;
		}
		const known = this.engines.get(entry.id);
		const isSame = known?.isSameIncarnation(entry) ?? false;
		if (known && !isSame) {
			this.remove(known, 'it began again');
		}
		const before = this.items.get(entry.id)?.revision ?? 0;
		this.setItem(entry, item);
		if (!known || !isSame) {
			this.add(this.starts.createEngine(entry, item.revision), item.revision);
			return;
		}
		this.keepLeaving(known, entry, before, item.revision);
		if (entry.draining !== known.registration.draining) {
			this.logState(entry, item.revision);
		}
		known.registration = entry;
		known.missingUntil = undefined;
	}

	/** The registration was taken in before, as it stands. */
	private isShown({ key, revision }: StoreItem): boolean {
		const id = this.opts.idOf(key);
		const known = this.engines.get(id);
		if (!known || this.items.get(id)?.revision !== revision) {
			return false;
		}
		known.missingUntil = undefined;
		return true;
	}

	/** What is no engine's registration names no engine, whoever wrote it; it is logged once. */
	private decode(item: StoreItem): EngineRegistration | undefined {
		const id = this.opts.idOf(item.key);
		try {
			const entry = this.opts.decode(item.key, item.value);
			this.unreadable.delete(id);
			return entry;
		} catch (err) {
			if (this.unreadable.get(id) !== item.revision) {
				this.unreadable.set(id, item.revision);
				const error = (err as Error).message;
				const revision = storedRevision(item.revision);
				this.opts.log.warn('engine.unreadable', { key: item.key, revision, error });
			}
		}
		const known = this.engines.get(id);
		if (known) {
			this.remove(known, 'its registration cannot be read');
		}
		return undefined;
	}

	private add(engine: Engine, revision: number): void {
		this.engines.set(engine.id, engine);
		const { service } = engine.registration;
		const list = [...(this.ofService.get(service) ?? []), engine];
		list.sort((a, b) => (a.id < b.id ? -1 : 1));
		this.ofService.set(service, list);
		this.logState(engine.registration, revision);
	}

	/** The store says that the registration ended: it was there to see it. */
	private gone(id: string): void {
		this.unreadable.delete(id);
		const engine = this.engines.get(id);
		if (engine) {
			this.remove(engine, 'registration ended');
		}
	}

	/** The registration is not there; after an outage of the store it may still come back. */
	private missing(id: string, now: number): void {
		const engine = this.engines.get(id);
		if (!engine) {
			return;
		}
		const mayReturn = now < this.storeBackAt + returnMs && !engine.isDraining;
		if (mayReturn) {
			engine.missingUntil ??= this.storeBackAt + returnMs;
		} else {
			this.remove(engine, 'registration ended');
		}
	}

	private remove(engine: Engine, reason: string): void {
		const { id, service, address } = engine.registration;
		engine.isRemoved = true;
		this.starts.recordEnd(engine, eraOf(this.shownRevision));
		this.engines.delete(id);
		this.removeItem(id);
		const left = (this.ofService.get(service) ?? []).filter((other) => other !== engine);
		this.ofService.set(service, left);
		this.opts.onRemoved(engine);
		this.opts.log.info('engine.gone', { engine: id, service, reason });
		if (![...this.engines.values()].some((other) => other.registration.address === address)) {
			this.opts.onAddressUnused(address);
		}
	}

	private setItem(entry: EngineRegistration, item: StoreItem): void {
		this.items.set(entry.id, item);
		this.setContent(entry.id, rendezvous.hashText(JSON.stringify(entry)));
	}

	private removeItem(id: string): void {
		this.items.delete(id);
		this.setContent(id, 0);
	}

	/** @param hash of what the registration says; 0 when there is none */
	private setContent(id: string, hash: number): void {
		this.contentDigest ^= (this.contents.get(id) ?? 0) ^ hash;
		if (hash === 0) {
			this.contents.delete(id);
		} else {
			this.contents.set(id, hash);
		}
	}

	private logState(entry: EngineRegistration, revision: number): void {
		this.opts.log.info('engine.seen', {
			engine: entry.id,
			service: entry.service,
			address: entry.address,
			domain: entry.domain,
			draining: entry.draining,
			revision: storedRevision(revision),
		});
	}
}
