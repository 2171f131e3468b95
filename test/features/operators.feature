Feature: The query and command language

	Scenario: A query covers the whole fleet
		Given a fleet of 3 daemons and 2 engines
		When the operator runs "show vms where queued = 0 sort by vm desc limit 1"
		Then it exits with 0
		And it prints "vm-3"
		When the operator runs "show endpoints where endpoint = engine-1 group by owner"
		Then it exits with 0
		And it prints "3"
		When the operator runs "show requests --output json"
		Then it exits with 0
		And it prints "[]"

	Scenario: A syntax error reports its column and suggests the nearest keyword
		Given a fleet of 1 daemon and 1 engine
		When the operator runs "show reqests"
		Then it exits with 64
		And it prints "column 6: unexpected \"reqests\""
		And it prints "did you mean requests?"
		When the operator runs "show vms where queud = 1"
		Then it exits with 64
		And it prints "column 16: unexpected \"queud\""
		And it prints "did you mean queued?"
		When the operator runs "show vms limit"
		Then it exits with 64
		And it prints "column 15: unexpected end of line"
		When the operator runs "set class chat tier 99"
		Then it exits with 64
		And it prints "tier"

	Scenario: A command changes the configuration, and a dry run does not
		Given a fleet of 3 daemons and 2 engines
		When the operator runs "drain engine-1 --dry-run"
		Then it exits with 0
		And it prints "version 1 stays in force"
		When the operator runs "drain engine-1"
		Then it exits with 0
		And it prints "in force on 3 VMs"
		And every daemon has version 2 in force

	Scenario: The timeline shows the events of a request
		Given a fleet of 2 daemons and 1 engine
		When the openai client of listener-app asks "story len=5" as a stream
		And the operator runs "timeline --class chat"
		Then it exits with 0
		And it prints "event=request.queued"
		And it prints "event=request.started"
		And it prints "outcome=complete"

	Scenario: A request with an unknown operator token is rejected
		Given a fleet of 1 daemon and 1 engine
		When the operator with a wrong token runs "status"
		Then it exits with 1
		And it prints "the operator token is unknown"

	Scenario: A trace is replayed and evaluated, and its report and timeline are rendered
		Given a fleet of 2 daemons and 2 engines
		When the operator replays the first 12 requests of the morning
		Then it exits with 0
		And it prints "rundown"
		When the operator makes a report of it
		Then it exits with 0
		And the page has a chart of "Attainment"
		When the operator draws the time line
		Then it exits with 0
		And the page has a lane for "vm-2"

	Scenario: An invalid trace is reported with the line of each finding
		Given a fleet of 1 daemon and 1 engine
		When the operator replays a trace with the line "{}"
		Then it exits with 78
		And it prints ":1:1: (line): at_ms"
