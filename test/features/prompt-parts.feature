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
			| 5   | 6       | system, de, tools         | de     | 1     | POST /stream/resumed/, POST /stream/once/, GET /plain/ |
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

	Scenario: Crashes without a cause keep no prompt part from engines
		Given a relay of 3 VMs with 8 engines that crash on "nothing" and are back after 2000 ms
		When 30 prompts "system, de, tools" a second arrive at "POST /stream/resumed/" for 7 s, and 6 engines crash one after the other
		Then at least 95 % of the other prompts from second 0 on are served
		And at most 0 in 1000 of the other prompts is refused for what it shares
