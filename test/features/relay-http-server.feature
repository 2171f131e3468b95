Feature: Answers to callers over one connection

	Scenario: A slow caller receives a large answer completely
		Given an HTTP server that answers each path with 200 pieces
		When a caller requests "/a" with HTTP 1.1 and reads once 1 answers are blocked
		Then it receives complete answers to "/a", with chunked encoding

	Scenario: Pipelined requests are answered completely and in order
		Given an HTTP server that answers each path with 3 pieces
		When a caller requests "/a /b /c" with HTTP 1.1 and reads once 0 answers are blocked
		Then it receives complete answers to "/a /b /c", with chunked encoding

	Scenario: An HTTP/1.0 caller receives an answer without chunked encoding
		Given an HTTP server that answers each path with 3 pieces
		When a caller requests "/a" with HTTP 1.0 and reads once 0 answers are blocked
		Then it receives complete answers to "/a"

	Scenario Outline: A head in the buffers is answered although the process stood still
		Given an HTTP server that answers each path with 1 pieces
		And it allows 300 ms and 1000 bytes for heads, and 1000 bytes for bodies
		And a caller that has sent <sent> bytes of its head
		When it sends the rest and the process stands still for 1500 ms
		Then it receives complete answers to "/a", with chunked encoding

		Examples:
			| sent |
			| 0    |
			| 40   |

	Scenario Outline: A late head is refused and its request does not run
		Given an HTTP server that answers each path with 1 pieces
		And it allows 300 ms and 1000 bytes for heads, and 1000 bytes for bodies
		And a caller that has sent 40 bytes of its head
		When the process stands still for <pause> ms and the caller sends the rest once it is answered
		Then it receives only the status 408
		And no request was handled
		And a line in the log and a count tell 408

		Examples:
			| pause |
			| 0     |
			| 1500  |

	Scenario Outline: Nothing behind a refused request runs
		Given an HTTP server that answers each path with 1 pieces
		And it allows 300 ms and 1000 bytes for heads, and 1000 bytes for bodies
		When a caller sends a request with the lines <lines> and one behind it
		Then it receives only the status <status>
		And no request was handled
		And a line in the log and a count tell <status>

		Examples:
			| lines                                         | status |
			| id: x2000~~                                   | 431    |
			| id: x70000~~                                  | 431    |
			| content-length: 2000~~x2000                   | 413    |
			| transfer-encoding: chunked~~7d0~x2000~0~~     | 413    |
			| transfer-encoding: chunked~~no size~0~~       | 400    |
			| no colon~~                                    | 400    |
			| no: id~~                                      | 400    |

	Scenario: Bytes that are no request are refused behind the answer to the request before them
		Given an HTTP server that answers each path with 200 pieces
		When a caller requests "/a broken" with HTTP 1.1 and reads once 1 answers are blocked
		Then it receives complete answers to "/a", with chunked encoding, and then the status 400

	Scenario: A caller that leaves also leaves its pipelined requests
		Given an HTTP server that answers each path with 200 pieces
		When a caller requests "/a /b /c" with HTTP 1.1 and leaves once 3 answers are blocked
		Then no request is open within 1000 ms

	# Guards against a refusal for want of memory that ends the answer before it, or whose request runs.
	Scenario: A request that is refused as too many bodies are held does not run, and the one before it is answered
		Given an HTTP server that answers each path with 1 pieces
		And it allows 3000 ms and 1000 bytes for heads, and 5000000 bytes for bodies
		And it holds the answers to "/held"
		And a caller that has sent a request to "/held"
		When 9 other callers send 5000000 bytes of body each to "/held"
		And the first caller sends requests to "/late /later" behind it
		Then once answers are no longer held it receives that to "/held", and then only the status 503
		And only requests to "/held" were handled
