Feature: The end of a planned stop

	# Guards against requests that are read after a VM has found none open, and are lost as its process ends.
	Scenario: Requests that come as a stopped VM ends are answered or reach no engine
		Given a relay of 9 VMs with engines "a, b"
		When all VMs are stopped and requests come as they end
		Then each of these requests is answered or reached no engine
