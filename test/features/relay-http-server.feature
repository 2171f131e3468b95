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
