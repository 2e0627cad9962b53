/**
 * The interface of a demo scenario (a caller, its request, the expected and the received result), and
 * helpers that the scenarios share.
 */

import type { IRandom } from '../../base/common/random';
import type { ITimerService } from '../../base/common/timerService';
import { headers } from '../../core/headers/common/headers';
import type { Manifest } from '../../core/manifest/common/manifest';
import type { RequestClass } from '../../core/requests/common/requestClass';
import type { CallRequest, ICaller } from './caller';
import type { DeploymentAddresses, EntryAddresses } from './deploymentAddresses';
import { listEntriesInRegion } from './deploymentAddresses';
import type { StandinAdminClient } from './standinAdminClient';

/** A running deployment and the clients that scenarios use to act on it. */
export interface DeploymentContext {
	readonly addresses: DeploymentAddresses;
	readonly manifest: Manifest;
	readonly caller: ICaller;
	readonly admin: StandinAdminClient;
	readonly timers: ITimerService;
	readonly random: IRandom;
	/** Publishes a manifest through the platform, like the deployment pipeline of the operators. */
	putManifest(manifest: Manifest): Promise<void>;
}

/** The result of a scenario. */
export interface Observation {
	/** Whether the received result is the expected one. */
	readonly isRight: boolean;
	/** The received result as text for the table. */
	readonly received: string;
}

/** One scenario, printed as one row of the demo's table. */
export interface IScenario {
	/** The kind of caller and its region. */
	readonly caller: string;
	readonly request: string;
	readonly expects: string;
	run(context: DeploymentContext): Promise<Observation>;
}

/** Path, headers and body of a call to a service. */
export interface ServiceCall {
	readonly service: string;
	readonly path: string;
	readonly organisation?: string;
	readonly method?: string;
	readonly requestClass?: RequestClass;
	readonly ticket?: string;
	readonly headers?: Readonly<Record<string, string>>;
	readonly body?: Uint8Array | string;
}

/** Builds the request for a call to a service through the entry at a base URL. */
export function createServiceCall(entryUrl: string, call: ServiceCall): CallRequest {
	return {
		method: call.method ?? (call.body === undefined ? 'GET' : 'POST'),
		url: `${entryUrl}/v1/services/${call.service}${call.path}`,
		headers: {
			...(call.organisation === undefined ? {} : { [headers.organisation]: call.organisation }),
			...(call.requestClass === undefined ? {} : { [headers.requestClass]: call.requestClass }),
			...(call.ticket === undefined ? {} : { [headers.ticket]: call.ticket }),
			...call.headers,
		},
		...(call.body === undefined ? {} : { body: call.body }),
	};
}

/** Returns the entry with a zero-based index among the entries of a region. */
export function getEntry(context: DeploymentContext, region: string, index = 0): EntryAddresses {
	const entry = listEntriesInRegion(context.addresses, region)[index];
	if (entry === undefined) {
		throw new Error(`region ${region} has no entry with index ${index}`);
	}
	return entry;
}
