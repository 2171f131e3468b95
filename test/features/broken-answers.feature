Feature: Answers that engines break

	# Guards against a part of an answer that looks whole: a reset that arrives with the last bytes looks like an orderly end.
	Scenario Outline: An early answer without a length whose connection is reset is not passed on as whole
		Given engines that send any bytes
		And a relay of 1 VM with engines "a, b"
		When 6 "<call>" uploads of 12 MB are answered early by <form> without a length, and the connection is <end>
		Then none of these answers is a part that looks whole

		Examples:
			| call                  | form                        | end                             |
			| POST /patient/        | 20 KB                       | reset at once                   |
			| POST /plain/          | 20 KB                       | reset at once                   |
			| POST /patient/        | 20 KB and Connection: close | reset at once                   |
			| POST /patient/        | 20 KB in HTTP/1.0           | reset at once                   |
			| POST /patient/        | no byte                     | reset at once                   |
			| POST /stream/once/    | an event of a stream        | reset at once                   |
			| POST /patient/        | 20 KB                       | reset while the VM stands still |
			| POST /plain/          | 20 KB                       | reset while the VM stands still |
			| POST /patient/        | no byte                     | reset while the VM stands still |
			| POST /stream/once/    | an event of a stream        | reset while the VM stands still |
			| POST /stream/resumed/ | an event of a stream        | reset while the VM stands still |
			| POST /patient/        | 20 KB                       | reset 100 ms later              |

	Scenario Outline: An early answer without a length that ends in order is whole
		Given engines that send any bytes
		And a relay of 1 VM with engines "a, b"
		When 6 "POST /patient/" uploads of 12 MB are answered early by <form> without a length, and the connection is <end>
		Then each of these answers is the whole one of its engine

		Examples:
			| form              | end                                             |
			| 20 KB             | closed in order while the upload is read on     |
			| 20 KB in HTTP/1.0 | closed in order while the upload is read on     |
			| 20 KB             | closed in order while the VM stands still       |

	# Guards against a process that ends by itself: undici asserts that an answer is not paused when its connection ends.
	Scenario Outline: An answer without a length is whole, and its VM goes on, though its caller reads slowly
		Given engines that send any bytes
		And a relay of 1 VM with engines "a, b"
		When 4 callers that read slowly send "<call>", and an answer of <mb> MB without a length is closed in order
		Then the VM has not ended
		And each of them gets the whole answer

		Examples:
			| call               | mb |
			| POST /patient/     | 1  |
			| POST /patient/     | 24 |
			| POST /stream/once/ | 24 |

	Scenario Outline: An answer without a length that is reset is cut, and its VM goes on, though its caller reads slowly
		Given engines that send any bytes
		And a relay of 1 VM with engines "a, b"
		When 4 callers that read slowly send "<call>", and an answer of <mb> MB without a length is reset
		Then the VM has not ended
		And none of these answers is a part that looks whole

		Examples:
			| call               | mb |
			| POST /patient/     | 1  |
			| POST /patient/     | 24 |
			| POST /stream/once/ | 24 |

	Scenario Outline: A client takes an answer without a length for whole only after an orderly end that it has read up to
		Given a server that answers <request> with <parts> without a length and <end> the connection
		When an <kind>'s client calls it and reads <reading>
		Then the answer is reported as <result>

		Examples:
			| kind     | request   | parts   | end    | reading     | result |
			| engine   | a request | 1 part  | closes | at once     | whole  |
			| engine   | a request | 1 part  | resets | at once     | broken |
			| engine   | an upload | 1 part  | closes | at once     | whole  |
			| engine   | an upload | 1 part  | resets | at once     | broken |
			| engine   | a request | 3 parts | closes | with pauses | whole  |
			| engine   | a request | 3 parts | resets | with pauses | broken |
			| endpoint | a request | 1 part  | closes | at once     | whole  |
			| endpoint | a request | 1 part  | resets | at once     | broken |
			| endpoint | an upload | 1 part  | closes | at once     | whole  |
			| endpoint | an upload | 1 part  | resets | at once     | broken |
			| endpoint | a request | 3 parts | closes | with pauses | whole  |
			| endpoint | a request | 3 parts | resets | with pauses | broken |

	Scenario Outline: A client of an https endpoint takes an answer without a length for whole only after an orderly end
		Given a server with a certificate that answers <request> with <parts> without a length and <end> the connection
		When an https endpoint's client calls it and reads <reading>
		Then the answer is reported as <result>

		Examples:
			| request   | parts   | end    | reading     | result |
			| a request | 1 part  | closes | at once     | whole  |
			| a request | 1 part  | resets | at once     | broken |
			| an upload | 1 part  | closes | at once     | whole  |
			| an upload | 1 part  | resets | at once     | broken |
			| a request | 3 parts | closes | with pauses | whole  |
			| a request | 3 parts | resets | with pauses | broken |

	Scenario Outline: A client takes bytes that are no answer for none
		Then an <kind>'s client reports each malformed answer as broken, whole or in pieces, and a sound one as whole

		Examples:
			| kind     |
			| engine   |
			| endpoint |

	Scenario Outline: A client hands on many small chunks together
		Then an <kind>'s client reports 20000 chunks of 1 byte in less than 200 parts

		Examples:
			| kind     |
			| engine   |
			| endpoint |

	Scenario Outline: Bytes that are no answer do not reach a caller
		Given engines that send any bytes
		And a relay of 1 VM with engines "a, b"
		Then no caller of "<call>" gets any part of a malformed answer

		Examples:
			| call                  |
			| POST /once/           |
			| POST /plain/          |
			| POST /stream/once/    |
			| POST /stream/resumed/ |

	Scenario Outline: Bytes that are no answer do not reach a caller whose request another VM forwards
		Given engines that send any bytes
		And a relay of 2 VMs whose links can fail, with engines "a, b"
		And the links of 1 VM to all engines "reset"
		And 3000 ms pass in quiet
		Then no caller of "<call>" gets any part of a malformed answer

		Examples:
			| call               |
			| POST /once/        |
			| POST /plain/       |
			| POST /stream/once/ |

	# Guards against an event loop that is busy with the many small parts of one answer, and against memory that they fill.
	# The time-out of the route is 1,200 ms.
	Scenario Outline: Answers without end are given up, and others are served meanwhile
		Given engines that send any bytes
		And a relay of 1 VM with engines "a, b, c, d, e, f"
		When 4 "POST /once/" requests are answered by <form> without end, and others are sent meanwhile
		Then these end within 1700 ms, the others are answered within 1200 ms, and the VM stays within its memory

		Examples:
			| form                        |
			| chunks of 5 bytes           |
			| chunks of 1 byte            |
			| a body without a length     |
			| large chunks                |
			| a chunk extension           |
			| a status line               |
			| the name of a field         |
			| fields of a head            |
			| trailers                    |
			| informational heads         |
			| heads that tell to continue |

	# Callers wait for 5,000 ms.
	Scenario: Events without end are given up, and others are served meanwhile
		Given engines that send any bytes
		And a relay of 1 VM with engines "a, b, c, d, e, f"
		When 4 "POST /stream/once/" requests are answered by an event without end, and others are sent meanwhile
		Then these end within 5500 ms, the others are answered within 1200 ms, and the VM stays within its memory

	Scenario: Large events are whole, and an event without end is told after 4 MB of it
		Given a stream of events of 1 MB
		Then pieces of 64 KB yield each event once it is complete
		And an event of 5 MB is told to be too large
