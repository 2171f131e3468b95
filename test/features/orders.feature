Feature: Orders to endpoints are fenced

	Scenario: An order is given under a lease with a fencing token
		Given a fleet of 2 daemons and 1 engine
		When the operator runs "order engine-1 load-model station-2"
		Then it exits with 0
		And it prints "engine-1 took load-model station-2, fencing token"
		When the operator runs "order engine-1 fly"
		Then it exits with 64
		And it prints "column 16: unexpected \"fly\""

	Scenario: The weight store is asked before a load order
		Given a fleet of 1 daemon and 1 engine
		When the operator runs "order engine-1 load-model no-such"
		Then it exits with 1
		And it prints "The weight store has nothing named no-such"

	Scenario: A holder that was overtaken is refused by the endpoint
		Given a fleet of 2 daemons and 1 engine
		When the operator runs "order engine-1 set-role prefill"
		Then it exits with 0
		And an older order to engine 1 is refused

	Scenario: An endpoint that does not check, and a holder that vanished
		When a holder vanishes with an order to an endpoint that does not check
		Then the next holder sends its order only after the lease and a margin

	Scenario: The lease lapsed while its holder was paused
		When a holder is paused for 3000 ms between its lease and its order
		Then the order is not sent
