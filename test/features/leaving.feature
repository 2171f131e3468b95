Feature: Draining and graceful shutdown

	Scenario: A drained endpoint receives no new requests
		Given a fleet of 3 daemons and 2 engines
		When the operator drains engine 1
		And 12 callers stream answers of 5 tokens
		Then every answer is whole
		And engine 1 received no requests

	Scenario: An engine that reports that it is leaving receives no new requests
		Given a fleet of 3 daemons and 2 engines
		When engine 1 reports that it is leaving and 3 seconds pass
		And 12 callers stream answers of 5 tokens
		Then every answer is whole
		And engine 1 received no requests

	Scenario: A VM that the VM list marks as leaving refuses new requests and finishes active ones
		Given a fleet of 2 daemons and 1 engine
		When 4 callers stream answers of 100 tokens and the VM list marks VM 1 as leaving
		Then every answer is whole
		And daemon 1 refused new requests while it was stopping

	Scenario: A graceful shutdown finishes the active requests
		Given a fleet of 2 daemons and 2 engines
		When 8 callers stream answers of 100 tokens and daemon 1 receives SIGTERM midway
		Then every answer is whole
		And daemon 1 ended with exit code 0
		And daemon 1 refused new requests while it was stopping
