Feature: Non-repeatable requests run at most once

	Scenario: The reply to a claim is lost after the write has taken effect
		Given a fleet of 2 daemons and 1 engine
		And the key-value service loses its next reply
		When newsroom posts "total-2" to the portal with key "k2"
		Then the post has status 200 and outcome "complete"
		And the portal counted 1 effect of "total-2"

	Scenario: Without the key-value service, keyed requests fail and others are served
		Given a fleet of 2 daemons and 1 engine
		And the key-value service is down
		When newsroom posts "total-3" to the portal with key "k3"
		Then the post has status 503 and outcome "not-run"
		And the portal counted 0 effects of "total-3"
		When the openai client of listener-app asks "still here len=9" as a stream
		Then the answer is that of "still here len=9"

	Scenario: A request that may have run is not sent again
		Given a fleet of 1 daemon and 1 engine
		And the portal closes connections after the effect
		When newsroom posts "total-4" to the portal
		Then the post has status 502 and outcome "unknown"
		And the portal counted 1 effect of "total-4"

	Scenario: Concurrent requests with one key through two daemons run once
		Given a fleet of 2 daemons and 1 engine
		When newsroom posts "total-5" with key "k5" through every daemon at once
		Then every post is complete
		And the portal counted 1 effect of "total-5"

	Scenario: A retry through another VM after the first one failed gets a conflict
		Given a fleet of 2 daemons and 1 engine
		When newsroom posts "total-7" with key "k7" and daemon 1 is killed after the effect
		And newsroom retries "total-7" with key "k7" through daemon 2
		Then the post has status 409 and outcome "unknown"
		And the portal counted 1 effect of "total-7"

	Scenario: A retry through another VM gets the answer of the running request
		Given a fleet of 2 daemons and 1 engine
		When newsroom posts "total-8" with key "k8" through daemon 1 and disconnects
		And newsroom retries "total-8" with key "k8" through daemon 2
		Then the post has status 200 and outcome "complete"
		And the portal counted 1 effect of "total-8"

	Scenario: A claim of a caller that disconnected before dispatch blocks a retry
		Given a fleet of 2 daemons and 1 engine
		And the key-value service takes 400 ms for each call
		When newsroom posts "total-9" with key "k9" through daemon 1 and disconnects during the claim
		And newsroom retries "total-9" with key "k9" through daemon 2
		Then the post has status 409 and outcome "unknown"
		And the portal counted 0 effects of "total-9"

	Scenario: A request to an unreachable service has not run
		Given a fleet of 1 daemon and 1 engine
		And the portal is killed
		When newsroom posts "total-6" to the portal
		Then the post has status 503 and outcome "not-run"
