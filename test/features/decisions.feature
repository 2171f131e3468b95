Feature: Decisions, on their own

	Scenario: One large customer cannot take a tier
		Given an owner with 8 slots
		When entry "a" wants 20 slots for customer "large" and entry "b" 4 for customer "small", all of tier 2
		Then customer "small" has 4 slots
		And customer "large" has 4 slots

	Scenario: Tiers come first, whatever the deadlines
		Given an owner with 2 slots
		When entry "a" wants 2 slots in tier 3 due in 10 ms and entry "b" 2 in tier 1 due in 5000 ms
		Then entry "b" has 2 grants
		And entry "a" has 0 grants

	Scenario: A class that gets nothing is given its minimum outside the limit
		Given an owner with 2 slots that serves the minimum of "low"
		When entry "a" runs 2 requests of "high" and entry "b" waits 1500 ms with "low"
		Then entry "b" has 1 grant outside the limit

	Scenario: Lower work is cut off for an urgent request, the minimum is not
		Given an owner with 2 slots
		When entry "a" runs "low" in tier 3 and as a minimum, and entry "b" is urgent in tier 1
		Then entry "a" is asked to cut off 1 request that is not a minimum

	Scenario: A slow engine loses slots and gets them back
		Given an endpoint of 20 slots with a target of 60 ms
		When tokens come every 180 ms for 2 seconds
		Then its limit is below 8
		When tokens come every 40 ms for 10 seconds
		Then its limit is 20 again

	Scenario: An endpoint that fails is closed and tried again with one request
		Given an endpoint of 20 slots with a target of 60 ms
		When it fails 3 times
		Then its limit is 0 at once and 1 after 500 ms
		When one request completes
		Then its limit is 20 again

	Scenario: Owners that are kept up to date are those that would be chosen anew
		Then after each of 200 changes of members every endpoint has the owner that scores highest

	Scenario: A bearer key finds its customer among many, and no other key does
		Then each of 300 keys finds its own customer and 300 other keys find none
