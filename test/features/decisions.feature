Feature: Scheduling decisions

	Scenario: A customer with many requests does not take all slots of a tier
		Given an owner with 8 slots
		When daemon "a" requests 20 slots for customer "large" and daemon "b" 4 for customer "small", all of tier 2
		Then customer "small" has 4 slots
		And customer "large" has 4 slots

	Scenario: A higher tier goes first even if a lower tier has earlier deadlines
		Given an owner with 2 slots
		When daemon "a" requests 2 slots in tier 3 due in 10 ms and daemon "b" 2 in tier 1 due in 5000 ms
		Then daemon "b" has 2 grants
		And daemon "a" has 0 grants

	Scenario: A class without a slot gets its floor outside the limit
		Given an owner with 2 slots that serves the floor of "low"
		When daemon "a" runs 2 requests of "high" and daemon "b" waits 1500 ms with "low"
		Then daemon "b" has 1 grant outside the limit

	Scenario: An urgent request preempts a run of a lower tier, but not a floor slot
		Given an owner with 2 slots
		When daemon "a" runs "low" in tier 3 and in a floor slot, and daemon "b" requests preemption in tier 1
		Then daemon "a" is asked to preempt 1 request outside the floor slot

	Scenario: The limit of a slow engine decreases and recovers
		Given an endpoint of 20 slots with a target of 60 ms
		When tokens arrive every 180 ms for 2 seconds
		Then its limit is below 8
		When tokens arrive every 40 ms for 10 seconds
		Then its limit is 20 again

	Scenario: Failures open the circuit breaker, which then admits one trial request
		Given an endpoint of 20 slots with a target of 60 ms
		When it fails 3 times
		Then its limit is 0 at once and 1 after 500 ms
		When one request completes
		Then its limit is 20 again

	Scenario: Incremental owner updates give the same owners as a full computation
		Then after each of 200 changes of members every endpoint has the owner that scores highest

	Scenario: An API key identifies its own customer only
		Then each of 300 keys finds its own customer and 300 other keys find none
