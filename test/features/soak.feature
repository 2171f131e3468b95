Feature: Fault-injection soak

	Scenario Outline: The oracle detects a relay that <defect>
		Given records of a run in which all guarantees hold
		When the relay <defect>
		Then the oracle reports a violation of "<guarantee>" only

		Examples:
			| defect                                             | guarantee             |
			| runs a non-idempotent request twice                | atMostOnce            |
			| reports a request that ran as not run              | notRun                |
			| ends an answer too early                           | completeAnswer        |
			| mixes the streams of two requests                  | completeAnswer        |
			| sends requests to an engine that has departed      | engineDeparture       |
			| sends requests to an engine that announced leaving | leavingNotice         |
			| ignores the back-off of an engine                  | backOff               |
			| does not share an engine's limit between VMs       | rateLimit             |
			| breaks a request in a planned stop                 | gracefulStop          |
			| cuts a stream of an engine that falls silent       | lostAnswer            |
			| serves a removed key                               | configurationDelay    |
			| refuses an added key                               | configurationDelay    |
			| goes back to an older configuration                | configurationRollback |
			| reports the wrong customer                         | customer              |
			| retries every request                              | retryBudget           |
			| stays down after the last fault                    | recovery              |
			| leaks open files                                   | resourceLeak          |
			| exits unexpectedly                                 | unexpectedExit        |
			| ends a request by an error of its own              | requestDefect         |

	Scenario: A VM is exempt from time bounds while a fault affects it
		Given records of a run in which all guarantees hold
		When the relay serves a removed key
		And the VM was paused meanwhile
		Then the oracle reports no finding

	Scenario: The oracle excuses an answer that was lost with its engine
		Given records of a run in which all guarantees hold
		When the relay cuts a stream of an engine that falls silent
		And the engine crashed meanwhile
		Then the oracle reports no finding

	Scenario: The proxy delays, stalls and refuses connections without altering bytes
		Given an echo server behind a proxy
		Then bytes come back in order while the proxy's delay rises and falls
		And bytes are held back while the link is stalled, and come back afterwards
		And a new connection is reset while the link is refusing

	Scenario: The proxy distinguishes a reset that comes with the last bytes from an end
		Given a server behind a proxy that writes and resets at once
		Then a connection through the proxy is reset 20 times
		Given a server behind a proxy that writes and ends at once
		Then a connection through the proxy is ended 20 times

	Scenario: A short run with a fixed seed finds no violation
		When the soak runs seed 7 for 3 seconds with 3 VMs
		Then the run has no findings and served requests
