Feature: Engines that fail the requests of several VMs are avoided by all of them

	Scenario Outline: An engine that fails everything costs the fleet a few requests, not a few of each VM
		Given <vms> VMs before 20 engines, each VM with 4 requests a second
		When one engine fails <share> % of its requests for 6 s
		Then at most <most> requests fail
		And 6 s later the engine gets work as the others do

		Examples:
			| vms | share | most |
			| 9   | 100   | 12   |
			| 62  | 100   | 20   |
			| 62  | 45    | 20   |
			| 300 | 100   | 60   |

	Scenario: News are lost
		Given 62 VMs before 20 engines, each VM with 4 requests a second
		And 20 % of the news are lost
		When one engine fails 100 % of its requests for 6 s
		Then at most 30 requests fail

	Scenario: One VM that reaches no engine does not speak for the others
		Given 62 VMs before 20 engines, each VM with 4 requests a second
		When one VM fails at all engines for 6 s
		Then no other VM avoids an engine

	Scenario: Where all engines fail requests none is avoided
		Given 62 VMs before 20 engines, each VM with 4 requests a second
		When all engines fail 45 % of their requests for 6 s
		Then each VM may use all engines
