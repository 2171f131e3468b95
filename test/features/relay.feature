Feature: Relaying requests

	Scenario: The retry time for callers grows with the length of a store outage
		Given a relay of 1 VM that has no configuration
		And the store turns VM 1 away
		When "GET /plain/" is sent
		Then the retry time is 0.3 to 1 seconds
		When 2000 ms pass in quiet
		And "GET /plain/" is sent
		Then the retry time is 1.5 to 4 seconds

	Scenario Outline: A restarted VM continues its registration
		Given a relay of 1 VM with engines "a"
		When its process <ends> and is started again
		Then the VM is ready within 3000 ms
		And the store granted 1 lease and took 1 write
		And the last engines were read by a call that may not be seconds old
		When "GET /plain/" is sent
		Then the answer is 200

		Examples:
			| ends              |
			| is killed         |
			| stops as planned  |

	Scenario: A restarted VM whose registration has expired registers again
		Given a relay of 1 VM with engines "a"
		When its process is killed, its lease ends and it is started again
		Then the VM is ready within 3000 ms
		And the store granted 2 leases and took 2 writes

	Scenario: A VM is not ready before it knows the engines
		Given a store that withholds the engines
		And a relay of 1 VM that has no configuration
		When a configuration comes
		And 600 ms pass in quiet
		Then the VM is not ready
		When the store tells the engines
		Then the VM is ready within 3000 ms
		When "POST /once/" with body "order" is sent
		Then the answer is 200

	Scenario: A request reaches its engine unchanged and its answer is returned completely
		Given a relay of 1 VM with engines "a"
		When "POST /plain/x?q=1" with body "hello" is sent
		Then the answer is 200 "answer to hello", signed by "a"
		And engine "a" saw "POST /plain/x?q=1" with body "hello"
		And engine "a" saw the customer "station" but no key
		And engine "a" received its own id as the expected one and less time than the caller has

	Scenario: A request that the configuration does not allow is denied and does not run
		Given a relay of 1 VM with engines "a"
		When "GET /nowhere/" is sent
		Then the answer is 404
		When "GET /plain/" is sent with key "unknown"
		Then the answer is 401
		And 0 requests ran

	Scenario: A caller that is refused while it sends its body receives the status
		Given a relay of 1 VM with engines "a"
		Then a caller of the VM that writes 5000000 bytes before it reads receives 413

	Scenario: A VM without a configuration answers 503 instead of 404
		Given a relay of 1 VM that has no configuration
		When "GET /nowhere/" is sent
		Then the answer is 503
		And the VM is not ready

	Scenario: A non-idempotent request is not retried after a reset
		Given a relay of 1 VM with engines "a, b"
		And engine "a" resets
		And engine "b" resets
		When "POST /once/" with body "order" is sent
		Then the answer is 502
		And 1 requests ran

	Scenario: An idempotent request is retried on a second engine after a reset
		Given a relay of 1 VM with engines "a, b"
		And engine "a" resets
		When "GET /plain/" is sent 6 times
		Then each answer is 200

	Scenario: A request that no engine ran is refused with a retry time
		Given a relay of 1 VM with engines "a, b"
		And engine "a" rejects
		And engine "b" rejects
		When "POST /once/" with body "order" is sent
		Then the answer is 503
		And it says when to come back

	Scenario Outline: An answer that does not prove its origin is not forwarded
		Given a relay of 1 VM with engines "a"
		And engine "a" <does>
		When "POST /once/" with body "order" is sent
		Then the answer is 502
		And it has no signature

		Examples:
			| does     |
			| bare-503 |
			| mixes-up |
			| unsigned |
			| unframed-reset |
			| unframed-reset-at-once |

	Scenario: An answer without a length ends with its connection
		Given a relay of 1 VM with engines "a"
		And engine "a" unframed
		When "POST /once/" with body "order" is sent
		Then the answer is 200 "half and half", signed by "a"

	Scenario Outline: A stream without a length ends with its connection
		Given a relay of 1 VM with engines "a"
		And engine "a" unframed-stream
		When "<call>" is sent 4 times
		Then each stream is complete

		Examples:
			| call                  |
			| POST /stream/resumed/ |
			| POST /stream/once/    |

	Scenario Outline: A stream that ends with its connection inside an event is resumed
		Given a relay of 1 VM with engines "a, b"
		And engine "a" <does>
		When "POST /stream/resumed/" is sent 6 times
		Then each stream is complete

		Examples:
			| does                      |
			| unframed-stream-cut       |
			| unframed-stream-cut-in-id |

	Scenario Outline: A stream that may not be resumed and ends inside an event is cut
		Given a relay of 1 VM with engines "a"
		And engine "a" <does>
		When "POST /stream/once/" is sent
		Then the answer is cut after 3 events

		Examples:
			| does                      |
			| unframed-stream-cut       |
			| unframed-stream-cut-in-id |

	Scenario: A second answer on the same connection is not taken as the answer to another request
		Given a relay of 1 VM with engines "a"
		And engine "a" answers-twice
		When "GET /plain/" is sent 10 times
		Then each answer is 200 "answer to /plain/"

	Scenario: An engine that answers before it has read the body receives no other data in place of the rest
		Given a relay of 1 VM with engines "a"
		And engine "a" answers-early
		When "POST /plain/" with 300000 bytes of body is sent 6 times
		Then each answer is 200 "early answer to /plain/"
		And engine "a" received each body of 300000 bytes completely or truncated

	Scenario: No idempotent request fails because an engine drops idle connections
		Given a relay of 1 VM with engines "a, b"
		And engine "a" drops idle connections
		When "GET /plain/" is sent 30 times
		Then each answer is 200 "answer to /plain/"
		And engine "a" got another request

	Scenario: A request that was reset on a reused connection may have run, so it is not reported as not run
		Given a relay of 1 VM with engines "a"
		When "POST /once/" with body "order" is sent
		And engine "a" drops idle connections
		And "POST /once/" with body "order" is sent
		Then the answer is 502
		And 1 requests ran

	Scenario: Idempotent requests go to another engine when an engine resets new connections
		Given a relay of 1 VM with engines "a, b"
		And engine "a" resets new connections
		When "GET /plain/" is sent 10 times
		Then each answer is 200 "answer to /plain/"
		And engine "b" ran 10 requests

	Scenario: A request that is reset after its first bytes is neither reported as not run nor run twice
		Given a relay of 1 VM with engines "a, b"
		And engine "a" resets new connections
		When "POST /once/" with body "order" is sent 10 times
		Then each answer is 200 or 502
		And as many requests ran as were answered with 200

	Scenario: An engine's own error is forwarded unchanged
		Given a relay of 1 VM with engines "a"
		And engine "a" fails
		When "POST /once/" with body "order" is sent
		Then the answer is 500 "failed", signed by "a"

	Scenario: A broken stream goes on at another engine behind its last event
		Given a relay of 1 VM with engines "a, b"
		And engine "a" breaks-off
		When "POST /stream/resumed/" is sent 8 times
		Then each stream is complete

	Scenario: A broken stream that is not resumable is aborted, not ended normally
		Given a relay of 1 VM with engines "a"
		And engine "a" breaks-off
		When "POST /stream/once/" is sent
		Then the answer is cut after 3 events

	Scenario: An engine that does not answer in time is reported so
		Given a relay of 1 VM with engines "a"
		And engine "a" silent
		When "POST /once/" with body "order" is sent
		Then the answer is 504

	Scenario: A stream moves on when its engine falls silent
		Given a relay of 1 VM with engines "a, b"
		And engine "a" silent
		When "POST /stream/resumed/" is sent 4 times
		Then each stream is complete

	Scenario: A caller that leaves frees the engine
		Given a relay of 1 VM with engines "a"
		And engine "a" silent
		When the caller of "POST /stream/resumed/" disconnects 200 ms after engine "a" received it
		Then engine "a" is free within 500 ms

	Scenario: A non-idempotent request continues when its caller disconnects, and its engine stays in use
		Given a relay of 1 VM with engines "a"
		And engine "a" takes 300 ms to answer
		When the caller of "POST /once/" disconnects 100 ms after engine "a" received it
		And 1500 ms pass in quiet
		And "POST /once/" with body "order" is sent
		Then the answer is 200
		And engine "a" completed 2 requests

	Scenario: A draining engine gets no new requests
		Given a relay of 1 VM with engines "a, b"
		When engine "a" starts to leave
		And "GET /plain/" is sent 10 times
		Then engine "a" ran 0 requests

	Scenario: An engine that took over an address runs no request for the previous engine
		Given a relay of 1 VM with engines "a"
		And another engine now listens at the address of "a"
		When "POST /once/" with body "order" is sent
		Then the answer is 503
		And 0 requests ran

	Scenario: A VM that the store rejects gets a new configuration from its peers
		Given a relay of 2 VMs with engines "a"
		And the store turns VM 2 away
		When the key of customer "station" is taken away
		Then VM 2 answers 503 within 2000 ms
		And VM 2 answers 200 to key "another-key" within 2000 ms

	Scenario: A VM that the store rejects learns of draining engines from its peers
		Given a relay of 2 VMs with engines "a, b"
		And the store turns VM 2 away
		When engine "a" starts to leave
		Then VM 2 sends nothing to engine "a" after 3000 ms

	Scenario: A VM that the store rejects right after a change learns of the next change from its peers
		Given a relay of 2 VMs with engines "a, b"
		And the registration of engine "b" is written 1 times more
		When 100 ms pass in quiet
		And the store turns VM 2 away
		And engine "a" starts to leave
		Then VM 2 sends nothing to engine "a" after 3000 ms

	Scenario: A VM that the store rejects at its start gets all data from its seed
		Given a relay of 1 VM with engines "a"
		When a second VM starts, turned away, with the first as its seed
		Then VM 2 answers 200 within 6000 ms

	Scenario: In a large fleet few VMs read the store, and all learn of changes
		Given a relay of 14 VMs with engines "a, b"
		When 5000 ms pass in quiet
		Then the store is not asked for all engines within 4000 ms
		When the key of customer "station" is taken away
		Then each VM answers 401 within 1500 ms
		When the key of customer "station" is given back
		Then each VM answers 200 within 1500 ms
		When engine "a" starts to leave
		Then no VM sends work to engine "a" after 1500 ms

	Scenario: Changed settings are applied, and invalid ones are ignored
		Given a relay of 1 VM with engines "a"
		When its settings are changed, then spoiled, with a signal each time
		And "GET /plain/" is sent
		Then the answer is 200
		And its metrics tell 1 complete request of route "plain"

	Scenario: A planned stop lets open streams end and accepts no new ones
		Given a relay of 1 VM with engines "a"
		And engine "a" sends an event every 100 ms
		When a stream is on its way as the VM is stopped
		Then that stream is complete
		And the VM is not ready
		And the VM ends by itself within 8000 ms

	Scenario: Engines are read again after the store has lost its history
		Given a relay of 1 VM with engines "a, b"
		When the store forgets its history while engine "a" leaves
		And "GET /plain/" is sent 10 times
		Then engine "a" ran 0 requests

	Scenario: The bundled daemon checks settings and serves requests
		Given the bundle of the daemon
		Then it finds nothing wrong with the example of settings
		And it loads neither encryption nor clusters nor compression
		Given a relay of 1 VM from the bundle with engines "a"
		When "POST /plain/" with body "hello" is sent
		Then the answer is 200 "answer to hello", signed by "a"

	Scenario: The bundled daemon gets a new configuration from its peers
		Given the bundle of the daemon
		And a relay of 2 VMs from the bundle with engines "a"
		And the store turns VM 2 away
		When the key of customer "station" is taken away
		Then VM 2 answers 503 within 2000 ms
		And VM 2 answers 200 to key "another-key" within 2000 ms

	# Guards against tests that fail since another run takes the port of the store at the address of a VM.
	Scenario: The store of a test keeps its port at the addresses of all VMs
		Given a relay of 1 VM that has no configuration
		Then no other process can listen where a VM reaches the store

	# Guards against a VM that never becomes ready and whose log does not say why.
	Scenario: A VM whose port is taken logs the address and ends
		When the relay starts while another process listens at its readiness port
		Then it ends with code 1
		And its log says "daemon.start-failed" with that address

	Scenario: Invalid settings are refused with all findings
		When the relay starts with settings that lack a zone and a store
		Then it ends with code 78
		And it names "zone" and "platform"

	# Guards against values of others that end the processes of all VMs.
	Scenario: Unusable entries of another writer and requests of strangers end no VM
		Given a relay of 3 VMs with engines "a, b"
		When another writer leaves an engine and a VM at "127.0.0.1:99999"
		And a stranger asks each VM for "//" as a peer does
		And 2500 ms pass in quiet
		Then 20 "GET /plain/" requests at each VM are answered, and no VM has ended

	# Guards against entries that are very deeply nested, or hold numbers or ports out of range.
	Scenario: Odd entries of another writer end no VM, and engines that come after them are used
		Given a relay of 3 VMs with engines "a, b"
		When another writer leaves odd entries among those of engines, of VMs and of quarantined contents
		And another writer leaves each odd value in place of the configuration and of the duties, for a moment
		And another engine begins, and VM 2 is started again
		And 1000 ms pass in quiet
		Then 30 "GET /plain/" requests at each VM are answered, and no VM has ended
		And that engine was used

	# Guards against foreign bytes on a caller's kept connection after an error that was retried.
	Scenario Outline: Error answers of any size are whole, or retried with nothing of the first sent
		Given a relay of 1 VM with engines "a, b, c, d"
		Then a <status> of an engine to "<call>" reaches the caller as <result>

		Examples:
			| status | call                  | result                  |
			| 500    | POST /plain/          | another engine's answer |
			| 500    | POST /once/           | the engine's error      |
			| 500    | POST /stream/resumed/ | another engine's answer |
			| 500    | POST /stream/once/    | the engine's error      |
			| 404    | POST /plain/          | the engine's error      |
			| 404    | POST /once/           | the engine's error      |
			| 404    | POST /stream/resumed/ | the engine's error      |
			| 404    | POST /stream/once/    | the engine's error      |
			| 503    | POST /plain/          | another engine's answer |
			| 503    | POST /once/           | an error of the relay   |
			| 503    | POST /stream/resumed/ | another engine's answer |
			| 503    | POST /stream/once/    | an error of the relay   |
