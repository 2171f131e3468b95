/**
 * Exit codes of the command-line tool, documented in docs/OPERATORS.md. Codes from 64 follow sysexits.h.
 * @module
 */
export const exitCodes = {
	ok: 0,
	/** The command is valid but failed. */
	failed: 1,
	/** Some VMs did not respond. */
	partial: 2,
	/** The command line is invalid. */
	usage: 64,
	/** A file cannot be read. */
	unreadable: 66,
	/** A file is invalid. */
	configuration: 78,
} as const;
