/**
 * Owner of each key among the live members, kept up to date: a member that comes is compared with
 * the owners there are, and only the keys of one that went are chosen anew.
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

	/** Sets the keys; owners of those that stay do not move. */
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
		const came = members.filter((member) => !before.has(member));
		this.members = members;
		for (const key of this.keys) {
			const choice = this.choices.get(key);
			if (choice && now.has(choice.owner)) {
				this.choose(key, came, choice);
			} else {
				this.choices.delete(key);
				this.choose(key, members);
			}
		}
	}

	private choose(key: string, among: readonly string[], start?: Choice): void {
		let best = start;
		for (const owner of among) {
			const score = rendezvous.scoreOf(key, owner);
			const wins = !best || score > best.score || (score === best.score && owner < best.owner);
			best = wins ? { owner, score } : best;
		}
		if (best) {
			this.choices.set(key, best);
		}
	}
}
