Feature: Answers to callers, over one connection

	Scenario: A caller that reads late gets all of a large answer
		Given a callers’ side that answers each path with 200 pieces
		When a caller asks for "/a" by HTTP 1.1 and reads once 1 answers wait for it
		Then it gets whole answers to "/a", in chunks

	Scenario: Answers that a caller asks for at once come whole, one behind the other
		Given a callers’ side that answers each path with 3 pieces
		When a caller asks for "/a /b /c" by HTTP 1.1 and reads once 0 answers wait for it
		Then it gets whole answers to "/a /b /c", in chunks

	Scenario: A caller of the older protocol gets its answer without chunks
		Given a callers’ side that answers each path with 3 pieces
		When a caller asks for "/a" by HTTP 1.0 and reads once 0 answers wait for it
		Then it gets whole answers to "/a"
