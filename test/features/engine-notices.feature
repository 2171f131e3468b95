Feature: Engine notices in answers

	Guards against VMs that ignore what answers announce: that an engine drains, or asks for a back-off.

	Scenario Outline: An engine whose answer announces that it drains gets no new requests
		Given a relay of 1 VM with engines "a, b"
		And engine "a" <does>
		And engine "a" announces in its answers that it drains
		When "GET /plain/" is sent until engine "a" has answered
		And "GET /plain/" is sent 20 times
		Then engine "a" ran 1 requests

		Examples:
			| does     |
			| well     |
			| rejects  |
			| bare-503 |
			| fails    |
			| mixes-up |
			| unsigned |
			| unframed |

	Scenario: A draining engine gets no requests even if its registration is written again as ready
		Given a relay of 1 VM with engines "a, b"
		And engine "a" announces in its answers that it drains
		When "GET /plain/" is sent until engine "a" has answered
		And the registration of engine "a" is written again
		And "GET /plain/" is sent 20 times
		Then engine "a" ran 1 requests

	Scenario: A draining engine gets no requests even if its registration lapses and is written again
		Given a relay of 1 VM with engines "a, b"
		And engine "a" announces in its answers that it drains
		When "GET /plain/" is sent until engine "a" has answered
		And the registration of engine "a" lapses and is written again
		And "GET /plain/" is sent 20 times
		Then engine "a" ran 1 requests

	Scenario: A restarted engine with the same id is used again after it drained
		Given a relay of 1 VM with engines "a"
		And engine "a" announces in its answers that it drains
		When "GET /plain/" is sent until engine "a" has answered
		And engine "a" restarts and does not drain
		And "GET /plain/" is sent until engine "a" has answered 2 times
		Then the answer is 200

	Scenario: The notice in an answer applies even if its caller has disconnected
		Given a relay of 1 VM with engines "a"
		And engine "a" takes 300 ms to answer
		And engine "a" announces in its answers that it drains
		When the caller of "POST /once/" disconnects 100 ms after engine "a" received it
		And 1500 ms pass in quiet
		And "GET /plain/" is sent
		Then the answer is 503
		And it says when to come back
		And engine "a" ran 1 requests

	Scenario Outline: An engine that asks for a back-off gets no requests during it and gets requests afterwards
		Given a relay of 1 VM with engines "a, b"
		And engine "a" <does>
		And engine "a" asks for a back-off of 1.5 seconds
		When "GET /plain/" is sent for 4000 ms
		Then engine "a" got no request during its back-off
		And engine "a" got another request

		Examples:
			| does     |
			| rejects  |
			| bare-503 |

	Scenario: While all engines back off, the retry time is that of the first engine available again
		Given a relay of 1 VM with engines "a, b"
		And engine "a" rejects
		And engine "a" asks for a back-off of 60 seconds
		And engine "b" rejects
		And engine "b" asks for a back-off of 9 seconds
		When "POST /once/" with body "order" is sent
		And "POST /once/" with body "order" is sent
		Then the answer is 503
		And the retry time is 4 to 9 seconds
		And 2 requests ran

	Scenario: The retry time of a rejected request is short if another engine is available
		Given a relay of 1 VM with engines "a, b"
		And engine "a" rejects
		And engine "a" asks for a back-off of 9 seconds
		When "POST /stream/once/" is sent until engine "a" has answered
		Then the answer is 503
		And the retry time is 0.1 to 1 seconds
		When "POST /stream/once/" is sent
		Then that stream is complete

	Scenario: The back-off of an engine ends when it restarts with the same id
		Given a relay of 1 VM with engines "a"
		And engine "a" rejects
		And engine "a" asks for a back-off of 60 seconds
		When "GET /plain/" is sent
		And engine "a" restarts and does not drain
		And "GET /plain/" is sent until engine "a" has answered 2 times
		Then the answer is 200

	Scenario: A back-off also expires while the VM is suspended
		Given a directory with engine "a"
		When engine "a" in the directory asks for a back-off of 3 seconds
		Then engine "a" is not offered
		When the VM is suspended for 3100 ms
		Then engine "a" is offered

	Scenario: A request that waits for its connection is not sent to an engine that asks for a back-off meanwhile
		Given a relayed request that waits for its connection to engine "a"
		When engine "a" in the directory asks for a back-off of 3 seconds
		And the connection is established
		Then nothing is sent to engine "a", and the request goes to engine "b"

	Scenario Outline: A request that waits for its connection is not sent to an engine that starts to leave meanwhile
		Given a relayed request that waits for its connection to engine "a"
		When the store tells that engine "a" <leaves>
		And the connection is established
		Then nothing is sent to engine "a", and the request goes to engine "b"

		Examples:
			| leaves           |
			| drains           |
			| is not there now |

	Scenario: A call that is withdrawn when its connection is established sends nothing
		Given an engine that records its requests
		When a call is withdrawn when its connection is established
		Then the call ends as not sent
		And the engine got no request

	Scenario: Planned exits of engines do not count as crashes
		Given a relay of 1 VM with engines "a, b, c"
		And engines "a, b, c" announce in their answers that they drain
		When "POST /stream/once/" with body "letter" runs on engines "a, b, c" while these exit
		And engine "d" registers
		And "POST /stream/once/" with body "letter" is sent until engine "d" has answered
		Then the answer is 200
