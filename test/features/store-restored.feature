Feature: A store that is restored from an older copy

	A restored store lacks its latest writes and reuses their revisions. VMs must not prefer stale state to newer state of their peers,
	use engines that have left, or act for the fleet under the same token.

	Scenario: A draining engine that is ready in the copy is not used
		Given a relay of 1 VM with engines "a, b"
		And a copy of the store is taken
		When engine "a" starts to leave
		And the store is restored from the copy
		And 700 ms pass in quiet
		And "GET /plain/" is sent 20 times
		Then each answer is 200
		And engine "a" ran 0 requests

	Scenario: An engine whose registration had ended is used only after it registers again
		Given a relay of 1 VM with engines "a, b"
		And a copy of the store is taken
		When the registration of engine "a" ends
		And the store is restored from the copy
		And 700 ms pass in quiet
		And "GET /plain/" is sent 20 times
		Then each answer is 200
		And engine "a" ran 0 requests
		When the registration of engine "a" is written again
		And "GET /plain/" is sent until engine "a" has answered
		Then each answer is 200

	Scenario: An engine that registered after the copy stays in use until it registers again
		Given a relay of 1 VM with engines "a"
		And a copy of the store is taken
		And engine "b" registers
		And "GET /plain/" is sent until engine "b" has answered
		When the store is restored from the copy
		And 700 ms pass in quiet
		And engine "a" rejects
		And "GET /plain/" is sent 10 times
		Then each answer is 200
		When the registration of engine "b" is written again
		And 2500 ms pass in quiet
		And "GET /plain/" is sent 10 times
		Then each answer is 200

	Scenario: A revoked key stays revoked
		Given a relay of 1 VM with engines "a"
		And a copy of the store is taken
		When the key of customer "station" is taken away
		And 700 ms pass in quiet
		And the store is restored from the copy
		And 700 ms pass in quiet
		And "GET /plain/" is sent
		Then the answer is 401

	Scenario: A VM that learns of the store from its peers applies writes after the restore
		Given a relay of 2 VMs with engines "a, b"
		And a copy of the store is taken
		And the registration of engine "b" is written 20 times more
		And the store turns VM 2 away
		And 700 ms pass in quiet
		When the store is restored from the copy
		And engine "a" starts to leave
		Then VM 2 sends nothing to engine "a" after 3000 ms

	Scenario Outline: VMs restore their registrations
		Given a relay of 2 VMs with engines "a"
		And a copy of the store is taken that lacks <lacks>
		When the store is restored from the copy
		Then the store lists 2 VMs within 4000 ms

		Examples:
			| lacks                             |
			| the registrations of VMs          |
			| the registrations of VMs and leases |

	Scenario: Quarantined contents are stored again
		Given a relay of 2 VMs with engines "a, b, c, d"
		And each engine ends as it runs "crasher", and is back after 800 ms
		And a copy of the store is taken
		When "POST /stream/resumed/" with body "crasher" is sent 8 times to the VMs in turn, each 200 ms later
		And the store has heard what crashes engines
		And the store is restored from the copy
		Then quarantined contents are in the store again within 4000 ms

	Scenario: Watches and conditional writes with revisions of an earlier era fail
		Given a separate store
		And a copy of the store is taken
		When a key is written 3 times and its revision is read
		And the store is restored from the copy
		And the key is written 5 times
		Then a watch from that revision fails as compacted
		And a write conditional on that revision is not executed
		And the revision of the key is greater than it was

	Scenario Outline: The duty has one holder and windows have one report although the store is restored
		Given 8 VMs that share a duty whose tokens are not checked
		When 12 seconds go by
		And the store is restored from a copy <ago> seconds old, <times> times, 3 seconds apart
		And 30 seconds go by
		Then no window was reported with two different counts
		And no two VMs acted under the same token, and no VM acted after its successor
		And one VM holds the duty

		Examples:
			| ago | times |
			| 2   | 1     |
			| 6   | 1     |
			| 11  | 1     |
			| 6   | 3     |

	Scenario Outline: Random faults and restores never let two VMs act under one token or a VM act after its successor, with tokens <checked>
		Then after any 8 troubles and restored stores of a fleet of 6 VMs whose tokens are <checked> all promises were kept

		Examples:
			| checked   |
			| checked   |
			| unchecked |
