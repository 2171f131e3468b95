Feature: Answers of the store that never come

	A watch may hang on its connection while the store answers all other calls. A VM must notice that by the watch itself, before the engines
	that it has not heard of have been leaving for the drain time of 2 s.

	# Guards against requests to engines that have left, sent by VMs whose watch hangs.
	Scenario Outline: VMs whose waiting watches get no answer stop using an engine that leaves
		Given a relay of <vms> VM with engines "a, b"
		And 2500 ms pass in quiet
		And the watches of <whose> that wait at the store get no answer
		When engine "a" starts to leave
		Then no VM sends work to engine "a" after 1500 ms

		Examples:
			| vms | whose        |
			| 1   | each VM      |
			| 2   | each VM      |
			| 9   | each VM      |
			| 14  | each VM      |
			| 5   | every 2nd VM |
			| 14  | every 2nd VM |

	# Guards against VMs whose watches hang since the last seconds of a disturbance of the store.
	Scenario: VMs whose watches of some seconds get no answer stop using an engine that leaves afterwards
		Given a relay of 2 VMs with engines "a, b"
		And each watch that begins within 4000 ms gets no answer
		And 4000 ms pass in quiet
		When engine "a" starts to leave
		Then no VM sends work to engine "a" after 1500 ms

	# Guards against a watch that hangs right after the pause that follows a change.
	Scenario: A VM whose next watch gets no answer stops using an engine that leaves
		Given a relay of 1 VM with engines "a, b"
		And 2500 ms pass in quiet
		When the registration of engine "b" is written 1 times more
		And 50 ms pass in quiet
		And the next watch of each VM gets no answer
		And engine "a" starts to leave
		Then no VM sends work to engine "a" after 1500 ms

	# Guards against a key that stays in force on VMs whose watch of the configuration hangs.
	Scenario: VMs whose watches of some seconds get no answer refuse a key that is taken away afterwards
		Given a relay of 2 VMs with engines "a"
		And each watch that begins within 4000 ms gets no answer
		And 4000 ms pass in quiet
		When the key of customer "station" is taken away
		Then each VM answers 401 within 2000 ms

	# Guards against a VM that places its first requests by an old list of engines.
	Scenario: A VM that starts while stale reads of the store are behind uses no engine that has left
		Given a relay of 14 VMs with engines "a, b"
		And 2500 ms pass in quiet
		And stale reads of the store are answered with its present content from now on
		When engine "a" starts to leave
		And 2000 ms pass in quiet
		And VM 14 is killed and started again
		Then VM 14 sends nothing to engine "a" after 0 ms
