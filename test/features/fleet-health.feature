Feature: All VMs avoid engines that fail requests of several VMs

	Scenario Outline: A failing engine costs the fleet as a whole a few requests, not a few per VM
		Given <vms> VMs and 20 engines, with 4 requests a second per VM
		When one engine fails <share> % of its requests for 6 s
		Then at most <most> requests fail
		And 6 s later the engine gets work like the others

		Examples:
			| vms | share | most |
			| 9   | 100   | 12   |
			| 62  | 100   | 20   |
			| 62  | 45    | 20   |
			| 300 | 100   | 60   |

	Scenario: Gossip messages are lost
		Given 62 VMs and 20 engines, with 4 requests a second per VM
		And 20 % of the gossip messages are lost
		When one engine fails 100 % of its requests for 6 s
		Then at most 30 requests fail

	Scenario: A single VM that reaches no engine does not affect the others
		Given 62 VMs and 20 engines, with 4 requests a second per VM
		When all requests of one VM fail for 6 s
		Then no other VM avoids an engine

	Scenario: No engine is avoided while all engines fail requests
		Given 62 VMs and 20 engines, with 4 requests a second per VM
		When all engines fail 45 % of their requests for 6 s
		Then each VM may use all engines
