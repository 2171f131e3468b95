/**
 * Where prompts with a shared start last ran. A hint only: the endpoint may have dropped the
 * prefix since. Bounded; the least recently used go first.
 * @module
 */

/** Prefixes remembered. */
const capacity = 4096;
/** Endpoints remembered for each prefix. */
const perPrefix = 4;

export class RecentPrefixes {
	private readonly endpoints = new Map<number, string[]>();

	/** A request with this prefix was started on an endpoint. */
	note(prefix: number, endpoint: string): void {
		const known = this.endpoints.get(prefix) ?? [];
		const fresh = [endpoint, ...known.filter((name) => name !== endpoint)].slice(0, perPrefix);
		this.endpoints.delete(prefix);
		this.endpoints.set(prefix, fresh);
		if (this.endpoints.size > capacity) {
			const oldest = this.endpoints.keys().next().value;
			this.endpoints.delete(oldest as number);
		}
	}

	/** Whether the endpoint is likely to hold the prefix. */
	holds(prefix: number | undefined, endpoint: string): boolean {
		return prefix !== undefined && this.endpoints.get(prefix)?.includes(endpoint) === true;
	}
}
