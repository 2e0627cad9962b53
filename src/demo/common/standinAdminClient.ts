/**
 * A client for the admin ports of the stand-ins, the test doubles of the platform, the targets and the links.
 */

import { z } from 'zod';
import type { CallAnswer, ICaller } from './caller';
import { getText, parseJson } from './caller';

const runsSchema = z.object({
	services: z.array(
		z.object({ calls: z.array(z.object({ callId: z.string(), runs: z.array(z.unknown()) })) }),
	),
});
const countersSchema = z.record(z.string(), z.unknown());

/** Publishes the documents of the platform, configures faults and reads counters. */
export class StandinAdminClient {
	constructor(private readonly caller: ICaller) {}

	async putManifest(adminUrl: string, document: string): Promise<void> {
		await this.send('PUT', `${adminUrl}/v1/platform/manifest`, document);
	}

	async putInstances(adminUrl: string, document: string): Promise<void> {
		await this.send('PUT', `${adminUrl}/v1/platform/instances`, document);
	}

	/** Merges a patch into the fault settings of one stand-in. */
	async setFaults(adminUrl: string, name: string, patch: object): Promise<void> {
		await this.send('POST', `${adminUrl}/v1/${name}/faults`, JSON.stringify(patch));
	}

	/** Reads one counter of one stand-in. */
	async readCounter(adminUrl: string, name: string, counter: string): Promise<number> {
		const answer = await this.send('GET', `${adminUrl}/v1/${name}/counters`);
		return Number(countersSchema.parse(parseJson(answer))[counter]);
	}

	/** Counts how often the plain services behind an admin port ran a call. */
	async countRuns(adminUrl: string, callId: string): Promise<number> {
		const answer = await this.send('GET', `${adminUrl}/v1/runs`);
		return runsSchema
			.parse(parseJson(answer))
			.services.flatMap(service => service.calls)
			.filter(call => call.callId === callId)
			.reduce((sum, call) => sum + call.runs.length, 0);
	}

	private async send(method: string, url: string, body?: string): Promise<CallAnswer> {
		const answer = await this.caller.send({ method, url, ...(body === undefined ? {} : { body }) });
		if (answer.status !== 200) {
			throw new Error(`${method} ${url}: ${answer.status} ${getText(answer)}${answer.fault}`);
		}
		return answer;
	}
}
