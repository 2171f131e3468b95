Feature: Leaving and stopping

	Scenario: A drained endpoint gets no new work
		Given a fleet of 3 daemons and 2 engines
		When the operator drains engine 1
		And 12 callers stream answers of 5 tokens
		Then every answer is whole
		And engine 1 ran nothing

	Scenario: An engine that says it is leaving gets no new work
		Given a fleet of 3 daemons and 2 engines
		When engine 1 says that it is leaving and 3 seconds pass
		And 12 callers stream answers of 5 tokens
		Then every answer is whole
		And engine 1 ran nothing

	Scenario: A VM that the platform lists as leaving takes no new requests and finishes the others
		Given a fleet of 2 daemons and 1 engine
		When 4 callers stream answers of 100 tokens and the list says that VM 1 is leaving
		Then every answer is whole
		And daemon 1 refused new requests while it stopped

	Scenario: A planned stop cuts off no request in flight
		Given a fleet of 2 daemons and 2 engines
		When 8 callers stream answers of 100 tokens and daemon 1 is told to stop in between
		Then every answer is whole
		And daemon 1 ended with exit code 0
		And daemon 1 refused new requests while it stopped
