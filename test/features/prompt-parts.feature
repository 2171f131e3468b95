Feature: Parts of prompts that crash engines

	Scenario Outline: A prompt part that crashes engines reaches few of them, and other prompts are served
		Given a relay of <vms> VMs with <engines> engines that crash on "<deadly>" and are back after 2000 ms
		When prompts "<prompt>" arrive at "<calls>" <often> times a second, and 30 a second with other parts than "<deadly>", for 10 s
		Then at most 5 engines crash
		And none of these prompts reaches an engine later than 1000 ms after the fifth crash
		And at least 95 % of the other prompts from second 3 on are served
		And at most 1 in 1000 of the other prompts is refused for what it shares

		Examples:
			| vms | engines | prompt                    | deadly | often | calls                                       |
			| 2   | 8       | de, system, tools         | de     | 2     | POST /stream/resumed/                       |
			| 3   | 10      | system, de, tools         | de     | 4     | POST /stream/resumed/                       |
			| 3   | 10      | system, tools, de         | de     | 2     | POST /stream/resumed/, POST /stream/once/   |
			| 5   | 6       | system, de, tools         | de     | 1     | POST /stream/resumed/, POST /stream/once/, POST /plain/ |
			| 8   | 12      | de, system, tools         | de     | 8     | POST /once/                                 |
			| 8   | 12      | system, de, tools         | de     | 10    | POST /stream/resumed/                       |

	Scenario: Two prompt parts that crash engines are told apart from the others
		Given a relay of 3 VMs with 12 engines that crash on "de, ad" and are back after 2000 ms
		When prompts "system, de, tools" arrive at "POST /stream/resumed/" 4 times a second, and 30 a second with other parts than "de, ad", for 10 s
		Then at most 10 engines crash
		And at least 95 % of the other prompts from second 3 on are served
		And at most 1 in 1000 of the other prompts is refused for what it shares

	Scenario: A VM that is killed and started again keeps a prompt part from engines
		Given a relay of 3 VMs with 8 engines that crash on "de" and are back after 2000 ms
		When prompts "system, de, tools" arrive at "POST /stream/resumed/" 3 times a second, and 30 a second with other parts than "de", for 10 s, and a VM is killed and started again
		Then at most 5 engines crash
		And none of these prompts reaches an engine later than 1000 ms after the fifth crash
		And at most 1 in 1000 of the other prompts is refused for what it shares

	Scenario: A prompt part that crashes engines is found through VMs that forward requests
		Given a relay of 3 VMs whose links can fail, with engines "a, b, c, d, e, f, g, h, i, j"
		And these engines crash on "de" and are back after 2000 ms
		And each VM serves "GET /plain/" requests
		When the links of 2 VMs to all engines "hang"
		And 3000 ms pass in quiet
		And prompts "system, de, tools" arrive at "POST /stream/resumed/" 4 times a second, and 20 a second with other parts than "de", for 8 s
		Then at most 5 engines crash
		And none of these prompts reaches an engine later than 1000 ms after the fifth crash
		And at most 1 in 1000 of the other prompts is refused for what it shares

	Scenario: An operator lifts the quarantine of a prompt part
		Given a relay of 2 VMs with 8 engines that crash on "de" and are back after 1000 ms
		When prompts "system, de, tools" arrive at "POST /stream/resumed/" 4 times a second, and 20 a second with other parts than "de", for 4 s
		And the engines no longer crash on "de"
		Then a prompt with parts "system, de" is refused by each VM
		When the store holds the quarantine of part "de" as lifted and the VMs reload their settings
		Then a prompt with parts "system, de" is served by each VM

	Scenario: Crashes without a cause keep no prompt part from engines
		Given a relay of 3 VMs with 8 engines that crash on "nothing" and are back after 2000 ms
		When 30 prompts "system, de, tools" a second arrive at "POST /stream/resumed/" for 7 s, and 6 engines crash one after the other
		Then at least 95 % of the other prompts from second 0 on are served
		And at most 0 in 1000 of the other prompts is refused for what it shares

	Scenario Outline: A prompt part that crashes engines is found by fleets of any size
		Given <vms> VMs and <engines> engines that crash on one prompt part, which arrives <often> times a second
		And <others> other requests a second
		And <lost> percent of the gossip messages are lost
		When the fleet is simulated <runs> times for 10 s
		Then at most 5 engines crash in each run
		And no such request reaches an engine later than 1000 ms after the fifth crash
		And at most 1 in 1000 other requests is refused
		And at least 95 percent of the other requests are served, of those on a calm day

		Examples:
			| vms | engines | often | others | lost | runs |
			| 2   | 8       | 1     | 34     | 20   | 8    |
			| 2   | 8       | 10    | 34     | 0    | 8    |
			| 9   | 8       | 4     | 34     | 20   | 8    |
			| 9   | 8       | 10    | 34     | 20   | 8    |
			| 30  | 20      | 4     | 70     | 20   | 4    |
			| 30  | 20      | 10    | 70     | 20   | 4    |
			| 81  | 60      | 10    | 190    | 20   | 1    |

	Scenario Outline: Sound prompts are not refused while most engines are down
		Given 9 VMs and <engines> engines that crash on one prompt part, which arrives <often> times a second
		And <others> other requests a second
		And 20 percent of the gossip messages are lost
		When the fleet is simulated 8 times for 10 s
		Then at most 1 in 1000 other requests is refused

		Examples:
			| engines | often | others |
			| 6       | 10    | 60     |
			| 4       | 10    | 34     |

	Scenario: Parts that come together keep only requests with all of them from engines
		Given 3 VMs that exchange gossip
		When 3 engines crash 200 ms after each other while they answer prompts with parts "de, cc, aa"
		And a request with part "aa" is served that began after the last crash
		Then no VM quarantines any part after 1000 ms
		And all VMs quarantine requests with parts "aa, cc, de", but not with parts "aa, cc"

	Scenario: A prompt part is cleared only by requests that engines began to answer after the crash
		Given 3 VMs that exchange gossip
		When 3 engines crash 200 ms after each other while they answer prompts with parts "de, aa"
		And a request with part "aa" is served that began after the last crash
		Then all VMs quarantine only part "de" after 1000 ms
		When a request with part "de" is served that began before the first crash
		Then all VMs quarantine only part "de" after 500 ms
		When a request with part "de" is served that began after the last crash
		Then no VM quarantines any part after 500 ms

	Scenario: Engines that crash at once quarantine no prompt part
		Given 3 VMs that exchange gossip
		When 6 engines crash 5 ms after each other while they answer prompts with parts "aa"
		Then no VM quarantines any part after 2000 ms

	Scenario: A content that crashes engines is found though its prompt parts were at more crashes
		Given 3 VMs that exchange gossip
		When one content with part "aa" crashes 2 engines 200 ms after each other, and others with part "bb" are served
		And 3 engines crash 200 ms after each other while they answer prompts with parts "aa"
		Then all VMs quarantine the content

	Scenario: A content that crashes engines does not quarantine its prompt parts
		Given 3 VMs that exchange gossip
		When one content with part "aa" crashes 3 engines 200 ms after each other, and others with part "aa" are served
		Then no VM quarantines any part after 1500 ms
