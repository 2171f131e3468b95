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
