Feature: Clients that do not behave

	# Guards against crowds that make a VM hold more than its memory, or keep it from answering others.
	Scenario Outline: <clients> clients with <what> at the port for <port> neither end nor fill a VM
		Given the bundle of the daemon
		And a relay of 1 VM with <memory> MB and <descriptors> descriptors
		When <clients> clients send <what> to its port for <port> and read nothing
		Then the VM lives within its memory and descriptors and answers an ordinary request

		Examples:
			| clients | what                                     | port      | memory | descriptors |
			| 60      | bodies in chunks of 1 byte               | callers   | 200    | 1000        |
			| 60      | bodies in chunks of 2 bytes              | callers   | 200    | 1000        |
			| 60      | bodies in large chunks that stop short   | callers   | 200    | 1000        |
			| 60      | bodies with a length that stop short     | callers   | 200    | 1000        |
			| 60      | heads without usual headers              | callers   | 200    | 1000        |
			| 60      | heads with a host and nothing else       | callers   | 200    | 1000        |
			| 60      | heads without usual headers, with a body | callers   | 200    | 1000        |
			| 60      | the path that says ready                 | callers   | 200    | 1000        |
			| 60      | ordinary requests                        | callers   | 200    | 1000        |
			| 60      | ordinary requests without a body         | callers   | 200    | 1000        |
			| 60      | requests that wait for leave to send     | callers   | 200    | 1000        |
			| 60      | requests behind a stream                 | callers   | 200    | 1000        |
			| 60      | requests behind a refused one            | callers   | 200    | 1000        |
			| 60      | heads that never end                     | callers   | 200    | 1000        |
			| 60      | trailers that never end                  | callers   | 200    | 1000        |
			| 60      | long extensions of chunks                | callers   | 200    | 1000        |
			| 60      | requests for large answers               | callers   | 200    | 1000        |
			| 900     | nothing                                  | callers   | 200    | 1000        |
			| 60      | the path that says ready                 | readiness | 200    | 1000        |
			| 60      | an unfinished body at rest               | readiness | 200    | 1000        |
			| 900     | nothing                                  | readiness | 200    | 1000        |
			| 60      | a path that nobody has                   | metrics   | 200    | 1000        |
			| 60      | an unfinished body at rest               | metrics   | 200    | 1000        |
			| 60      | a request that peers send                | peers     | 200    | 1000        |
			| 60      | a path that nobody has                   | peers     | 200    | 1000        |
			| 60      | an unfinished body at rest               | peers     | 200    | 1000        |

	# Guards against a process that one unusual client within the limits fills, and against refusals of such clients.
	Scenario Outline: Within the limits, <client>, and is served
		Given the bundle of the daemon
		And a relay of 1 VM with 200 MB and 1000 descriptors
		When <client>
		Then the VM lives within its memory and descriptors and answers an ordinary request

		Examples:
			| client                                                                                       |
			| a client sends a body of 4194304 bytes in chunks of 1 byte                                   |
			| a client sends a body of 4194304 bytes in chunks of 65536 bytes                              |
			| a client sends a head in 80 pieces                                                           |
			| a client sends 300 requests ahead and reads                                                  |
			| 300 clients send a request each and stay connected, at rest for 12000 ms between two         |

	# Guards against crowds that make a daemon of a fleet hold more than the memory of its VM.
	Scenario Outline: <clients> clients with <what> at the port for <port> neither end nor fill a daemon of a fleet
		Given a daemon of a fleet
		When <clients> clients of the daemon send <what> to its port for <port> and read nothing
		Then the daemon lives within 350 MB and 4100 descriptors and answers an ordinary request

		Examples:
			| clients | what                                      | port    |
			| 60      | bodies in chunks of 1 byte                | callers |
			| 200     | bodies with a length that stop short      | callers |
			| 60      | heads with a host and nothing else        | callers |
			| 60      | the path that says ready                  | callers |
			| 60      | requests for the models                   | callers |
			| 60      | ordinary requests                         | callers |
			| 60      | calls of operators                        | control |
			| 60      | calls of operators with unfinished bodies | control |
