/**
 * Validates a configuration: its schema, then the references between its parts.
 * @module
 */
import * as rendezvous from '../membership/rendezvous.js';
import * as tomlDocument from '../settings/toml-document.js';
import type { Configuration } from './schema.js';
import { configurationSchema, endpointKinds } from './schema.js';

interface Problem {
	path: (string | number)[];
	message: string;
	hint?: string;
}

/** Validates a configuration file. */
export function checkConfiguration(
	file: string,
	text: string,
): Promise<tomlDocument.CheckResult<Configuration>> {
	return tomlDocument.checkToml(file, text, configurationSchema, crossCheck);
}

/** Checks the uniqueness of names and keys, and the references between the parts of a configuration. */
export function crossCheck(cfg: Configuration): Problem[] {
	return [
		...findDuplicateNames('classes', cfg.classes),
		...findDuplicateNames('customers', cfg.customers),
		...findDuplicateNames('endpoints', cfg.endpoints),
		...findDuplicateNames('services', cfg.services),
		...findHashCollisions(cfg),
		...findDuplicateKeys(cfg),
		...findUnknownClasses(cfg),
		...findEndpointProblems(cfg),
	];
}

function findDuplicateNames(list: string, items: readonly { name: string }[]): Problem[] {
	const seen = new Set<string>();
	const problems: Problem[] = [];
	for (const [index, item] of items.entries()) {
		if (seen.has(item.name)) {
			problems.push({
				path: [list, index, 'name'],
				message: `the name ${item.name} is used more than once`,
			});
		}
		seen.add(item.name);
	}
	return problems;
}

/** Messages between daemons identify classes by short hashes, which have to be unique. */
function findHashCollisions(cfg: Configuration): Problem[] {
	const seen = new Map<number, string>();
	const problems: Problem[] = [];
	for (const [index, { name }] of cfg.classes.entries()) {
		const hash = rendezvous.hashName(name);
		const other = seen.get(hash);
		if (other !== undefined && other !== name) {
			const message = `has the same short hash as ${other}; choose another name`;
			problems.push({ path: ['classes', index, 'name'], message });
		}
		seen.set(hash, name);
	}
	return problems;
}

function findDuplicateKeys(cfg: Configuration): Problem[] {
	const owners = new Map<string, string>();
	const problems: Problem[] = [];
	for (const [index, customer] of cfg.customers.entries()) {
		for (const [hashIndex, hash] of customer.key_hashes.entries()) {
			const owner = owners.get(hash);
			if (owner !== undefined) {
				problems.push({
					path: ['customers', index, 'key_hashes', hashIndex],
					message: `the key is already used by customer ${owner}`,
				});
			}
			owners.set(hash, customer.name);
		}
	}
	return problems;
}

function findUnknownClasses(cfg: Configuration): Problem[] {
	const known = new Set(cfg.classes.map((cls) => cls.name));
	const problems: Problem[] = [];
	const checkClass = (cls: string, path: (string | number)[]) => {
		if (!known.has(cls)) {
			problems.push({
				path,
				message: `no class is named ${cls}`,
				hint: `known: ${[...known].join(', ')}`,
			});
		}
	};
	for (const [index, customer] of cfg.customers.entries()) {
		checkClass(customer.default_class, ['customers', index, 'default_class']);
		for (const [classIndex, cls] of customer.classes.entries()) {
			checkClass(cls, ['customers', index, 'classes', classIndex]);
		}
	}
	for (const [index, endpoint] of cfg.endpoints.entries()) {
		for (const [classIndex, cls] of endpoint.classes.entries()) {
			checkClass(cls, ['endpoints', index, 'classes', classIndex]);
		}
	}
	return problems;
}

function findEndpointProblems(cfg: Configuration): Problem[] {
	const services = new Set(cfg.services.map((service) => service.name));
	const problems: Problem[] = [];
	for (const [index, endpoint] of cfg.endpoints.entries()) {
		if (endpoint.slots > endpoint.max_slots) {
			problems.push({ path: ['endpoints', index, 'slots'], message: 'larger than max_slots' });
		}
		if (endpoint.kind === endpointKinds.engine && endpoint.models.length === 0) {
			problems.push({ path: ['endpoints', index, 'models'], message: 'an engine needs a model' });
		}
		if (endpoint.kind === endpointKinds.service && !services.has(endpoint.service ?? '')) {
			problems.push({
				path: ['endpoints', index, 'service'],
				message: 'expected the name of a service',
			});
		}
	}
	return problems;
}
