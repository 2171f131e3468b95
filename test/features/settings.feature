Feature: Settings and configuration files are validated

	Scenario: Every finding is reported with its line and column, and the exit code is 78
		Given a settings file
			"""
			[vm]
			id = "CLE 1"
			failure_domain = "cle-hall"
			address = "localhost"
			[platform]
			kv = "http://127.0.0.1:7000"
			vm_list = "http://127.0.0.1:7000"
			[peers]
			token = "short"
			tick = 5
			"""
		When slategauged checks it
		Then it exits with 78
		And it prints "2:1: vm.id: expected lower-case letters, digits and hyphens"
		And it prints "4:1: vm.address: expected an IP address, such as 10.0.0.7"
		And it prints "9:1: peers.token: expected at least 16 characters"
		And it prints "10:1: peers.tick: unknown key"

	Scenario: A syntax error is reported as a finding
		Given a settings file
			"""
			[vm
			"""
		When slategauged checks it
		Then it exits with 78
		And it prints ":1:"

	Scenario: A configuration with invalid references is rejected
		Given a settings file
			"""
			[operators]
			token_hashes = ["sha256:0000000000000000000000000000000000000000000000000000000000000000"]
			[[classes]]
			name = "chat"
			tier = 1
			first_token_ms = 500
			deadline_ms = 5000
			[[customers]]
			name = "app"
			key_hashes = ["sha256:0000000000000000000000000000000000000000000000000000000000000001"]
			default_class = "chatt"
			[[endpoints]]
			name = "e1"
			url = "http://127.0.0.1:9000"
			"""
		When slategauge checks it as a configuration
		Then it exits with 78
		And it prints "11:1: customers[0].default_class: no class is named chatt"
		And it prints "12:1: endpoints[0].models: an engine needs a model"

	Scenario: The documented examples are valid
		When slategauged checks the file "docs/examples/settings.toml"
		Then it exits with 0
		When slategauge checks the configuration "docs/examples/lakeshore.toml"
		Then it exits with 0
