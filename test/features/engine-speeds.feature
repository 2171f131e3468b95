Feature: Engines of one service that work at different paces, in simulated time

	Scenario Outline: Engines get work by their pace within three seconds, in fleets of any size
		Given <vms> VMs in <domains> failure domains before <engines> engines that answer quests
		And engines at 0.6, 1 and 1.6 times the usual time, with noise
		When <long> long and <short> short prompts a second come for 6 seconds
		Then from 3 s on each third of the engines gets its share of the work, the fast ones no less and the slow ones no more
		And at least <least> times as many prompts are in time as with full knowledge of all engines
		And waits are at most 2 times as long in the median

		Examples:
			| vms | domains | engines | long | short | least |
			| 8   | 2       | 12      | 60   | 25    | 0.9   |
			| 62  | 3       | 62      | 300  | 120   | 0.9   |
			| 300 | 5       | 62      | 300  | 120   | 0.9   |

	Scenario: A tenth of the engines turns five times slower under streams
		Given 62 VMs in 3 failure domains before 62 engines that answer quests
		And each tenth engine takes 5 times as long from 3 s to 6 s, and all have noise
		When 500 long and 250 short prompts a second come for 9 seconds
		Then those engines get at most 0.3 of their share from 4.5 s to 6 s
		And they get at least 0.5 of their share from 8 s to 9 s, and each at least one prompt from 3 s on

	Scenario: All VMs know an engine's pace from one that sees it, and it no longer counts once that one is gone
		Given 62 VMs in 3 failure domains
		When one VM that is no aggregator sees one of 20 engines take 5 times as long as the others
		Then all VMs expect it to take 3 to 6 times as long as the others
		When that VM is killed
		And 6000 ms go by
		Then all VMs expect it to take 0.8 to 1.7 times as long as the others

	Scenario: All VMs know it though news are lost
		Given 62 VMs in 3 failure domains
		And a network that loses 20 and doubles 10 of 100 datagrams
		When one VM that is no aggregator sees one of 20 engines take 5 times as long as the others
		Then all VMs expect it to take 3 to 6 times as long as the others

	Scenario: Noise of half a second moves the steady pace little, and a new start forgets it
		Given a VM that saw engine "a" take 1.6 times as long as 9 others for 20 s
		Then it expects 1.4 to 1.7 times as long of it, in the mean of half a minute too
		When engine "a" takes 2.5 times as long again for 600 ms
		Then it expects 1.4 to 1.8 times as long of it in the mean of half a minute
		When engine "a" starts anew
		Then it expects 1 to 1 times as long of it, in the mean of half a minute too

	Scenario: What is told of speeds does not grow with the engines
		Given a VM that saw 940 engines
		Then its news of speeds take at most 440 bytes
		And each engine is told of within 70 of them, those that turned slow within 4
