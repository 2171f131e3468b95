Feature: Many nodes, one order

	Scenario: A burst through one daemon does not hurt higher work through another
		Given a fleet of 3 daemons and 2 engines of 2 slots
		When archive swamps daemon 1 and rundown comes through daemon 2
		Then every rundown is complete
		And nothing was shed or preempted for lower work
		And archive made progress during the burst

	Scenario: Lower work with an earlier deadline does not overtake
		Given a fleet of 3 daemons and 2 engines of 2 slots
		When chat swamps daemon 1 and rundown comes through daemon 2
		Then every rundown is complete
		And no rundown was overtaken by lower work

	Scenario: A burst of higher work leaves lower work its minimum
		Given a fleet of 3 daemons and 2 engines of 2 slots
		When chat swamps daemon 1 and archive comes through daemon 2
		Then archive ran as a minimum during the burst

	Scenario: The order holds when an owner dies
		Given a fleet of 3 daemons and 2 engines of 2 slots
		When archive swamps daemon 1 and rundown comes through daemon 2 while daemon 3 is killed
		Then every rundown is complete
		And nothing was shed or preempted for lower work

	Scenario: The order holds while an owner is frozen
		Given a fleet of 3 daemons and 2 engines of 2 slots
		When archive swamps daemon 1 and rundown comes through daemon 2 while daemon 3 is frozen
		Then every rundown is complete

	Scenario: A daemon that is cut off from its peers still serves
		Given a fleet of 3 daemons and 2 engines of 2 slots
		When daemon 1 is cut off from its peers
		And 6 callers stream answers of 5 tokens
		Then every answer is whole

	Scenario: The oracle finds the baseline wrong
		When the fuzz run drives the baseline
		Then the oracle has a finding

	Scenario: The fuzz run has no finding
		When the fuzz run drives 300 command sequences
		Then the oracle has no finding
