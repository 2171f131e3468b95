/**
 * HTTP client of the platform's API for fleet-wide duties, which one VM holds at a time.
 * @module
 */
import * as undici from 'undici';
import type { DutyAnswer, DutyApi, DutyCaller, EngineOrder } from '../core/duties/definitions.js';
import { dutyAnswers } from '../core/duties/definitions.js';
import type { UsageReport } from '../core/duties/types.js';
import type { HostPort } from '../core/relay/settings.js';
import { headerNames } from './wire-names.js';

const callTimeoutMs = 1500;
/** Shorter than the first TCP retransmission, so a lost packet fails the call early. */
const connectTimeoutMs = 400;
/** Calls run one at a time; the second connection is for use while the first hangs. */
const connections = 2;

/** After any other status the outcome of the call is unknown. */
const answersByStatus: Readonly<Record<number, DutyAnswer>> = {
	200: dutyAnswers.done,
	409: dutyAnswers.refused,
	429: dutyAnswers.busy,
	503: dutyAnswers.busy,
};

export class PlatformDutyApi implements DutyApi {
	private readonly pool: undici.Pool;

	constructor(
		address: HostPort,
		/** Called with the reason when a call gets no answer. */
		private readonly onUnanswered: (path: string, reason: string) => void,
	) {
		this.pool = new undici.Pool(`http://${address.host}:${address.port}`, {
			connections,
			pipelining: 1,
			connect: { timeout: connectTimeoutMs },
			headersTimeout: 0,
			bodyTimeout: 0,
		});
	}

	reportUsage(caller: DutyCaller, { window, counts }: UsageReport): Promise<DutyAnswer> {
		const entries = counts.map(({ customer, started }) => [customer, started] as const);
		const body = { 'window-id': window, counts: Object.fromEntries(entries) };
		return this.call('/usage', caller, body);
	}

	orderEngines(caller: DutyCaller, order: EngineOrder): Promise<DutyAnswer> {
		const { service, domain, spot, count } = order;
		const common = { service, zone: domain, 'desired-count': count };
		return this.call('/scale', caller, spot ? { ...common, spot } : common);
	}

	close(): Promise<void> {
		return this.pool.destroy();
	}

	private async call(path: string, caller: DutyCaller, body: object): Promise<DutyAnswer> {
		try {
			const res = await this.pool.request({
				method: 'POST',
				path,
				signal: AbortSignal.timeout(callTimeoutMs),
				headers: {
					'content-type': 'application/json',
					[headerNames.dutyHolder]: caller.vm,
					[headerNames.dutyToken]: String(caller.token),
				},
				body: JSON.stringify(body),
			});
			await res.body.dump();
			const answer = answersByStatus[res.statusCode];
			if (answer === undefined) {
				this.onUnanswered(path, `status ${res.statusCode}`);
			}
			return answer ?? dutyAnswers.unknown;
		} catch (err) {
			this.onUnanswered(path, (err as Error).message);
			return dutyAnswers.unknown;
		}
	}
}
