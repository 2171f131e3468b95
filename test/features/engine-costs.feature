Feature: What work costs is learned from engines' answers

	Scenario Outline: Figures come close within seconds, whatever the engines' speed
		Given engines that read <read> prompt tokens a ms and make a token in <step> ms, <event> an event
		When their answers of <seconds> s at 2 requests a second each have been seen
		Then reading is estimated within 15 % of <read> tokens a ms and the steps between
		And a pause between events is estimated within 15 % of <event> steps
		And an answer of 300 tokens is estimated within 30 % of its steps

		Examples:
			| read | step | event | seconds |
			| 24   | 9    | 3     | 6       |
			| 42.6 | 5.55 | 3     | 6       |
			| 66   | 3.88 | 5     | 6       |
			| 110  | 2.2  | 6     | 6       |

	Scenario: A single wild observation moves little
		Given engines that read 42.6 prompt tokens a ms and make a token in 5.55 ms, 3 an event
		When their answers of 6 s at 2 requests a second each have been seen
		And one first event comes 20 s late
		Then reading is estimated within 15 % of 42.6 tokens a ms and the steps between

	Scenario: A VM that has just started takes what its peers have seen
		Given engines that read 24 prompt tokens a ms and make a token in 9 ms, 3 an event
		When their answers of 6 s at 2 requests a second each have been seen
		And another VM starts and hears the news of the first
		Then the other VM's figures are those of the first within 5 %

	Scenario: Before anything is seen there are figures, and they are bounded for ever
		Given a VM that has seen nothing
		Then reading is estimated at 50 tokens a ms
		When 1000 first events come at once and 1000 pauses last nothing
		Then no figure is below a twentieth of where it began

	Scenario: The same overload is served alike by fast and slow engines
		When the same overload is replayed on engines of half, usual and double time
		Then each time at least 85 % of the chats are in time and none is refused
		And each time 10 to 60 % of the letters are refused, within 12 points of each other
		And each time at least 80 % of the other letters are in time
