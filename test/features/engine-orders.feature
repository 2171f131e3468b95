Feature: Engines are ordered by need, in simulated time

	Background:
		Given 20 engines in each of 4 failure domains, up to 40 each, that boot in 4 s

	Scenario: Engines that may be taken away take the place of the others once they serve
		When 15 seconds go by at a demand of 0 engines
		Then at least 80 engines served all the time
		And none of the others is left
		And engines of all domains serve

	Scenario: The number follows the demand, and stays for a while after a burst
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

	Scenario: A domain's engines are taken away, and there are no others for a while
		When 20 seconds go by at a demand of 30 engines
		And all that may be taken away leave domain "a", and there are none to be had there
		And 8 seconds go by at a demand of 30 engines
		Then at least 60 engines serve
		And at most 2 of the others serve
		When there are engines to be had again in domain "a"
		And 12 seconds go by at a demand of 30 engines
		Then engines of all domains serve

	Scenario: All that may be taken away leave everywhere: others are ordered at once for what is missing
		When 20 seconds go by at a demand of 30 engines
		And all that may be taken away leave every domain, and there are none to be had
		And 6 seconds go by at a demand of 30 engines
		Then at least 36 engines serve
		When there are engines to be had again everywhere
		And 20 seconds go by at a demand of 30 engines
		Then none of the others is left

	Scenario: A quarter of the engines crash
		When 20 seconds go by at a demand of 30 engines
		And every fourth engine crashes for good
		And 14 seconds go by at a demand of 30 engines
		Then 80 to 110 engines serve

	Scenario: Orders are lost, or carried out late and out of turn
		Given 40 of 100 orders get no answer and are carried out 6000 ms late
		When 15 seconds go by at a demand of 20 engines
		And 3 seconds go by at a demand of 50 engines
		And 40 seconds go by at a demand of 50 engines
		Then 105 to 160 engines serve
		And no engine was ordered under a lower token than one before

	Scenario: A VM that knows too little orders nothing
		Given the holder does not hear the fleet
		When 20 seconds go by at a demand of 10 engines
		Then no engine was ordered

	Scenario: A platform that takes few calls is asked no more often, and no token is raised for what it turned down
		Given the platform takes 4 calls a second
		When 30 seconds go by at a demand of 20 engines
		Then 40 to 70 engines serve
		And at most 4 calls were turned down
		And the token was never raised

	Scenario: Engines that name how few requests they take are not counted on for the others
		When 30 seconds go by at a demand of 20 engines
		And 30 engines name a limit
		And 8 seconds go by at a demand of 20 engines
		Then at least 85 engines serve
		When no engine names a limit
		And 90 seconds go by at a demand of 20 engines
		Then 40 to 75 engines serve
