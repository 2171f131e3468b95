/**
 * Reads the rows of a query's source from all daemons of the fleet.
 * @module
 */
import type { Row, Source, Value } from '../../core/query/types.js';
import type { ControlClient } from '../../infra/control/control-client.js';
import type { FleetAnswers, FleetClient } from '../fleet-client.js';

/** Fields of each source, in output order. */
export const sourceFields: Record<Source, string[]> = {
	requests: [
		'id',
		'vm',
		'state',
		'class',
		'tier',
		'customer',
		'endpoint',
		'late',
		'age_ms',
		'tokens',
	],
	shed: ['time', 'vm', 'request', 'class', 'tier', 'customer', 'reason'],
	endpoints: ['endpoint', 'vm', 'owner', 'state', 'limit', 'running', 'idle'],
	vms: ['vm', 'failure_domain', 'ready', 'configuration', 'queued', 'running', 'kv_calls'],
	classes: [
		'name',
		'tier',
		'first_token_ms',
		'between_tokens_ms',
		'deadline_ms',
		'patience_ms',
		'repeatable',
		'floor',
	],
	customers: ['name', 'default_class', 'weight'],
};

/** Rows, and the VMs that did not respond. */
export interface SourceRows {
	rows: Row[];
	missing: string[];
}

export async function readSource(fleet: FleetClient, source: Source): Promise<SourceRows> {
	if (source === 'classes' || source === 'customers') {
		const current = await fleet.client.configuration.query();
		const items = (current?.document[source] ?? []) as unknown as Row[];
		return { rows: items.map((item) => pickFields(item, sourceFields[source])), missing: [] };
	}
	const readers: Record<Exclude<Source, 'classes' | 'customers'>, RowReader> = {
		requests: (client) => client.requests.query() as unknown as Promise<Row[]>,
		endpoints: (client) => client.endpoints.query() as unknown as Promise<Row[]>,
		shed: readShed,
		vms: readVm,
	};
	const result: FleetAnswers<Row[]> = await fleet.queryAll(readers[source]);
	const rows = result.answers.flatMap(({ value }) => value);
	return { rows, missing: result.missing };
}

type RowReader = (client: ControlClient) => Promise<Row[]>;

async function readShed(client: ControlClient): Promise<Row[]> {
	const events = await client.events.query({ since: 0 });
	return events
		.filter((event) => event.kind === 'request.shed')
		.map((event) => ({
			time: new Date(event.time.wall).toISOString(),
			vm: event.vm,
			request: event.request ?? '',
			class: event.cls ?? '',
			tier: event.tier ?? 0,
			customer: event.customer ?? '',
			reason: event.reason ?? '',
		}));
}

async function readVm(client: ControlClient): Promise<Row[]> {
	const status = await client.status.query();
	const row = { ...status, configuration: status.configuration_version } as unknown as Row;
	return [pickFields(row, sourceFields.vms)];
}

function pickFields(row: Row, fields: readonly string[]): Row {
	const entries = fields.map((field) => [field, row[field] ?? ''] as [string, Value]);
	return Object.fromEntries(entries);
}
