/**
 * Maps each key to its owner among the live members. Updates are incremental: a new member is compared with the current owners, and
 * only the keys of a removed member are assigned again.
 * @module
 */
import * as rendezvous from './rendezvous.js';

interface Choice {
	owner: string;
	score: number;
}

export class OwnerMap {
	private readonly choices = new Map<string, Choice>();
	private keys: readonly string[] = [];
	private members: readonly string[] = [];

	ownerOf(key: string): string | undefined {
		return this.choices.get(key)?.owner;
	}

	/** Sets the keys; remaining keys keep their owner. */
	setKeys(keys: readonly string[]): void {
		this.keys = keys;
		const wanted = new Set(keys);
		for (const key of this.choices.keys()) {
			if (!wanted.has(key)) {
				this.choices.delete(key);
			}
		}
		for (const key of keys) {
			if (!this.choices.has(key)) {
				this.choose(key, this.members);
			}
		}
	}

	setMembers(members: readonly string[]): void {
		const before = new Set(this.members);
		const now = new Set(members);
		const added = members.filter((member) => !before.has(member));
		this.members = members;
		for (const key of this.keys) {
			const choice = this.choices.get(key);
			if (choice && now.has(choice.owner)) {
				this.choose(key, added, choice);
			} else {
				this.choices.delete(key);
				this.choose(key, members);
			}
		}
	}

	private choose(key: string, candidates: readonly string[], start?: Choice): void {
		let best = start;
		for (const owner of candidates) {
			const score = rendezvous.scoreOf(key, owner);
			const isBetter = !best || score > best.score || (score === best.score && owner < best.owner);
			best = isBetter ? { owner, score } : best;
		}
		if (best) {
			this.choices.set(key, best);
		}
	}
}
