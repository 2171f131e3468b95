Feature: What engines say of themselves in their answers

	An engine left while the store took no writes, and said so in the head of each answer. The VMs went by its registration, which
	still read ready: after `engine.seen engine=i-000d82ced6 draining=false` no line tells of it again, and 32 `request.placed` lines
	name it in the 6.3 s behind its first such answer, one of them 2.5 s behind the answer that the same VM had passed on. Two engines
	turned requests away and asked each VM for 3 s of rest. The VM handed that time to the caller and forgot it: one VM sent the same
	engine five more requests in the next four seconds, since with `fleet_running=0` it looked the best of all, and all ended with
	`outcome=refused reason="rejected with 503"`.

	Scenario Outline: An engine whose answer says that it leaves gets nothing new
		Given a relay of 1 VM with engines "a, b"
		And engine "a" <does>
		And engine "a" says in its answers that it leaves
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

	Scenario: That holds too where the store still holds its registration as ready, written again
		Given a relay of 1 VM with engines "a, b"
		And engine "a" says in its answers that it leaves
		When "GET /plain/" is sent until engine "a" has answered
		And the registration of engine "a" is written again
		And "GET /plain/" is sent 20 times
		Then engine "a" ran 1 requests

	Scenario: It holds for as long as that start of the engine lives, also when its registration lapses meanwhile
		Given a relay of 1 VM with engines "a, b"
		And engine "a" says in its answers that it leaves
		When "GET /plain/" is sent until engine "a" has answered
		And the registration of engine "a" lapses and is written again
		And "GET /plain/" is sent 20 times
		Then engine "a" ran 1 requests

	Scenario: An engine that began again under its id is used again
		Given a relay of 1 VM with engines "a"
		And engine "a" says in its answers that it leaves
		When "GET /plain/" is sent until engine "a" has answered
		And engine "a" begins again and does not leave
		And "GET /plain/" is sent until engine "a" has answered 2 times
		Then the answer is 200

	Scenario: Nobody waits for an answer, and what it says of its engine counts all the same
		Given a relay of 1 VM with engines "a"
		And engine "a" takes 300 ms to answer
		And engine "a" says in its answers that it leaves
		When the caller of "POST /once/" leaves after 100 ms
		And 1500 ms pass in quiet
		And "GET /plain/" is sent
		Then the answer is 503
		And it says when to come back
		And engine "a" ran 1 requests

	Scenario Outline: An engine that asks for rest gets no request in that time, and gets some after it
		Given a relay of 1 VM with engines "a, b"
		And engine "a" <does>
		And engine "a" asks for 1.5 seconds of rest
		When "GET /plain/" is sent for 4000 ms
		Then engine "a" was let rest each time
		And engine "a" was asked again

		Examples:
			| does     |
			| rejects  |
			| bare-503 |

	Scenario: While all engines rest, callers are told when the first may be asked again
		Given a relay of 1 VM with engines "a, b"
		And engine "a" rejects
		And engine "a" asks for 60 seconds of rest
		And engine "b" rejects
		And engine "b" asks for 9 seconds of rest
		When "POST /once/" with body "order" is sent
		And "POST /once/" with body "order" is sent
		Then the answer is 503
		And it says to come back after 4 to 9 seconds
		And 2 requests ran

	Scenario: A caller whose request is turned away comes back soon where another engine can take it
		Given a relay of 1 VM with engines "a, b"
		And engine "a" rejects
		And engine "a" asks for 9 seconds of rest
		When "POST /stream/once/" is sent until engine "a" has answered
		Then the answer is 503
		And it says to come back after 0.1 to 1 seconds
		When "POST /stream/once/" is sent
		Then that stream is whole

	Scenario: An engine that began again under its id needs no rest
		Given a relay of 1 VM with engines "a"
		And engine "a" rejects
		And engine "a" asks for 60 seconds of rest
		When "GET /plain/" is sent
		And engine "a" begins again and does not leave
		And "GET /plain/" is sent until engine "a" has answered 2 times
		Then the answer is 200

	Scenario: Rest is over in time, also where the VM is suspended meanwhile
		Given a directory with engine "a"
		When engine "a" asks for 3 seconds of rest there
		Then engine "a" is not offered
		When the VM is suspended for 3100 ms
		Then engine "a" is offered

	Scenario: A request that waits for its connection is not sent to an engine that has asked for rest meanwhile
		Given a relayed request that waits for its connection to engine "a"
		When engine "a" asks for 3 seconds of rest there
		And the connection is up
		Then nothing is sent to engine "a", and the request goes to engine "b"

	Scenario: A call that is no longer wanted when its connection is up leaves no byte there
		Given an engine that counts what it gets
		When a call is taken back as its connection comes up
		Then the call ends as not sent
		And the engine got no request

	Scenario: Engines that end as planned are no crashes
		Given a relay of 1 VM with engines "a, b, c"
		And engines "a, b, c" say in their answers that they leave
		When "POST /stream/once/" with body "letter" runs on engines "a, b, c" as these end
		And engine "d" registers
		And "POST /stream/once/" with body "letter" is sent until engine "d" has answered
		Then the answer is 200
