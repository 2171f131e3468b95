Feature: Costs of work are estimated from the answers of engines

	Scenario Outline: Estimates converge within seconds at any engine speed
		Given engines that read <read> prompt tokens per ms and generate a token in <step> ms, <event> per event
		When <seconds> s of their answers are observed, at 2 requests a second per engine
		Then reading is estimated within 15 % of <read> tokens per ms plus interleaved steps
		And the event interval is estimated within 15 % of <event> steps
		And an answer of 300 tokens is estimated within 30 % of its steps

		Examples:
			| read | step | event | seconds |
			| 24   | 9    | 3     | 6       |
			| 42.6 | 5.55 | 3     | 6       |
			| 66   | 3.88 | 5     | 6       |
			| 110  | 2.2  | 6     | 6       |

	Scenario: A single outlier has little effect
		Given engines that read 42.6 prompt tokens per ms and generate a token in 5.55 ms, 3 per event
		When 6 s of their answers are observed, at 2 requests a second per engine
		And one first event takes 20 s
		Then reading is estimated within 15 % of 42.6 tokens per ms plus interleaved steps

	Scenario: A VM that just started uses the observations of its peers
		Given engines that read 24 prompt tokens per ms and generate a token in 9 ms, 3 per event
		When 6 s of their answers are observed, at 2 requests a second per engine
		And another VM starts and merges the gossip of the first
		Then the other VM's estimates match those of the first within 5 %

	Scenario: Estimates start at a prior and stay within bounds of it
		Given a VM without observations
		Then reading is estimated at 50 tokens per ms
		When 1000 first events and 1000 pauses of 0 ms are observed
		Then no estimate is below a twentieth of its prior

	Scenario: Fast and slow engines handle the same relative overload alike
		When the same overload is replayed on engines of pace 0.5, 1 and 2
		Then in each replay at least 85 % of the chats are in time and none is refused
		And in each replay 10 to 60 % of the letters are refused, within 12 points of each other
		And in each replay at least 80 % of the accepted letters are in time
