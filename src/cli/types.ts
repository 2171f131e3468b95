/** Options of every command. */
export interface GlobalArgs {
	/** Control address of a daemon, `IP:port`. */
	daemon: string;
	/** Operator token. */
	token: string;
}
