Feature: What a refusal promises while something of the request is under way

	# Guards against requests that run after their callers were told that they have not.
	Scenario Outline: A permit that comes after its request has ended is not used
		Given a request that may run once and waits for a permit for one of "a, b"
		When <it ends>
		And the permit comes
		Then it was sent to "", and the caller got "<received>"

		Examples:
			| it ends              | received |
			| its deadline passes  | 503 \|   |
			| its caller leaves    |          |
			| the daemon aborts it | 503 \|   |

	Scenario: A permit that comes after an engine declared that it did not run the request and its deadline passed is not used
		Given a request that may run once and was sent to the first of "a, b"
		When permits for engines are slow
		And "a" declares with 503 that it did not run it
		And its deadline passes
		And the permit comes
		Then it was sent to "a", and the caller got "503 |"

	Scenario Outline: What an engine declares after the request has ended changes nothing
		Given a request that may run once and was sent to the first of "a, b"
		When <it ends>
		And the late answer of "a" comes
		Then it was sent to "a", and the caller got "<received>"

		Examples:
			| it ends              | received |
			| its deadline passes  | 504 \|   |
			| its caller leaves    |          |
			| the daemon aborts it | 502 \|   |

	Scenario Outline: A request that one of two engines may have run is not reported as not run
		Given a request that may run again and was sent to the first of "a, b"
		When all engines are silent for a while
		And the relay looks 1 time for an engine
		And the stream is sent to "b"
		And <first>
		And <second>
		Then it was sent to "a, b", and the caller got "502 |"

		Examples:
			| first                                        | second                                       |
			| "b" declares with 503 that it did not run it | "a" breaks off                               |
			| "a" breaks off                               | "b" declares with 503 that it did not run it |
			| "b" declares with 429 that it did not run it | the daemon aborts it                         |
