Feature: Copies of configurations between VMs, and callers in front

	Scenario: A configuration of 1,440 routes reaches all members of an aggregator over a slow link
		Given a VM that has a configuration of 1440 routes
		When 20 VMs fetch it from that VM at once
		Then each has the configuration as it was
		And at most 3 copies were sent at a time
		And a link of 7 Mbit/s carries all copies within 900 ms

	Scenario: A VM that falls silent does not keep others from being asked
		Given a VM that has a configuration of 40 routes
		And a VM that accepts calls and says nothing
		When the configuration is fetched from the silent VM
		And 500 ms later from the other
		Then each has the configuration as it was

	Scenario: A request whose caller hung up before it was read is not passed on
		Given a front for callers
		When a caller sends a request and hangs up while the VM is busy
		And another caller sends a request
		Then only the request of the other is handed on
