/**
 * The admin ports of the stand-ins, as the demo uses them.
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

/** Publishes documents, switches faults and reads counters. */
export class StandinAdmin {
	constructor(private readonly caller: ICaller) {}

	async putManifest(admin: string, document: string): Promise<void> {
		await this.send('PUT', `${admin}/v1/platform/manifest`, document);
	}

	async putInstances(admin: string, document: string): Promise<void> {
		await this.send('PUT', `${admin}/v1/platform/instances`, document);
	}

	/** Merges a patch into the fault switches of one stand-in. */
	async setFaults(admin: string, name: string, patch: object): Promise<void> {
		await this.send('POST', `${admin}/v1/${name}/faults`, JSON.stringify(patch));
	}

	/** One counter of one stand-in. */
	async readCounter(admin: string, name: string, counter: string): Promise<number> {
		const answer = await this.send('GET', `${admin}/v1/${name}/counters`);
		return Number(countersSchema.parse(parseJson(answer))[counter]);
	}

	/** How often the plain services behind an admin port ran a call. */
	async countRuns(admin: string, callId: string): Promise<number> {
		const answer = await this.send('GET', `${admin}/v1/runs`);
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
