Feature: Unusual answers and requests

	# Guards against answers that are mixed with others or look complete though they are not.
	Scenario Outline: Answers of any form reach a caller on a kept connection as its engine sent them, or not at all
		Given a relay of 1 VM with engines "a, b"
		Then an answer of an engine to "<call>" with <form> reaches the caller <how>

		Examples:
			| form                                | call         | how            |
			| no content                          | POST /once/  | unchanged      |
			| no content                          | POST /plain/ | unchanged      |
			| not modified                        | POST /once/  | unchanged      |
			| early hints                         | POST /once/  | unchanged      |
			| trailers                            | POST /once/  | unchanged      |
			| a later version                     | POST /once/  | unchanged      |
			| more than its length                | POST /once/  | unchanged      |
			| more than its length                | POST /plain/ | unchanged      |
			| an error with more than its length  | POST /plain/ | unchanged      |
			| a length, then a reset              | POST /plain/ | unchanged      |
			| an encoding                         | POST /plain/ | or is repeated |
			| an encoding                         | POST /once/  | or is repeated |
			| continue twice                      | POST /once/  | or is repeated |
			| continue twice                      | POST /plain/ | or is repeated |
			| another protocol                    | POST /once/  | or is repeated |
			| half a small answer                 | POST /plain/ | or is repeated |
			| half a small answer                 | POST /once/  | or is repeated |
			| half a large answer with a length   | POST /plain/ | cut            |
			| half a large answer in chunks       | POST /plain/ | cut            |
			| half a large answer without a length | POST /plain/ | cut           |
			| half a large answer without a length | POST /once/  | cut           |

	Scenario Outline: Answers of any form that another VM forwards reach the caller as they do from its own VM
		Given a relay of 2 VMs whose links can fail, with engines "a, b"
		And the links of 1 VM to all engines "reset"
		And 3000 ms pass in quiet
		Then answers of each form to "<call>" reach the caller as they do from its own VM

		Examples:
			| call         |
			| POST /once/  |
			| POST /plain/ |

	Scenario: An answer to HEAD has no body
		Given a relay of 1 VM with engines "a"
		Then a HEAD request to "/plain/" is answered with the length alone, and the next one whole

	Scenario Outline: A stream whose engine fails inside an event goes on behind the last whole one
		Given a relay of 1 VM with engines "a, b"
		And engine "a" sends <part> of a stream and then <then> the connection
		Then each of 6 "POST /stream/resumed/" requests with the body "stream" is whole

		Examples:
			| part                              | then   |
			| half of the first event           | resets |
			| half of the first event           | closes |
			| the first event but its last byte | resets |
			| the first event but its last byte | closes |
			| an event and a half               | closes |

	Scenario: A stream that another VM forwards goes on behind its last whole event when its engine fails inside one
		Given a relay of 2 VMs whose links can fail, with engines "a, b"
		And the links of 1 VM to all engines "reset"
		And 3000 ms pass in quiet
		And engine "a" sends an event and a half of a stream and then resets the connection
		Then each of 4 "POST /stream/resumed/" requests with the body "stream" is whole

	Scenario Outline: Answers that another VM forwards are whole though engines fall silent
		Given a relay of 3 VMs whose links can fail, with engines "a, b, c"
		And each VM serves "GET /plain/" requests
		And the links of 1 VM to all engines "reset"
		And 3000 ms pass in quiet
		And events of streams follow each other after 200 ms
		When 4 "<call>" requests are sent to the first VM, and <silent> of the engines fall silent for <ms> ms
		Then each of them is whole

		Examples:
			| call                  | silent | ms   |
			| POST /stream/resumed/ | 3      | 1200 |
			| POST /stream/resumed/ | 1      | 1500 |
			| POST /plain/          | 3      | 800  |
			| POST /once/           | 3      | 800  |

	Scenario Outline: A stream that may not be resumed ends cut when its engine fails inside an event
		Given a relay of 1 VM with engines "a"
		And all engines send <part> of a stream and then <then> the connection
		Then each of 1 "POST /stream/once/" requests with the body "stream" is cut or told that it may have run

		Examples:
			| part                              | then   |
			| half of the first event           | resets |
			| the first event but its last byte | closes |
			| an event and a half               | closes |

	# Guards against refusals of requests that run all the same, and against callers that spoil an engine for others.
	Scenario Outline: A request of an unusual form is answered whole, or does not run if its caller is told so
		Given a relay of 1 VM with engines "a"
		When a caller that <does> sends "POST /once/"
		Then it is answered with "<answer>"
		And it ran at most once, and not if it was told so
		And requests after it are served

		Examples:
			| does                            | answer             |
			| waits to be told to continue    | 200 answer to body |
			| names a protocol to change to   | 200 answer to body |
			| names headers of its connection | 200 answer to body |
			| sends chunks with trailers      | 200 answer to body |
			| speaks HTTP/1.0                 | 200 answer to body |

	Scenario Outline: A caller that ends its part of the connection is not told that a request that ran has not
		Given a relay of 1 VM with engines "a"
		When a caller that <does> sends "POST /once/"
		Then it ran at most once, and not if it was told so
		And requests after it are served

		Examples:
			| does                          |
			| ends its body early           |
			| leaves its body unfinished    |
			| stops writing behind its body |

	# Guards against an engine's own answer that is given up for a retry that no engine takes.
	Scenario Outline: An error of the only engine that can be used reaches the caller of a request that may be repeated
		Given a relay of 1 VM with engines "a"
		And engine "a" fails
		When "<call>" with body "x" is sent
		Then the answer is 500 "failed", signed by "a"

		Examples:
			| call                  |
			| POST /plain/          |
			| POST /stream/resumed/ |

	Scenario: An error of any size of the only engine reaches the caller of a request that may be repeated
		Given a relay of 1 VM with engines "a"
		Then a 500 of an engine to "POST /plain/" reaches the caller as the engine's error

	Scenario: An engine's error reaches the caller if the engine asked after it gives no answer
		Given a relay of 1 VM with engines "a, b"
		And engine "a" fails
		And engine "b" resets
		When "POST /plain/" with body "x" is sent 2 times
		Then each answer is 500 "failed"

	Scenario Outline: Errors whose engine pauses within them are whole, or another engine answers
		Given a relay of 2 VMs with engines "a, b, c"
		And engine "a" holds the second half of errors of <bytes> bytes back for 900 ms
		When 12 "POST /plain/" requests are sent to each VM at once, each third of which that engine fails
		Then each of them gets the answer of a sound engine, or that error whole

		Examples:
			| bytes  |
			| 400000 |
			| 700000 |

	# Guards against answers that end early and look complete, as their end is told by that of the connection.
	Scenario Outline: An answer in HTTP/1.0 that breaks off ends with a reset
		Given a relay of 1 VM with engines "a"
		And engine "a" <does>
		When a caller that speaks HTTP/1.0 sends "<call>"
		Then its connection was <ended>

		Examples:
			| does            | call               | ended  |
			| breaks-off      | POST /stream/once/ | reset  |
			| well            | POST /stream/once/ | closed |
