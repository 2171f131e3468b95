Feature: Priority order across the fleet

	Scenario: A burst at one daemon does not delay higher tiers at another
		Given a fleet of 3 daemons and 2 engines of 2 slots
		When archive floods daemon 1 while rundown arrives at daemon 2
		Then every rundown is complete
		And nothing was shed or preempted for lower work
		And archive made progress during the burst

	Scenario: A lower tier with an earlier deadline does not overtake a higher one
		Given a fleet of 3 daemons and 2 engines of 2 slots
		When chat floods daemon 1 while rundown arrives at daemon 2
		Then every rundown is complete
		And no rundown was overtaken by lower work

	Scenario: A burst of a higher tier leaves a lower tier its reserved slots
		Given a fleet of 3 daemons and 2 engines of 2 slots
		When chat floods daemon 1 while archive arrives at daemon 2
		Then archive ran in its reserved slots during the burst

	Scenario: The order holds when an endpoint owner is killed
		Given a fleet of 3 daemons and 2 engines of 2 slots
		When archive floods daemon 1 while rundown arrives at daemon 2 and daemon 3 is killed
		Then every rundown is complete
		And nothing was shed or preempted for lower work

	Scenario: Higher tiers complete while an endpoint owner is frozen
		Given a fleet of 3 daemons and 2 engines of 2 slots
		When archive floods daemon 1 while rundown arrives at daemon 2 and daemon 3 is frozen
		Then every rundown is complete

	Scenario: A daemon that is cut off from its peers still serves requests
		Given a fleet of 3 daemons and 2 engines of 2 slots
		When daemon 1 is cut off from its peers
		And 6 callers stream answers of 5 tokens
		Then every answer is whole

	Scenario: The fuzz run detects ordering violations of the independent policy
		When the fuzz run tests the independent policy
		Then the fuzz run reports a violation

	Scenario: The fuzz run finds no violation under the granted policy
		When the fuzz run tests 300 command sequences
		Then the fuzz run reports no violation
