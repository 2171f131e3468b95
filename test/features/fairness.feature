Feature: Scarce room is shared out among customers, in simulated time

	Scenario: One customer sends many times its usual
		Given 36 VMs in 3 failure domains before 24 engines that summarize notices
		And 12 customers, of whom the first sends 20 times as many long prompts
		When 60 long and 30 short prompts a second come for 8 seconds
		Then at least 90 % of the other customers' long prompts are in time
		And at least 50 % of the first customer's

	Scenario: It wins nothing by repeating at once what was refused
		Given 36 VMs in 3 failure domains before 24 engines that summarize notices
		And 12 customers, of whom the first sends 20 times as many long prompts
		And it repeats 5 times at once what is refused
		When 60 long and 30 short prompts a second come for 8 seconds
		Then at least 90 % of the other customers' long prompts are in time
		And at most 75 % of the first customer's

	Scenario: A customer that is alone has all the room
		Given 36 VMs in 3 failure domains before 24 engines that summarize notices
		And 1 customers, of whom the first sends 1 times as many long prompts
		When 85 long and 30 short prompts a second come for 8 seconds
		Then at least 90 % of the first customer's long prompts are in time

	Scenario Outline: Shares are max-min
		Given customers that ask for <asked> engines, <urgent> of it urgent
		Then with room for <part> of what can be refused the parts within the shares are <within>

		Examples:
			| asked      | urgent  | part | within           |
			| 1, 1, 2    | 0, 0, 0 | 1    | 1, 1, 1          |
			| 1, 1, 10   | 0, 0, 0 | 0.5  | 1, 1, 0.4        |
			| 2, 2, 2    | 0, 0, 0 | 0.5  | 0.5, 0.5, 0.5    |
			| 1, 4, 10   | 0, 0, 8 | 0.5  | 1, 0.625, 0      |
			| 1, 1, 10   | 0, 0, 0 | 0    | 0, 0, 0          |

	Scenario: What customers ask for is known to all VMs, though news are lost, and forgotten with a VM that dies
		Given 87 VMs in 3 failure domains
		And a network that loses 10 and doubles 10 of 100 datagrams
		And customers ask each VM for work, the first of 4 ten times as much
		When 2500 ms go by
		Then all VMs know that the first asks for 10 times as much as the second, within 25 %
		When all VMs but 10 are killed
		And 3000 ms go by
		Then no VM that runs counts more than was asked of those 10

	Scenario: What customers asked for is forgotten within seconds
		Given 12 VMs in 3 failure domains
		And customers ask each VM for work, the first of 4 ten times as much
		When 10000 ms go by
		Then no VM counts more than a twentieth of what was asked

	Scenario: Rows of many customers fit their datagrams
		Given 87 VMs in 3 failure domains
		And each VM has a request at one of 61 engines
		And customers ask each VM for work, the first of 910 ten times as much
		When 3000 ms go by
		Then all VMs know that the first asks for 10 times as much as the second, within 25 %

	Scenario: A tier that is not the least urgent is refused only when it is of no use and no lower one is let in
		Then a request of urgency 0 that waits 2000 of 3000 ms left is let in
		And a request of urgency 0 that waits 4000 of 3000 ms left is refused for its deadline
		When a request of urgency 2 is let in
		Then a request of urgency 0 that waits 4000 of 3000 ms left is let in
		And a request of urgency 1 that waits 4000 of 3000 ms left is let in
		When 6000 ms go by without another
		Then a request of urgency 0 that waits 4000 of 3000 ms left is refused for its deadline

	Scenario: Refused callers come back one after the other, urgent ones first, those beyond their share last
		Given 4 callers of urgency 1 beyond their share, 4 of urgency 1 and 4 of urgency 0 are refused, each with 30000 ms left
		Then their times to come back are apart by at least 100 ms in each group
		And those of urgency 0 do not wait for those of urgency 1, nor these for those beyond their share

	Scenario: No caller is told a time beyond what it heeds, and those that come too late for an own one are spread
		Given 60 callers of urgency 1 beyond their share, 0 of urgency 1 and 0 of urgency 0 are refused, each with 3000 ms left
		Then none comes back later than after 1000 ms
		And no more than 20 come back within any 100 ms

	Scenario: Callers that are refused in a rush come back spread, and most are let in
		Given 36 VMs in 3 failure domains before 24 engines that summarize notices
		And 12 customers, of whom the first sends 30 times as many long prompts
		And it does so for 1.5 s, and callers come back when they are told to within 15000 ms
		When 60 long and 30 short prompts a second come for 8 seconds
		Then at least 90 % of the other customers' long prompts are in time
		And at most 25 % of the first customer's callers that come back are refused again
