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

	# Guards against requests that are taken late in the grace of a planned stop, reach an engine and are cut at its end.
	Scenario Outline: Requests on new connections at any time of a planned stop's grace are answered whole, or reach no engine
		Given a relay of 1 VM with engines "a, b"
		And engines answer after <ms> ms, with events every <event> ms
		When the VM is stopped, and callers send "<call>" until it has ended, <how>
		Then each request that reached an engine is answered whole, and some were refused

		Examples:
			| call               | ms   | event | how                                               |
			| POST /once/        | 1000 | 5     | each at once                                      |
			| POST /plain/       | 1000 | 5     | each at once                                      |
			| POST /stream/once/ | 0    | 200   | each at once                                      |
			| POST /once/        | 100  | 5     | each as an upload of 900 ms                       |
			| POST /once/        | 900  | 5     | each at once, while the VM halts for 60 ms at a time |
			| POST /stream/once/ | 0    | 200   | each at once, while the VM halts for 60 ms at a time |

	Scenario Outline: Requests that other VMs forward at any time of a planned stop's grace are answered whole, or reach no engine
		Given a relay of 3 VMs whose links can fail, with engines "a, b"
		And the links of 1 VM to all engines "<links>"
		And 3000 ms pass in quiet
		And engines answer after <ms> ms, with events every <event> ms
		When VM <stopped> is stopped, and callers of the first VM send "<call>" until it has ended, each at once
		Then each request that reached an engine is answered whole

		Examples:
			| links | stopped | call               | ms  | event |
			| reset | 1       | POST /once/        | 600 | 5     |
			| hang  | 1       | POST /once/        | 200 | 5     |
			| reset | 1       | POST /stream/once/ | 0   | 100   |
			| reset | 2       | POST /once/        | 600 | 5     |
			| reset | 2       | POST /stream/once/ | 0   | 100   |
