Feature: The fault soak

	Scenario Outline: The oracle finds a relay that <defect>
		Given records of a run in which all promises hold
		When the relay <defect>
		Then the oracle finds that "<promise>" and nothing else

		Examples:
			| defect                                   | promise       |
			| runs an order twice                      | once          |
			| says that a request that ran has not run | notRun        |
			| ends an answer too soon                  | whole         |
			| joins the streams of two requests        | whole         |
			| sends work to an engine that left        | leaving       |
			| sends work to an engine that said so     | saidLeaving   |
			| gives an engine no rest                  | rest          |
			| divides a limit by nothing               | limit         |
			| cuts a request in a planned stop         | stop          |
			| serves a key that was taken away         | configuration |
			| refuses a key that was added             | configuration |
			| goes back to an older configuration      | back          |
			| names the wrong customer                 | customer      |
			| retries each request                     | retries       |
			| stays down after the last fault          | recovery      |
			| holds more and more open files           | growth        |
			| ends by itself                           | ended         |

	Scenario: A late or harmed VM is not held to bounds in time
		Given records of a run in which all promises hold
		When the relay serves a key that was taken away
		And the VM was paused meanwhile
		Then the oracle finds nothing

	Scenario: A proxy harms a connection and nothing else
		Given an echo server behind a proxy
		Then what is sent comes back in order while its delay rises and falls
		And nothing comes back while it is silent, and all of it after that
		And a new connection is reset while it refuses

	Scenario: A proxy tells a reset that comes with the last bytes from an orderly end
		Given a server behind a proxy that writes and resets at once
		Then a connection through the proxy is reset 20 times
		Given a server behind a proxy that writes and ends at once
		Then a connection through the proxy is ended 20 times

	Scenario: A short run with a fixed seed
		When the soak runs seed 7 for 3 seconds with 3 VMs
		Then it has no finding and served requests
