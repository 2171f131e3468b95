Feature: OpenAI-compatible API

	Scenario: The openai client gets streamed and non-streamed answers
		Given a fleet of 1 daemon and 1 engine
		When the openai client of listener-app asks "hello len=25" as a stream
		Then the answer is that of "hello len=25"
		When the openai client of listener-app asks "again len=7"
		Then the answer is that of "again len=7"

	Scenario: The openai client gets error messages it can parse
		Given a fleet of 1 daemon and 1 engine
		When the openai client of listener-app asks for model no-such
		Then the error has status 404 and says "Nothing here serves model:no-such"
		When the openai client of nobody asks for model station-1
		Then the error has status 401 and says "belongs to no customer"

	Scenario: Oversized and invalid requests are refused with a specific error
		Given a fleet of 1 daemon and 1 engine
		Then a request with a body of 5000000 bytes is refused with 413 and "TooLarge"
		And a request with a head of 40000 bytes is refused with 431 and "HeadTooLarge"
		And a request with the body "{nonsense" is refused with 400 and "BadRequest"
		And a request with the class "no-such" is refused with 403 and "ClassNotAllowed"

	Scenario: A caller that is still sending its body receives the refusal
		Given a fleet of 1 daemon and 1 engine
		Then a caller that writes 5000000 bytes before it reads receives status 413

	Scenario: A non-repeatable post runs once per idempotency key
		Given a fleet of 2 daemons and 1 engine
		When newsroom posts "total-1" to the portal with key "k1"
		Then the post has status 200 and outcome "complete"
		When newsroom posts "total-1" to the portal with key "k1"
		Then the post has status 200 and outcome "complete"
		And the portal counted 1 effect of "total-1"
