Feature: Decisions of the relay in isolation

	Scenario: The longest matching path prefix of a host selects the route
		Given routes "a.example /x/", "a.example /x/y/" and "b.example /x/"
		Then "A.Example:8080" "/x/y/z?q=/x/" goes to "a.example /x/y/"
		And "a.example" "/x/yz" goes to "a.example /x/"
		And "b.example" "/x/y/" goes to "b.example /x/"
		And "a.example" "/xy/" goes nowhere

	Scenario: Urgency at engines follows the route's tier, then the customer's tier
		Given routes of tiers 0 and 2 and customers of tiers 0 and 1
		Then urgency orders them "0/0, 0/1, 2/0, 2/1"

	Scenario: A VM stays within its share of the fleet's retry budget
		Given a retry budget of 0.2 and 50 in 10 s shared by 5 VMs
		When 20 requests come in
		Then 11 retries are taken of 30
		When 11 seconds pass
		Then 8 retries are taken of 30

	Scenario: A VM without contact to others does not spend the retry budget of the whole fleet
		Given a fleet size that never was read
		Then with 1 VM heard and none read it is not known
		And with 4 VMs heard and none read it is 4
		And with 1 VM heard and 6 read it is 6
		And with 1 VM heard and 2 read it is 6
		When 61 seconds pass
		Then with 1 VM heard and 2 read it is 2

	Scenario: An engine is removed when its registration ends while the store is available
		Given a directory of engines "a, b"
		When the registration of "a" ends
		Then engines "b" are offered

	Scenario: A registration that is missing after a store outage has two seconds to return
		Given a directory of engines "a, b"
		When the store is lost and returns without "a"
		Then engines "a, b" are offered
		When 2 seconds pass
		Then engines "b" are offered

	Scenario: A registration that ends after a store outage removes the engine at once
		Given a directory of engines "a, b"
		When the store is lost and returns whole
		And the registration of "a" ends
		Then engines "b" are offered

	Scenario: Late gossip about an earlier incarnation of an engine does not apply to the current one
		Given the fleet has 3 requests at "a"
		When "a" begins again under its id
		And news of 3 requests at the "a" before come late
		Then the fleet has 0 requests at the "a" of now, and it is open

	Scenario: Invalid registrations by other writers do not register an engine
		Then whatever another writer leaves under "b", engines "a, c" are offered
		And whatever another writer leaves under "e", engines "a, b, c" are offered

	# Guards against an error of the relay in the life of one request that ends the process.
	Scenario: An error of the relay costs only the request that it concerns
		Given two requests under way, and the answer of the first makes the relay throw
		Then only the first is aborted, with a log line and a count

	# Guards against one value that ends the processes of all VMs, again after each restart.
	Scenario Outline: A value that cannot be used costs only itself
		Then whatever <value> is, it costs only itself

		Examples:
			| value                          |
			| the address of an engine       |
			| the id of an engine            |
			| the registration of a VM       |
			| an answer of the store         |
			| the era of the store           |
			| a quarantined key              |
			| a peer's copy of the engines   |
			| an address in a datagram       |
			| a number in a datagram         |
			| an order to forward a request  |
			| the earlier usage reports      |
			| the settings                   |
			| a number of the configuration  |
			| an entry of the store that is nested deeply |
			| an entry of the list of VMs    |

	Scenario: A VM fetches changed registrations from a peer
		Given a directory of engines "a, b, c"
		And a peer with the same directory
		When engine "d" registers and that of "b" ends
		Then the peer takes what changed and has engines "a, c, d"
		And a peer that knows no engines asks for all of them

	Scenario: Heartbeats that change nothing cause no gossip and no fetch
		Given a directory of engines "a, b, c"
		And a peer with the same directory
		When each engine writes its registration again
		Then the peer has nothing to fetch, and none was told
		When the registration of "b" says that it leaves
		Then the peer has something to fetch, and it was told
		And a reader of the store whose revision alone rose is no news, but one of another era is

	# Guards against VMs that serve nothing for seconds after a start or a change, while all of them fetch a long list from a few peers.
	Scenario: A peer fetches only registrations whose content changed, and the whole list is serialized once for all
		Given a directory of engines "a, b, c"
		And a peer with the same directory
		When each engine writes its registration again
		And the registration of "b" says that it leaves
		Then a copy for the peer holds only the registration of "b"
		And peers that know no engines get the same text before and after a heartbeat of "c"

	Scenario: Loading thousands of engines takes little more work for each of them than loading hundreds
		When directories of 500 and 4000 engines are loaded
		Then the larger one reads the ids of engines at most 16 times as often

	Scenario: In a large fleet a few VMs read the store for all others
		Given a fleet of 60 VMs
		Then 60 of them read the store
		When 4 of their peers read the store for 3000 ms
		Then 4 of them read the store
		And 4 of them tell so three times before they seem cut off, however quiet it is
		When 0 of their peers read the store for 100 ms
		Then 60 of them read the store
		And 4 of them ask a store that is away more often than each second

	Scenario: In a store outage connected VMs take turns at retrying
		Given a fleet of 195 VMs
		When 4 of their peers read the store for 4000 ms, and all hear each other
		Then 4 of them read the store
		When 0 of their peers read the store for 900 ms, and all hear each other
		Then 4 of them read the store
		When 0 of their peers read the store for 6000 ms, and all hear each other
		Then 16 of them read the store
		When 4 of their peers read the store for 3000 ms, and all hear each other
		Then 4 of them read the store

	# Guards against a store whose link is filled by VMs that read on although others read for them.
	Scenario: A store follower that is paused does not read the rest of a long range
		Given a store with 1000 keys, of which each call returns a few
		When a follower of them is paused after its first calls
		Then it makes at most a quarter of the calls that the whole range takes
		And it reads the whole range once it is resumed

	Scenario: A store follower that is already retrying is not sped up
		Given a follower of a store that refuses every call
		When it is told each 50 ms for 4000 ms to drop what may hang
		Then it has called the store at most 16 times

	# Replays a release, in which engines change all the time, to readers whose watch pauses 500 ms after each change.
	Scenario: A reader whose watch works does not read the engines again for the changes of its peers
		Given a reader with 3 peers, each of which receives changes at its own moment
		When the engines change each 100 ms for 20000 ms
		And 3000 ms pass without a change
		Then the reader never missed a change

	Scenario: A reader whose watch hangs notices the changes of its peers
		Given a reader with 3 peers, each of which receives changes at its own moment
		And the watch of the reader hangs
		When the engines change each 100 ms for 2000 ms
		Then the reader missed a change within 500 ms of hearing of it

	Scenario: A reader whose watch left out a change notices that its engines differ
		Given a reader with 3 peers, each of which receives changes at its own moment
		And the watch of the reader leaves out the next change
		When the engines change each 100 ms for 100 ms
		And 3000 ms pass without a change
		Then the reader missed a change within 1600 ms of hearing of it

	Scenario: In a small fleet all VMs read the store
		Given a fleet of 9 VMs
		When 8 of their peers read the store for 3000 ms
		Then 9 of them read the store
		And 0 of them tell so three times before they seem cut off, however quiet it is

	Scenario: An older configuration never replaces a newer one
		Given a configuration of version 7 in force
		When version 5 is offered
		Then version 7 is in force
		When a text that is no configuration is offered
		Then version 7 is in force

	Scenario: Late and duplicate gossip of a peer is ignored
		Given a peer that told of 3 running requests at "a" as message 5
		When its message 4 comes with 9 running requests
		Then the fleet has 3 running requests at "a"
		When the peer starts anew and tells of 1 running request as message 1
		Then the fleet has 1 running requests at "a"
		When 2 seconds pass
		Then the fleet has 0 running requests at "a"

	Scenario Outline: A permit request that cannot be answered is rejected as invalid
		Given an ask for a permit whose <field> is <value>
		Then the datagram is refused

		Examples:
			| field   | value            |
			| from    | 10.0.0.1         |
			| from    | 10.0.0.1:0       |
			| from    | 10.0.0.1:99999   |
			| from    | 10.0.0.1:x       |
			| from    | a.example:7000   |
			| urgency | -1               |
			| urgency | 10               |
			| urgency | 1.5              |
			| urgency | 1000000000       |
			| waitMs  | -1               |
			| waitMs  | 1e12             |

	Scenario: Gossip survives encoding and decoding, and invalid datagrams are rejected
		Given news of work, reads, demand and costs
		Then they are the same after encoding and decoding
		And 1000 random datagrams are refused without an error
		And a datagram of them with any field of another type is refused

	Scenario: Gossip that is due after its socket was closed is dropped
		Given news of work, reads, demand and costs
		Then a closed sender of datagrams passes over them

	Scenario: Requests that share a prompt prefix go to one engine
		Given 6 model engines
		When 5 prompts of 6000 tokens share a segment of 5000
		Then they are all placed on one engine

	Scenario: A segment cached at a busy engine is copied by another engine, once it was read
		Given 6 model engines
		When 1 prompt of 6000 tokens shares a segment of 5000
		And the engine of the first prompt has 60000 prompt tokens queued
		And 1200 ms have passed
		And 1 prompt of 6000 tokens shares a segment of 5000
		Then the last prompt is placed on another engine, which copies 5000 tokens from the first one
		When a call with a copy source is encoded for a request whose own headers name one
		Then the headers name only the chosen copy source

	Scenario: A segment can be copied as soon as the first event of its request arrived
		Given 6 model engines
		When 1 prompt of 6000 tokens shares a segment of 5000
		And the engine of the first prompt has 60000 prompt tokens queued
		And 100 ms have passed
		And the first event of the first prompt arrives
		And 1 prompt of 6000 tokens shares a segment of 5000
		Then the last prompt is placed on another engine, which copies 5000 tokens from the first one

	Scenario: Copies of a segment are spread over all engines that have it cached
		Given 12 model engines of which 6 have cached a segment of 5000 tokens and are busy
		When 200 prompts of 6000 tokens that share it are placed on the others
		Then each of the 6 is the source of 15 or more copies

	Scenario: A segment that is still being read is not copied
		Given 6 model engines
		When 1 prompt of 6000 tokens shares a segment of 5000
		And 100 ms have passed
		And 1 prompt of 6000 tokens shares a segment of 5000
		Then they are all placed on one engine

	Scenario: Among engines of equal cost one with an open connection is preferred, unless a large segment is shared
		Given 6 model engines
		When a connection to any one of them is open
		Then a prompt of 300 tokens that shares 100 is placed there
		But a prompt of 6000 tokens that shares 5000 is placed on the same engine whichever is open

	Scenario: Long and short prompts are kept on separate engines
		Given 6 model engines
		When 20 long and 20 short prompts are placed in turn
		Then no engine has both

	Scenario: A prompt is long if reading it takes longer than the target pause allows
		Given 6 model engines
		Then with a target pause of 150 ms a prompt of 8000 tokens is long
		And with a target pause of 150 ms a prompt of 3000 tokens is short
		And with a target pause of 500 ms a prompt of 8000 tokens is short
		And without a target pause no prompt is long

	Scenario: A huge prompt is not refused because of its own reading time
		Given 6 model engines
		When a prompt of 40000 tokens with a target of 600 ms arrives
		Then it is placed
		Given 6 model engines with 40000 prompt tokens queued at each
		When a prompt of 40000 tokens with a target of 600 ms arrives
		Then it is refused

	Scenario: Refusals account for the work done since a queue was reported
		Given 6 model engines with 26000 prompt tokens queued at each
		When a prompt of 500 tokens with a target of 600 ms arrives
		Then it is refused
		When gossip is up to 600 ms old
		And a prompt of 500 tokens with a target of 600 ms arrives
		Then it is placed

	Scenario: Under overload the long-prompt pool keeps a quarter of the engines
		Given a demand of 6 engines by short and 6 by long prompts
		Then of 8 engines 2 are in the long-prompt pool

	Scenario: On engines with few slots the work of a stream is its slot occupancy
		Given engines that read 60 tokens per ms and generate one in 4 ms
		Then a short prompt of 400 and an answer of 300 tokens keep an engine of 64 slots busy for 25 to 26 ms
		And a short prompt of 400 and an answer of 300 tokens keep an engine of 12 slots busy for 106 to 108 ms
		And a long prompt of 12000 and an answer of 300 tokens keep an engine of 12 slots busy for 227 to 230 ms
		And a long prompt of 1000 and an answer of 300 tokens keep an engine of 2 slots busy for 606 to 610 ms

	Scenario: Only the least urgent tier is refused because of its wait
		Given 3 model engines with 600000 prompt tokens queued at each
		Then a prompt of the least urgent tier is refused with a retry time
		And a more urgent prompt is placed

	Scenario: Three failures in a row open the circuit of an engine, and one trial request probes it
		Given an engine that failed 3 requests in a row
		Then it is not available
		When 1 second passes
		Then it is available for 1 request until that one ends

	Scenario: An engine that rejects requests is skipped only briefly
		Given an engine that rejected 3 requests in a row
		Then it is not available
		When 1 second passes
		Then it is available for 1 request until that one ends

	Scenario: A trial request whose caller left may be repeated
		Given an engine that failed 3 requests in a row
		When 1 second passes
		And its trial request ends inconclusively
		Then it is available for 1 request until that one ends

	Scenario: An engine that is silent with requests in flight is not chosen
		Given an engine with a request in flight and no bytes for 700 ms
		Then it is not available

	Scenario: Events are split correctly at any chunk boundaries
		Given a stream of 20 events with ids
		Then any cut into chunks yields the same events and ids

	Scenario: A blocked log drops and counts lines instead of blocking the process
		Given a log whose reader takes nothing
		When 100000 lines are written
		Then writing took less than 2 seconds of waiting
		And lines were dropped and counted

	Scenario: Lines of a log file survive a kill in the next turn of the event loop
		When 1000 lines are written to a file and the process is killed
		Then the file holds 1000 whole lines

	Scenario: The story of a request is reconstructed from the logs of several VMs
		Given logs of two VMs in which "vm-1" closed engine "e1" and sent request "r1" there
		Then the story of "r1" names, in order, "store.lost, engine.closed, request.placed, request.ended"
		And nothing is missing from the story of "r1"
		And the story of "r2" says that its end is not told
		And the story of "r3" says that no line names it

	Scenario: The story of a quarantined request includes the engines that crashed on the same content elsewhere
		Given logs in which "r1" broke on "vm-1" and "r2" on "vm-2", and "r3" of the same content was kept from engines
		Then the story of "r3" names, in order, "request.broken, request.broken, quarantine.entered, request.quarantined"
		And nothing is missing from the story of "r3"

	Scenario: The story of a request refused while all engines back off includes their notices
		Given logs in which engines "e1, e2" asked "vm-1" for rest and "r1" was refused there, and "e3" asked "vm-2"
		Then the story of "r1" names, in order, "engine.notice, engine.notice, request.ended"

	Scenario: Requests are found in logs by their outcome
		Given a file of logs in which requests ended so
			| time  | vm   | request | route | engines | outcome   | took_ms |
			| 10:00 | vm-1 | a       | chat  | e1      | complete  | 40      |
			| 10:01 | vm-2 | b       | chat  | e1,e2   | cut       | 900     |
			| 10:02 | vm-1 | c       | order | e2      | timed-out | 1200    |
			| 10:03 | vm-2 | d       | order |         | refused   | 1       |
		Then "find" with "" names "a, b, c, d"
		And "find" with "--engine e1" names "a, b"
		And "find" with "--route order --took 1000" names "c"
		And "find" with "--outcome refused --vm vm-2" names "d"
		And "find" with "--from 2026-01-01T10:01Z --to 2026-01-01T10:03Z" names "b, c"
		And "find" with "--from yesterday" is refused

	Scenario: Every event that the relay logs is declared
		Then each event named in the sources of the relay is declared with its fields

	Scenario: VMs that start together stop reading the store once others read it for them
		Given a fleet of 30 VMs
		When 0 of their peers read the store for 2300 ms
		Then 30 of them read the store
		When 29 of their peers read the store for 200 ms
		Then 4 of them read the store
		When 3 of their peers read the store for 800 ms
		Then 4 of them read the store

	Scenario: Requests that arrive while a daemon first reads the store are held
		Given a daemon that has just started
		When requests "a" and "b" come and the caller of "b" leaves
		And the daemon has read the store after 100 ms
		Then "a" went on, held
		When the daemon starts anew and 1100 ms pass without the store
		And requests "c" and "d" come and the caller of "d" leaves
		Then "c, d" went on, not held

	Scenario: The cost of a placement does not grow with the fleet
		Given 82 model engines and gossip about their work from 98 peers
		Then a placement reads the clock at most 500 times
		And the fleet's work at each engine is the sum of what each peer last reported
		When 2 seconds pass
		Then the fleet has no work at any engine
