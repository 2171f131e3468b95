Feature: Orders to endpoints

	Scenario: An order is given under a lease with a fencing token
		Given a fleet of 2 daemons and 1 engine
		When the operator runs "order engine-1 load-model station-2"
		Then it exits with 0
		And it prints "engine-1 took load-model station-2, fencing token"
		When the operator runs "order engine-1 fly"
		Then it exits with 64
		And it prints "column 16: unexpected \"fly\""

	Scenario: A load order for unknown weights is refused
		Given a fleet of 1 daemon and 1 engine
		When the operator runs "order engine-1 load-model no-such"
		Then it exits with 1
		And it prints "The weight store has nothing named no-such"

	Scenario: An endpoint refuses an order with an outdated fencing token
		Given a fleet of 2 daemons and 1 engine
		When the operator runs "order engine-1 set-role prefill"
		Then it exits with 0
		And an order with an outdated fencing token to engine 1 is refused

	Scenario: After an unfinished order, an endpoint without token checks gets no order before the lease expires
		When a holder crashes during an order to an endpoint without token checks
		Then the next holder sends its order only after the duration of a lease

	Scenario: A holder that pauses after taking its lease does not send its order
		When a holder is paused for 3000 ms between its lease and its order
		Then the order is not sent
