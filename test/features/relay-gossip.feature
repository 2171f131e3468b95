Feature: News between many VMs, in simulated time

	Scenario: Every VM knows the work of a large fleet within a fifth of a second
		Given 195 VMs in 6 failure domains
		And each VM has a request at one of 61 engines
		When 2000 ms go by
		Then all VMs know the work of the fleet
		When each VM has a request at one of 61 engines
		And 250 ms go by
		Then all VMs know the work of the fleet

	Scenario: Messages of a VM do not grow with the fleet
		Given a fleet of 30 and one of 300 VMs with 2 changes a second a VM
		Then a VM of the larger sends at most 1.3 times as many datagrams
		And no VM sends more than 1200 datagrams a second
		And the larger fleet sends fewer than 60 datagrams a second a VM

	Scenario: A fleet in which nothing changes is quiet
		Given 81 VMs in 4 failure domains
		And each VM has a request at one of 20 engines
		When 3000 ms go by
		Then in the next 2000 ms a VM hears at most 10 datagrams a second in the median
		And an aggregator at most 110

	Scenario: A timer for what is due wakes the VM up once, not early and again
		Given a timer whose clock is 1 ms ahead of the loop's
		When something is due after 250 ms, 10 times over
		Then the timer fired 10 times, each time when it was due
		When what is due is put off to 400 ms after 100 ms
		Then the timer did not fire before

	Scenario: An aggregator that is killed is replaced
		Given 87 VMs in 3 failure domains
		And each VM has a request at one of 20 engines
		When 2000 ms go by
		And the aggregator with the most members is killed
		And 1500 ms go by
		Then all VMs know the work of the fleet

	Scenario: An aggregator that stops as planned hands over at once
		Given 87 VMs in 3 failure domains
		And each VM has a request at one of 20 engines
		When 2000 ms go by
		And the aggregator with the most members stops as planned
		And 500 ms go by
		Then all VMs know the work of the fleet

	Scenario: A fleet that is cut in two counts the work of each side, and all of it again after the cut
		Given 87 VMs in 3 failure domains
		And each VM has a request at one of 20 engines
		When 2000 ms go by
		And every second VM is cut off from the others
		And 4000 ms go by
		Then all VMs know the work of their side
		When the cut ends
		And 6000 ms go by
		Then all VMs know the work of the fleet

	Scenario: Work that has ended is forgotten by all, though datagrams are lost, doubled and late
		Given 87 VMs in 3 failure domains
		And a network that loses 10 and doubles 10 of 100 datagrams
		And each VM has a request at one of 20 engines
		When 2000 ms go by
		And all requests end
		And 1000 ms go by
		Then all VMs know the work of the fleet

	Scenario: Whatever is killed, started, stopped and cut, all VMs agree in the end
		Then after any 12 of these in a fleet of 26 VMs all know the work of the fleet

	Scenario: A part that one VM's engine reads is known to all
		Given 87 VMs in 3 failure domains
		When 2000 ms go by
		And a VM has 400 parts of prompts read
		And 2000 ms go by
		Then all VMs know which engine keeps each part

	Scenario: A configuration that one VM has is heard of by all
		Given 195 VMs in 6 failure domains
		When 2000 ms go by
		And one VM that is no aggregator has configuration 7
		And 600 ms go by
		Then all VMs have heard of configuration 7

	Scenario: A VM that reads the store is known to all as long as it does
		Given 195 VMs in 6 failure domains
		And one VM that is no aggregator reads the store
		When 2000 ms go by
		Then all VMs know that it reads the store
		When it reads the store no more
		And 3000 ms go by
		Then no VM knows of one that reads the store

	Scenario: What work costs is learned by all from one VM
		Given 87 VMs in 3 failure domains
		When one VM that is no aggregator sees engines that read 20 tokens a ms
		And 6000 ms go by
		Then all VMs expect engines to read 19 to 23 tokens a ms
