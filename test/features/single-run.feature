Feature: What must happen once happens at most once

	Scenario: The reply to a claim is lost after the write took effect
		Given a fleet of 2 daemons and 1 engine
		And the key-value service loses its next reply
		When newsroom posts "total-2" to the portal with key "k2"
		Then the post has status 200 and outcome "complete"
		And the portal counted 1 effect of "total-2"

	Scenario: The key-value service is down
		Given a fleet of 2 daemons and 1 engine
		And the key-value service is down
		When newsroom posts "total-3" to the portal with key "k3"
		Then the post has status 503 and outcome "not-run"
		And the portal counted 0 effects of "total-3"
		When the openai client of listener-app asks "still here len=9" as a stream
		Then the answer is that of "still here len=9"

	Scenario: The service is lost after the effect, and the request is not sent again
		Given a fleet of 1 daemon and 1 engine
		And the portal cuts connections after the effect
		When newsroom posts "total-4" to the portal
		Then the post has status 502 and outcome "unknown"
		And the portal counted 1 effect of "total-4"

	Scenario: The same key through two daemons at once
		Given a fleet of 2 daemons and 1 engine
		When newsroom posts "total-5" with key "k5" through every daemon at once
		Then every post is complete
		And the portal counted 1 effect of "total-5"

	Scenario: The caller comes back through another VM after the first one died
		Given a fleet of 2 daemons and 1 engine
		When newsroom posts "total-7" with key "k7" and daemon 1 dies after the effect
		And newsroom comes back with "total-7" and key "k7" through daemon 2
		Then the post has status 409 and outcome "unknown"
		And the portal counted 1 effect of "total-7"

	Scenario: The caller leaves and comes back through another VM while it runs
		Given a fleet of 2 daemons and 1 engine
		When newsroom posts "total-8" with key "k8" through daemon 1 and leaves
		And newsroom comes back with "total-8" and key "k8" through daemon 2
		Then the post has status 200 and outcome "complete"
		And the portal counted 1 effect of "total-8"

	Scenario: The caller leaves while the claim is being written
		Given a fleet of 2 daemons and 1 engine
		And the key-value service takes 400 ms for each call
		When newsroom posts "total-9" with key "k9" through daemon 1 and leaves during the claim
		And newsroom comes back with "total-9" and key "k9" through daemon 2
		Then the post has status 409 and outcome "unknown"
		And the portal counted 0 effects of "total-9"

	Scenario: The service cannot be reached
		Given a fleet of 1 daemon and 1 engine
		And the portal is killed
		When newsroom posts "total-6" to the portal
		Then the post has status 503 and outcome "not-run"
