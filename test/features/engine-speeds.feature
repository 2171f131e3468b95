Feature: Engines of one service with different paces, in simulated time

	Scenario Outline: Engines get work according to their pace within three seconds, in fleets of any size
		Given <vms> VMs in <domains> failure domains before <engines> engines that answer quests
		And engines of pace 0.6, 1 and 1.6, with noise
		When <long> long and <short> short prompts a second arrive for 6 seconds
		Then from 3 s on the fast third of the engines gets at least its share of the work, and the slow third at most its share
		And at least <least> times as many prompts are in time as with exact knowledge of all paces
		And the median wait is at most 2 times as long

		Examples:
			| vms | domains | engines | long | short | least |
			| 8   | 2       | 12      | 60   | 25    | 0.9   |
			| 62  | 3       | 62      | 300  | 120   | 0.9   |
			| 300 | 5       | 62      | 300  | 120   | 0.9   |

	Scenario: A tenth of the engines becomes five times slower under load
		Given 62 VMs in 3 failure domains before 62 engines that answer quests
		And every tenth engine is 5 times slower from 3 s to 6 s, and all have noise
		When 500 long and 250 short prompts a second arrive for 9 seconds
		Then the slow engines get at most 0.3 of their share from 4.5 s to 6 s
		And they get at least 0.5 of their share from 8 s to 9 s, and each gets a prompt from 3 s on

	Scenario: All VMs learn an engine's pace from one observer, until that VM is gone
		Given 62 VMs in 3 failure domains
		When a VM that is not an aggregator observes one of 20 engines taking 5 times as long as the others
		Then all VMs estimate that it takes 3 to 6 times as long as the others
		When that VM is killed
		And 6000 ms go by
		Then all VMs estimate that it takes 0.8 to 1.7 times as long as the others

	Scenario: All VMs know it though news are lost
		Given 62 VMs in 3 failure domains
		And a network that loses 20 and doubles 10 of 100 datagrams
		When a VM that is not an aggregator observes one of 20 engines taking 5 times as long as the others
		Then all VMs estimate that it takes 3 to 6 times as long as the others

	# Guards against lost messages that look like an engine without new answers, whose pace then fades.
	Scenario Outline: All VMs know a slow engine whatever the fleet's size and whichever messages are lost
		Given <vms> VMs in <domains> failure domains, and losses drawn with seed <seed>
		And a network that loses <lost> and doubles 10 of 100 datagrams
		When a VM that is not an aggregator observes one of 20 engines taking 5 times as long as the others
		Then all VMs estimate that it takes 3 to 6 times as long as the others

		Examples:
			| vms | domains | seed | lost |
			| 40  | 3       | 2    | 20   |
			| 62  | 3       | 2    | 10   |
			| 90  | 3       | 3    | 5    |
			| 90  | 3       | 4    | 20   |
			| 130 | 5       | 2    | 20   |
			| 300 | 5       | 1    | 20   |

	Scenario: Noise of half a second hardly changes the steady pace, and a restart resets it
		Given a VM that observed engine "a" taking 1.6 times as long as 19 others for 20 s
		Then it estimates the steady and the current pace of it at 1.4 to 1.7
		When engine "a" is another 2.5 times slower for 600 ms
		Then it estimates the steady pace of it at 1.4 to 1.8
		When engine "a" restarts
		Then it estimates the steady and the current pace of it at 1 to 1

	Scenario: The size of gossip about paces does not grow with the number of engines
		Given a VM with observations of 940 engines
		Then its exported paces take at most 440 bytes
		And each engine is exported within 70 messages, and each slow one within 4
