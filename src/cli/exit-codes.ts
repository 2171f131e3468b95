/**
 * Exit codes of the command-line tool; documented in docs/OPERATORS.md.
 * @module
 */
export const exitCodes = {
	ok: 0,
	/** The command was understood and failed. */
	failed: 1,
	/** Some VMs did not answer. */
	partial: 2,
	/** The command line cannot be read. */
	usage: 64,
	/** A file cannot be read. */
	unreadable: 66,
	/** A file has findings. */
	configuration: 78,
} as const;
