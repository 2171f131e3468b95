Feature: Room in engines' memory, in simulated time

	Scenario: Prompts and answers that fill engines' memory while slots are free
		Given 72 VMs in 4 failure domains before 24 engines that digest transcripts
		When 150 long and 60 short prompts a second come for 5 seconds, with memory known and without, on 3 seeds
		Then at most two thirds as many requests are preempted where it is known
		And no fewer of the long and at least 97 % of the short prompts are in time there

	Scenario: All VMs choose by news that are half a second old
		Given 72 VMs in 4 failure domains before 24 engines that digest transcripts
		And news take 165 ms longer from VM to VM
		When 80 long and 40 short prompts a second come for 5 seconds
		Then at least 95 % of the long and 95 % of the short prompts are in time
		And no engine is asked for more than 1.7 times its memory

	Scenario: One answer of ten is far longer than expected
		Given answers of 250 expected tokens, one of ten 8 times as long
		Then an answer is taken to be 1.7 times as long as expected, within 15 %
		And an engine of 100000 tokens keeps 1000 to 4000 tokens for 16 of them to grow

	Scenario: A request that does not wait takes the slot of another where all run
		Given engines of 100000 tokens
		Then at one with 64 requests of 640 tokens it costs others 640 tokens
		And at one with 63 requests of 640 tokens it costs others 0 tokens

	Scenario: A part that others use counts once
		Given an engine of 100000 tokens where 5 requests share a part of 6000 tokens at the same moment
		Then they need 6000 tokens more than 5 that share nothing

	Scenario: What is larger than the memory of an engine is refused at once, until its caller's time is over
		Given engines of 100000 tokens
		When a prompt of 100000 tokens comes with 4200 ms left
		Then it is sent nowhere, and may come back after 5 s
		When a prompt of 99000 tokens comes with 4200 ms left
		Then it is sent to an engine

	Scenario: What a VM had at engines counts for a second after it was killed
		Given 72 VMs in 4 failure domains
		And each VM has a request at one of 20 engines
		When 2000 ms go by
		And a VM that reports to another is killed
		And 1500 ms go by
		Then all VMs know the work of the fleet
