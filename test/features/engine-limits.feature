Feature: Rate limits of engines over all VMs

	Guards against VMs ignoring the rate that an engine names for all of them together, or each using the whole rate.

	Scenario: A limit holds for all VMs together
		Given a relay of 3 VMs with engines "a, b"
		And engine "a" names a limit of 2 requests a second
		When "GET /plain/" is sent through all VMs for 8000 ms
		Then engine "a" got no more requests than its limit allows
		And engine "a" got at least 0.5 of its limit
		And all answers were 200

	Scenario: A single VM may use the whole limit
		Given a relay of 3 VMs with engines "a"
		And engine "a" names a limit of 4 requests a second
		When "GET /plain/" is sent through one VM for 7000 ms
		Then engine "a" got no more requests than its limit allows
		And engine "a" got at least 0.75 of its limit

	Scenario: Requests beyond the limits of all engines of a service are refused quickly
		Given a relay of 3 VMs with engines "a, b"
		And engines "a, b" name a limit of 3 requests a second
		When "GET /plain/" is sent through all VMs for 8000 ms
		Then engine "a" got no more requests than its limit allows
		And engine "b" got no more requests than its limit allows
		And engine "a" got at least 0.75 of its limit
		And engine "b" got at least 0.75 of its limit
		And all answers were 200 or 503
		And each refusal came within 400 ms and named a retry time

	Scenario: A limit ends when the engine stops naming it
		Given a relay of 3 VMs with engines "a"
		And engine "a" names a limit of 2 requests a second
		When "GET /plain/" is sent through all VMs for 3000 ms
		And engine "a" no longer names a limit
		And "GET /plain/" is sent through all VMs for 4000 ms
		Then engine "a" got more than 30 requests in the last 2000 ms

	Scenario Outline: Only a signed success that names no limit ends the limit
		Given a VM that knows a limit of 3 for an engine
		When that engine answers a later request with <status>, <marks>, without a limit
		Then the limit is <state>

		Examples:
			| status | marks                 | state  |
			| 200    | signed                | ended  |
			| 503    | as not run            | active |
			| 503    | signed                | active |
			| 429    | as not run            | active |
			| 500    | signed                | active |
			| 200    | unsigned              | active |
			| 200    | for another request   | active |
			| 200    | sent before the limit | active |
			| 421    | as another engine     | active |

	Scenario Outline: A limit is kept and used at any fleet size and distribution of demand
		Given a simulated fleet of <vms> VMs and an engine limited to <limit> requests a second
		And demand is three times the limit, at <where>
		When the fleet runs for 16 seconds
		Then the limit was kept at all times
		And at least 0.75 of it was used after 4 seconds

		Examples:
			| vms | limit | where                    |
			| 2   | 0.5   | all VMs                  |
			| 2   | 200   | one VM                   |
			| 8   | 1     | all VMs                  |
			| 8   | 3     | one VM                   |
			| 8   | 20    | one domain after another |
			| 81  | 1     | all VMs                  |
			| 81  | 20    | one VM                   |
			| 81  | 200   | one domain after another |

	Scenario: Limits of many engines are kept and used at once
		Given a simulated fleet of 24 VMs and 30 engines limited to 2 requests a second
		And demand is three times the limit, at all VMs
		When the fleet runs for 14 seconds
		Then the limit was kept at all times
		And at least 0.75 of it was used after 4 seconds

	Scenario Outline: Limits are kept and used through failures and changes
		Given a simulated fleet of <vms> VMs and an engine limited to <limit> requests a second
		And demand is three times the limit, at all VMs
		When the fleet runs for 6 seconds
		And <event>
		And the fleet runs for 10 seconds
		Then the limit was kept at all times
		And at least <share> of it was used in the last 6 seconds

		Examples:
			| vms | limit | event                                                     | share |
			| 8   | 3     | the issuer is killed                                      | 0.75  |
			| 40  | 20    | the issuer is killed                                      | 0.75  |
			| 8   | 20    | the issuer shuts down                                     | 0.75  |
			| 8   | 3     | the issuer restarts at once                               | 0.75  |
			| 8   | 3     | the issuer is killed four times in a row                  | 0.3   |
			| 8   | 20    | the fleet is partitioned for 6 seconds                    | 0.75  |
			| 40  | 20    | the fleet is partitioned for 6 seconds                    | 0.75  |
			| 8   | 3     | half of the VMs are killed                                | 0.3   |
			| 8   | 20    | all VMs restart without state                             | 0.75  |
			| 40  | 20    | a tenth of the datagrams is lost and a tenth is duplicated | 0.75  |
			| 8   | 20    | the limit changes to 1 request a second                   | 0.75  |
			| 8   | 1     | the limit changes to 20 requests a second                 | 0.75  |
			| 8   | 3     | the limit changes to 0 requests a second                  | 0     |

	Scenario: A VM without an issuer sends at a low rate
		Given a simulated fleet of 8 VMs and an engine limited to 20 requests a second
		And demand is three times the limit, at all VMs
		When the fleet runs for 6 seconds
		And one VM is partitioned from the others
		And the fleet runs for 10 seconds
		Then that VM sent 1 to 40 requests in the last 8 seconds

	Scenario: Urgent requests go first without starving the others
		Given a simulated fleet of 8 VMs and an engine limited to 20 requests a second
		And demand is three times the limit, at all VMs, half of it urgent
		When the fleet runs for 14 seconds
		Then the urgent requests got most of the permits
		And the others got at least 0.05 of them

	Scenario Outline: Urgent requests with short waits do not lose to others with long waits
		Given a simulated fleet of 8 VMs and an engine limited to <limit> requests a second
		And demand is ten times the limit, at all VMs, a third of it urgent with short waits
		When the fleet runs for 30 seconds
		Then the limit was kept at all times
		And at least 0.75 of it was used after 4 seconds
		And the urgent requests got most of the permits
		And the others got at least 0.05 of them

		Examples:
			| limit |
			| 1     |
			| 3     |
			| 20    |

	Scenario: A partitioned VM does not bring back a limit that has ended
		Given a simulated fleet of 8 VMs and an engine limited to 3 requests a second
		And demand is three times the limit, at all VMs
		When the fleet runs for 6 seconds
		And one VM is partitioned from the others
		And the engine stops naming a limit
		And the fleet runs for 4 seconds
		And the partition ends
		And the fleet runs for 4 seconds
		Then no VM knows a limit

	Scenario: A VM that knows neither peers nor the size of the fleet sends at a low rate
		Given a VM that knows no peers, and an engine limited to 20 requests a second
		When it requests permits for 10 seconds
		Then it gets 1 to 10 permits

	Scenario: A VM stops issuing permits after a suspension
		Given an election that this VM has won
		When the VM is suspended for 3000 ms
		Then it issues no permits
		And it accepts another issuer announced meanwhile

	Scenario: Callers refused because of limits get staggered retry times
		Given 8 requests were admitted in the last 4 seconds
		When 10 callers are refused, and the first engine accepts permit requests in 300 ms
		Then they are told to retry after 0.3 to 5 seconds, half a second apart
		And a caller that is refused after many others is told to retry within 8 seconds

	Scenario: A request that has ended is not sent when its permit is granted
		Given a request that was denied one permit and waits for another
		When the request ends before the permit is granted
		Then the request is sent to no engine
