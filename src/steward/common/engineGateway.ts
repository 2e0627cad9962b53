/**
 * What the steward asks of engines and of the platform, whatever carries it.
 */

import type { Result } from 'neverthrow';
import type { EngineOrder, EngineState } from './engineOrder';

/** Requests of an engine as it reports them. */
export interface EngineLoad {
	readonly running: number;
	readonly waiting: number;
	readonly slots: number;
}

/** An engine's answer to an order. */
export enum OrderAnswer {
	Accepted = 'accepted',
	/** It has obeyed a newer fencing number. */
	Superseded = 'superseded',
	Refused = 'refused',
}

/** Why an engine or the platform gave no usable answer. */
export interface GatewayFault {
	/** For people: connect refused, silent, malformed. */
	readonly detail: string;
}

/** Speaks to engines; each call is bounded in time. */
export interface IEngineGateway {
	readState(url: string): Promise<Result<EngineState, GatewayFault>>;
	readLoad(url: string): Promise<Result<EngineLoad, GatewayFault>>;
	/** A fault means that the order may or may not have arrived. */
	sendOrder(url: string, order: EngineOrder): Promise<Result<OrderAnswer, GatewayFault>>;
}

/** Gives the newest version of the manifest that the platform serves at this moment. */
export interface IVersionSource {
	readNewestVersion(): Promise<Result<number, GatewayFault>>;
}
