Feature: Decisions while engines are silent

	Scenario Outline: A new request is not refused while all engines are silent as sound ones may be
		Given 3 model engines, of which 3 are silent for <ms> ms
		Then a new request is <new>
		And a replacement is refused

		Examples:
			| ms   | new     |
			| 700  | placed  |
			| 1750 | placed  |
			| 1900 | refused |

	Scenario: Engines that are available come before silent ones
		Given 3 model engines, of which 2 are silent for 700 ms
		Then a new request is placed at an engine that is not silent
		And a replacement is placed at an engine that is not silent

	Scenario: No request is placed at a silent engine that failed before
		Given 1 model engines, of which 1 are silent for 700 ms
		And each engine failed 3 requests in a row
		Then a new request is refused

	Scenario Outline: Only engines known to have failed use up the retries of a content
		Given a content whose attempts ended at <silent> silent engines and broke off at <broken> others
		And <crashed> of the silent engines are known to have crashed
		Then it <may> be retried

		Examples:
			| silent | broken | crashed | may     |
			| 3      | 0      | 0       | may     |
			| 3      | 1      | 0       | may     |
			| 3      | 1      | 1       | may not |
			| 3      | 2      | 0       | may not |

	Scenario Outline: A fleet does not hold silence against sound engines
		Given <vms> simulated VMs that open <rate> streams a second each at <engines> engines
		When <silent> simulated engines fall silent for <ms> ms, <times> times
		Then no stream was refused
		And no VM avoided an engine by what the fleet knew
		And each VM may use each engine again

		Examples:
			| vms | rate | engines | silent | ms   | times |
			| 2   | 10   | 6       | 6      | 1500 | 2     |
			| 2   | 10   | 6       | 3      | 1500 | 2     |
			| 9   | 10   | 6       | 6      | 1500 | 2     |
			| 9   | 4    | 20      | 10     | 1000 | 2     |
			| 62  | 4    | 20      | 20     | 1300 | 1     |
			| 62  | 4    | 20      | 5      | 1500 | 2     |
			| 300 | 4    | 60      | 60     | 1500 | 1     |
			| 300 | 4    | 60      | 30     | 1500 | 2     |

	Scenario Outline: A fleet soon avoids an engine that stays silent
		Given <vms> simulated VMs that open <rate> streams a second each at <engines> engines
		When 1 simulated engines fall silent for 60000 ms, 1 times
		Then at most <most> attempts are sent to it in <s> s, and each VM avoids it at some time by what the fleet knows

		Examples:
			| vms | rate | engines | s | most |
			| 2   | 10   | 6       | 6 | 12   |
			| 9   | 10   | 6       | 6 | 40   |

	Scenario Outline: A large fleet soon avoids an engine that stays silent
		Given <vms> simulated VMs that open <rate> streams a second each at <engines> engines
		When 1 simulated engines fall silent for 60000 ms, 1 times
		Then at most <most> attempts are sent to it in <s> s, and each VM avoids it at some time by what the fleet knows

		Examples:
			| vms | rate | engines | s | most |
			| 62  | 4    | 20      | 6 | 50   |
			| 300 | 4    | 60      | 6 | 70   |

	Scenario: Silence closes an engine until it is heard, failures until it answers
		Given an engine whose last 3 requests ended in its silence
		Then it is not available
		When a byte arrives from it
		Then it is available
		When it fails 3 requests
		And a byte arrives from it
		Then it is not available

	Scenario Outline: A fleet's trial of an engine goes by the share of failures
		Given 2 VMs that avoid an engine after failures
		When one of them gets <failed> failures beside <served> answers in its trial
		Then the engine is <state>

		Examples:
			| failed | served | state    |
			| 1      | 26     | used     |
			| 0      | 1      | used     |
			| 1      | 0      | avoided  |
			| 1      | 1      | avoided  |

	Scenario Outline: The fleet hears of a silence that is longer than those of sound engines
		Given an engine at which requests end unanswered "<times>" ms after the first was sent, each after 700 ms of silence
		Then the fleet hears of <failed> failures

		Examples:
			| times                    | failed |
			| 700                      | 0      |
			| 700, 800, 1400           | 0      |
			| 700, 1400, 2100          | 3      |
			| 700, 2900                | 0      |
			| 700, a byte, 2000        | 0      |
			| 700, 3800                | 0      |

	Scenario Outline: A silence does not make engines look slow
		Given an engine that answers 100 prompts in 50 ms
		When it is silent for <ms> ms and then answers 100 prompts that waited
		Then 5000 queued tokens are expected to take less than <most> ms

		Examples:
			| ms   | most |
			| 1000 | 120  |
			| 1500 | 120  |
