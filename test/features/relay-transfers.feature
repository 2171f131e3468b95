Feature: Transfers of configurations between VMs, and requests of disconnected callers

	Scenario: All members of an aggregator fetch a large configuration over a slow link
		Given a VM that has a configuration of 1440 routes
		When 20 VMs fetch it concurrently
		Then each received the unchanged configuration
		And at most 3 transfers ran concurrently
		And a link of 7 Mbit/s carries all transfers within 900 ms

	Scenario: An unresponsive VM does not prevent a fetch from another VM
		Given a VM that has a configuration of 40 routes
		And a VM that accepts connections but sends nothing
		When a VM fetches the configuration from the unresponsive VM
		And 500 ms later from the other VM
		Then each received the unchanged configuration

	Scenario: A request whose caller disconnected before it was read is not forwarded
		Given an HTTP server whose event loop lags
		When a caller sends a request and disconnects before the server reads it
		And another caller sends a request
		Then only the request of the other caller is forwarded
