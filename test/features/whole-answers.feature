Feature: Streams end complete or with an error

	Scenario: A stream resumes on another engine after a crash
		Given a fleet of 2 daemons and 2 engines
		When 6 callers stream answers of 80 tokens and engine 1 is killed midway
		Then every answer is whole

	Scenario: A stream resumes on the same engine after a broken connection
		Given a fleet of 1 daemon and 1 engine
		And engine 1 breaks its streams after 30 tokens
		When 4 callers stream answers of 40 tokens
		Then every answer is whole

	Scenario: A stream that ends cleanly without its final event is resumed
		Given a fleet of 1 daemon and 1 engine
		And engine 1 ends its streams cleanly after 30 tokens
		When 4 callers stream answers of 40 tokens
		Then every answer is whole

	Scenario: A stream resumes on another engine after a stall
		Given a fleet of 1 daemon and 2 engines with a stall timeout of 500 ms
		When 6 callers stream answers of 80 tokens and engine 1 stalls midway
		Then every answer is whole

	Scenario: A stream that cannot be resumed ends with an error
		Given a fleet of 1 daemon and 1 engine
		When 2 callers stream answers of 200 tokens and engine 1 is killed midway
		Then every answer is whole or ends with an error that says "incomplete"
		And no incomplete answer ended cleanly
