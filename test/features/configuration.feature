Feature: An accepted configuration reaches every daemon and is never reverted

	Scenario: Of two concurrent changes, one is accepted and the other reports the conflict
		Given a fleet of 3 daemons and 1 engine
		When two operators change the deadline of chat at once through different daemons
		Then one change is accepted and the other is rejected with the author and changes of the accepted version
		And every daemon has version 2 in force

	Scenario: A change is confirmed although the reply to its write was lost
		Given a fleet of 2 daemons and 1 engine
		And the key-value service loses its next reply
		When an operator changes the deadline of chat
		Then the change is accepted as version 2
		And every daemon has version 2 in force

	Scenario: A daemon that starts while the key-value service is down gets the configuration in force
		Given a fleet of 3 daemons and 1 engine
		And the key-value service is down
		When daemon 3 is killed and started again
		Then every daemon has version 1 in force
		When the openai client of listener-app asks "outage len=9" as a stream
		Then the answer is that of "outage len=9"

	Scenario: A daemon that was frozen applies the newer version
		Given a fleet of 3 daemons and 1 engine
		When daemon 3 is frozen
		And an operator changes the deadline of chat
		And daemon 3 is thawed
		Then every daemon has version 2 in force

	Scenario: Changed limits of an endpoint apply immediately
		Given a fleet of 3 daemons and 1 engine
		When an operator limits engine 1 to 2 slots
		And 12 callers stream answers of 40 tokens
		Then every answer is whole
		And engine 1 never ran more than 3 requests at once

	Scenario: The configuration in force is shown with its version and author
		Given a fleet of 1 daemon and 1 engine
		When the operator runs "config show"
		Then it exits with 0
		And it prints "# version 1 by bench"
