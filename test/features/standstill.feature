Feature: Requests and answers that wait while a process stands still

	# Guards against a timer that ends a request before the answer in the buffers is read.
	Scenario Outline: An answer that came while the VM stood still is delivered, though the time of its request has passed
		Given a relay of 1 VM with engines "a, b"
		And engines answer after 300 ms
		When the VM stands still for 1800 ms while 6 "<call>" requests are at their engines
		Then each answer is 200

		Examples:
			| call         |
			| POST /once/  |
			| POST /plain/ |

	# Guards against engines that are judged unreachable although their connections were made in time.
	Scenario: A connection that was made while the process stood still is used
		Given a transport to an engine that listens
		When it sends a request, and the process stands still for 600 ms
		Then the request is answered
		When it tries a connection, and the process stands still for 600 ms
		Then the connection can be made

	# Guards against requests that reach an engine long after their callers have left.
	Scenario Outline: A request whose caller leaves while the VM that forwards it stands still reaches no engine
		Given a relay of 2 VMs whose links can fail, with engines "a"
		And the links of 1 VM to all engines "reset"
		And 3000 ms pass in quiet
		When the last VM stands still for 1500 ms while the first VM sends it "<call>" requests, whose callers leave after 300 ms
		Then no engine got a request

		Examples:
			| call                  |
			| POST /plain/          |
			| POST /stream/resumed/ |

	# Guards against promises that a request has not run, while another VM still has it.
	Scenario Outline: The VM that forwards once-only requests is <fault> after it got them
		Given a relay of 2 VMs whose links can fail, with engines "a, b"
		And the links of 1 VM to all engines "reset"
		And 3000 ms pass in quiet
		And engines answer after 300 ms
		When the last VM is <fault> <after> ms after the first VM sent it "POST /once/" requests
		Then no request ran twice
		And no request that ran was answered with 503

		Examples:
			| fault                    | after |
			| killed                   | 0     |
			| killed                   | 4     |
			| killed                   | 100   |
			| frozen                   | 0     |
			| frozen                   | 4     |
			| frozen                   | 100   |
			| cut off from all engines | 100   |

	Scenario: A request to forward whose head comes in two parts around a freeze is answered, or does not run
		Given a relay of 2 VMs with engines "a"
		When the last VM freezes for 3500 ms between two parts of the head of a request to forward
		Then the request ran once if its answer is that of engine "a", and else not at all
