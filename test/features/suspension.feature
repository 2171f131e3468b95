Feature: Suspended VMs and power loss

	The monotonic clock of a VM stands still while the VM is suspended; leases and deadlines go on.

	Scenario: Suspensions are measured by the wall clock and the monotonic clock
		Given a VM whose wall clock was 1000 ms ahead of its monotonic clock
		When its wall clock gains 20 ms on the monotonic clock
		Then it was suspended for 0 ms
		When its wall clock gains 4000 ms on the monotonic clock
		Then it was suspended for 4000 ms
		When its wall clock gains -4000 ms on the monotonic clock
		Then it was suspended for 4000 ms

	Scenario: A holder that was suspended for longer than its lease does not act under it
		Given 8 VMs that share a duty whose tokens are not checked
		When 12 seconds go by
		And the holder is suspended
		And 8 seconds go by
		And the frozen VM wakes
		Then the VM that woke does not act for the fleet
		When 15 seconds go by
		Then one VM holds the duty

	Scenario Outline: The invariants hold under random faults and suspensions, with tokens <checked>
		Then after any 10 troubles and suspensions of a fleet of 5 VMs whose tokens are <checked> all promises were kept

		Examples:
			| checked   |
			| checked   |
			| unchecked |

	Scenario: The duty continues after all VMs lose power at the same time
		Given 8 VMs that share a duty
		When 12 seconds go by
		And its token is remembered
		And all VMs lose power for 4 seconds
		And 12 seconds go by
		Then one VM holds the duty
		And its token is higher than any before
		And no window was reported with two different counts

	Scenario: A VM renews its registration right after a suspension
		Given a VM that is registered and renews every 4000 ms
		When it is suspended for 8000 ms
		Then it renews within 600 ms

	Scenario: The age of gossip about store readers includes the suspension
		Given a VM that received gossip of a store reader with recent contact
		When it is suspended for 4000 ms
		Then it knows no store reader with recent contact

	Scenario: After a suspension, data from the store is stale until it is read again
		Given a VM that follows the store
		When it wakes from a suspension
		Then its data from the store is stale
		When the store answers
		Then its data from the store is current

	Scenario Outline: A request in flight during a suspension is retried only within its remaining deadline
		Given a request with 3000 ms that was sent to an engine
		When its VM is suspended for <ms> ms
		And the engine aborts its answer
		Then <outcome>

		Examples:
			| ms   | outcome                                               |
			| 1000 | it is retried with 2000 ms                            |
			| 4000 | it is sent to no other engine and its caller gets 504 |
