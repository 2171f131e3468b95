/**
 * What VMs tell each other of the work that customers ask for.
 * @module
 */

/** 32 bits that stand for a customer of a service in messages. */
export type CustomerRef = number;
/** 32 bits that stand for a service in messages. */
export type ServiceRef = number;

/** Work that a customer asked for lately, let in or not, in engines kept busy by it. */
export interface CustomerWork {
	customer: CustomerRef;
	asked: number;
	/** Part of it that is let in whatever the load. */
	urgent: number;
}

/** Work that was asked of one service lately. */
export interface ServiceWork {
	service: ServiceRef;
	/** That of customers who are not named, in engines kept busy. */
	rest: number;
	/** Those that asked for most. */
	customers: CustomerWork[];
}

/** How much a customer asks for beside its share of a service, in engines kept busy. */
export interface CustomerStanding {
	asked: number;
	/** What each customer may have; without bound where all get what they ask for. */
	share: number;
	/** Part of its refusable work that lies within the share. */
	within: number;
}
