/**
 * Steps that compare incremental and indexed lookups with a direct computation.
 * @module
 */
import * as assert from 'node:assert/strict';
import * as cucumber from '@cucumber/cucumber';
import { createRng } from '../../bench/random.js';
import { CustomerKeyIndex } from '../../src/core/configuration/customer-key-index.js';
import { hashToken } from '../../src/core/configuration/index.js';
import { OwnerMap } from '../../src/core/membership/owner-map.js';
import * as rendezvous from '../../src/core/membership/rendezvous.js';

const seed = 7;

cucumber.Then(
	'after each of {int} changes of members every endpoint has the owner that scores highest',
	(changes: number) => {
		const rng = createRng(seed);
		const keys = Array.from({ length: 40 }, (_, index) => `engine-${index}`);
		const all = Array.from({ length: 12 }, (_, index) => `vm-${index}`);
		const owners = new OwnerMap();
		owners.setKeys(keys);
		for (let change = 0; change < changes; change++) {
			const members = all.filter(() => rng() < 0.7);
			owners.setMembers(members);
			for (const key of keys) {
				assert.equal(owners.ownerOf(key), rendezvous.pickTop(key, members, 1)[0]);
			}
		}
	},
);

cucumber.Then(
	'each of {int} keys finds its own customer and {int} other keys find none',
	(many: number, others: number) => {
		const customers = Array.from({ length: many }, (_, index) => ({
			name: `customer-${index}`,
			key_hashes: [hashToken(`key-${index}`)],
			default_class: 'chat',
			classes: [],
			weight: 1,
		}));
		const keyIndex = new CustomerKeyIndex(customers);
		for (const [index, customer] of customers.entries()) {
			assert.equal(keyIndex.find(hashToken(`key-${index}`)), customer);
		}
		for (let index = 0; index < others; index++) {
			assert.equal(keyIndex.find(hashToken(`other-${index}`)), undefined);
		}
	},
);
