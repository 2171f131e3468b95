Feature: The end of a planned stop

	# Guards against requests that are read after a VM has found none open, and are lost as its process ends.
	Scenario: Requests that come as a stopped VM ends are answered or reach no engine
		Given a relay of 9 VMs with engines "a, b"
		When all VMs are stopped and requests come as they end
		Then each of these requests is answered or reached no engine

	# Guards against a connection that ends behind an answer although requests behind it are at engines.
	Scenario Outline: Requests behind one another on a connection to a stopping VM are answered, or have not run
		Given a relay of 1 VM with engines "a, b"
		And engines answer after 300 ms
		When the VM is stopped and a caller sends "POST /once/ POST /stream/once/ POST /once/" at once <after> ms later
		Then each request that ran is answered whole, and none that was refused ran

		Examples:
			| after |
			| 50    |
			| 3100  |
