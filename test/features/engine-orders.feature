Feature: Engines are ordered by demand, in simulated time

	Background:
		Given 20 engines in each of 4 failure domains, up to 40 each, that boot in 4 s

	Scenario: Spot engines replace regular ones once they serve
		When 15 seconds go by at a demand of 0 engines
		Then at least 80 engines served all the time
		And no regular engine serves
		And engines of all domains serve

	Scenario: The number of engines follows the demand and is kept for a while after a burst
		When 30 seconds go by at a demand of 20 engines
		Then 40 to 70 engines serve
		When 1 second goes by at a demand of 50 engines
		Then engines for a demand of 50 are ordered
		When 5 seconds go by at a demand of 50 engines
		Then 105 to 160 engines serve
		When 5 seconds go by at a demand of 20 engines
		Then 105 to 160 engines serve
		When 90 seconds go by at a demand of 20 engines
		Then 40 to 75 engines serve

	Scenario: A domain loses its spot engines and has no new ones for a while
		When 20 seconds go by at a demand of 30 engines
		And domain "a" loses all spot engines and has no new ones
		And 8 seconds go by at a demand of 30 engines
		Then at least 60 engines serve
		And at most 2 regular engines serve
		When spot engines are available again in domain "a"
		And 12 seconds go by at a demand of 30 engines
		Then engines of all domains serve

	Scenario: Regular engines are ordered immediately when all spot engines are lost
		When 20 seconds go by at a demand of 30 engines
		And every domain loses all spot engines and has no new ones
		And 6 seconds go by at a demand of 30 engines
		Then at least 36 engines serve
		When spot engines are available again everywhere
		And 20 seconds go by at a demand of 30 engines
		Then no regular engine serves

	Scenario: Crashed engines are replaced
		When 20 seconds go by at a demand of 30 engines
		And every fourth engine crashes
		And 14 seconds go by at a demand of 30 engines
		Then 80 to 110 engines serve

	Scenario: The demand is met although orders are unanswered and executed late and out of order
		Given 40% of orders get no answer and are executed 6000 ms late
		When 15 seconds go by at a demand of 20 engines
		And 3 seconds go by at a demand of 50 engines
		And 40 seconds go by at a demand of 50 engines
		Then 105 to 160 engines serve
		And no accepted order has a lower token than an earlier one

	Scenario: A VM without current knowledge of the fleet orders nothing
		Given the holder receives no gossip
		When 20 seconds go by at a demand of 10 engines
		Then no engine was ordered

	Scenario: The rate limit of the platform is respected, and throttled calls do not raise the token
		Given the platform accepts 4 calls per second
		When 30 seconds go by at a demand of 20 engines
		Then 40 to 70 engines serve
		And at most 4 calls were throttled
		And the token was never raised

	Scenario: Rate-limited engines do not count as capacity
		When 30 seconds go by at a demand of 20 engines
		And 30 engines announce a rate limit
		And 8 seconds go by at a demand of 20 engines
		Then at least 85 engines serve
		When no engine announces a rate limit
		And 90 seconds go by at a demand of 20 engines
		Then 40 to 75 engines serve
