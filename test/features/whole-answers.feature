Feature: Every caller gets the whole answer or is told that it did not

	Scenario: An engine crashes in mid-stream and another goes on
		Given a fleet of 2 daemons and 2 engines
		When 6 callers stream answers of 80 tokens and engine 1 is killed in between
		Then every answer is whole

	Scenario: An engine cuts its streams and takes them up again
		Given a fleet of 1 daemon and 1 engine
		And engine 1 cuts its streams after 30 tokens
		When 4 callers stream answers of 40 tokens
		Then every answer is whole

	Scenario: An engine ends its streams early as if they were whole
		Given a fleet of 1 daemon and 1 engine
		And engine 1 ends its streams cleanly after 30 tokens
		When 4 callers stream answers of 40 tokens
		Then every answer is whole

	Scenario: An engine stalls in mid-stream
		Given a fleet of 1 daemon and 2 engines that are given up after 500 ms
		When 6 callers stream answers of 80 tokens and engine 1 stalls in between
		Then every answer is whole

	Scenario: The only engine is lost in mid-stream
		Given a fleet of 1 daemon and 1 engine
		When 2 callers stream answers of 200 tokens and engine 1 is killed in between
		Then every answer ends with an error that says "incomplete" or is whole
		And no answer that is not whole ended cleanly
