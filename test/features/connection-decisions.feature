Feature: What the clients of a process may hold

	# Guards against bodies that stop short and keep others from being read.
	Scenario: Bodies that stop short give way to those that still arrive
		Given a port whose clients may hold 30 MB and 700 sockets
		When 300 clients send 4 MB of a body each and stop
		Then at most 30 MB are held
		And the last 6 of them are still read
		And a further request may run

	Scenario: Requests that run are not given up, and others are refused while they hold everything
		Given a port whose clients may hold 30 MB and 700 sockets
		When 7 clients send a whole body of 4 MB each
		And 10 clients send 1 MB of a body each and stop
		Then at most 30 MB are held
		And no request that runs was given up
		When a client sends a whole body of 2 MB
		Then a further request may not run
		And it may run once a request has ended

	Scenario: Connections without a request give way to new ones, the longest unused first
		Given a port whose clients may hold 30 MB and 700 sockets
		When 300 clients connect and run a request
		And 900 clients connect
		Then the sockets are at most 700
		And no request that runs was given up
		And the last 100 of the clients at rest are connected

	# Guards against requests sent ahead that take the sockets and the memory of all other clients.
	Scenario: Requests sent ahead are read as earlier ones end, in turn
		Given a port whose clients may hold 30 MB and 700 sockets
		When 60 clients send 300 requests ahead each
		Then at most 4 requests of a client run at once, and 200 of all clients
		And as requests end, all requests of all clients run

	# Guards against a turn of the event loop that reads a few clients for seconds.
	Scenario: Clients with much to read take turns, and a turn is short
		Given 600 clients with 1 s of reading each, in parts of 3 ms
		Then no turn takes longer than 10 ms
		And after 600 turns each of them has been read

	Scenario Outline: A body is collected unchanged, and holds little more than its bytes
		When a body of <bytes> bytes arrives in pieces of <pieces> bytes
		Then it is collected unchanged and no more than <held> bytes were held

		Examples:
			| bytes  | pieces      | held   |
			| 300000 | 1           | 370000 |
			| 300000 | 1, 70000    | 440000 |
			| 300000 | 65536       | 370000 |
			| 300000 | 4095, 4096  | 440000 |
			| 400    | 400         | 400    |
			| 400    | 7           | 2048   |
			| 0      | 1           | 0      |

	# Guards against memory that V8 frees late, and against bodies that share it. The largest bodies at once take 64 blocks.
	Scenario: Bodies that stop short leave their memory to others
		When 16 bodies of up to 262144 bytes arrive at once, 20 times, and half of them stop short
		Then the whole ones are collected unchanged in at most 64 blocks
