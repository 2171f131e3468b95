/** Options that every command has. */
export interface GlobalArgs {
	/** Control address of a daemon, `IP:port`. */
	daemon: string;
	/** Operator's token. */
	token: string;
}
