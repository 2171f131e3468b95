Feature: Gossip between VMs in simulated time

	Scenario: A large fleet converges on the same work within 250 ms
		Given 195 VMs in 6 failure domains
		And each VM has a request at one of 61 engines
		When 2000 ms go by
		Then all VMs know the work of the fleet
		When each VM has a request at one of 61 engines
		And 250 ms go by
		Then all VMs know the work of the fleet

	Scenario: The message rate of a VM does not grow with the fleet
		Given a fleet of 30 and one of 300 VMs with 2 changes a second per VM
		Then a VM of the larger fleet sends at most 1.3 times as many datagrams
		And no VM sends more than 1200 datagrams a second
		And the larger fleet sends fewer than 60 datagrams a second per VM

	Scenario: An idle fleet sends few messages
		Given 81 VMs in 4 failure domains
		And each VM has a request at one of 20 engines
		When 3000 ms go by
		Then in the next 2000 ms the median VM receives at most 10 datagrams a second
		And an aggregator receives at most 110

	Scenario: A timer wakes the VM up once, and not early
		Given a timer whose clock is 1 ms ahead of the loop's
		When something is due after 250 ms, 10 times over
		Then the timer fired 10 times, each time when it was due
		When what is due is put off to 400 ms after 100 ms
		Then the timer did not fire before

	Scenario: A killed aggregator is replaced
		Given 87 VMs in 3 failure domains
		And each VM has a request at one of 20 engines
		When 2000 ms go by
		And the aggregator with the most members is killed
		And 1500 ms go by
		Then all VMs know the work of the fleet

	Scenario: An aggregator that shuts down hands over at once
		Given 87 VMs in 3 failure domains
		And each VM has a request at one of 20 engines
		When 2000 ms go by
		And the aggregator with the most members shuts down
		And 500 ms go by
		Then all VMs know the work of the fleet

	Scenario: Each side of a network partition counts its own work, and the whole fleet's after the partition heals
		Given 87 VMs in 3 failure domains
		And each VM has a request at one of 20 engines
		When 2000 ms go by
		And a network partition isolates every second VM
		And 4000 ms go by
		Then all VMs know the work of their side
		When the network partition heals
		And 6000 ms go by
		Then all VMs know the work of the fleet

	Scenario: Finished work is removed at all VMs despite lost, duplicated and delayed datagrams
		Given 87 VMs in 3 failure domains
		And a network that loses 10 and doubles 10 of 100 datagrams
		And each VM has a request at one of 20 engines
		When 2000 ms go by
		And all requests end
		And 1000 ms go by
		Then all VMs know the work of the fleet

	Scenario: All VMs converge after any sequence of faults
		Then after any 12 faults in a fleet of 26 VMs all know the work of the fleet

	Scenario: Prefix cache updates of one VM reach all VMs
		Given 87 VMs in 3 failure domains
		When 2000 ms go by
		And an engine prefills 400 prompt segments for a VM
		And 2000 ms go by
		Then all VMs know which engine has each segment cached

	Scenario: A new configuration version reaches all VMs
		Given 195 VMs in 6 failure domains
		When 2000 ms go by
		And one VM that is no aggregator has configuration 7
		And 600 ms go by
		Then all VMs know of configuration 7

	Scenario: A VM that reads the store is known to all VMs until it stops reading
		Given 195 VMs in 6 failure domains
		And one VM that is no aggregator reads the store
		When 2000 ms go by
		Then all VMs know that it reads the store
		When it stops reading the store
		And 3000 ms go by
		Then no VM knows a reader of the store

	Scenario: Cost estimates of one VM reach all VMs
		Given 87 VMs in 3 failure domains
		When one VM that is no aggregator observes engines that prefill 20 tokens a ms
		And 6000 ms go by
		Then all VMs expect engines to prefill 19 to 23 tokens a ms
