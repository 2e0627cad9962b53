/**
 * Engines over HTTP. Every call is bounded in time and size: an engine that has hung or writes without end
 * costs one slot for some seconds, and is then counted as unreachable.
 */

import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';
import { Agent, request } from 'undici';
import { z } from 'zod';
import type { IDisposable } from '../../base/common/lifecycle';
import type { EngineLoad, GatewayFault, IEngineGateway } from '../common/engineGateway';
import { OrderAnswer } from '../common/engineGateway';
import type { EngineOrder, EngineState } from '../common/engineOrder';
import { readText } from './readText';

const connectMs = 2_000;
const silenceMs = 3_000;
const orderSilenceMs = 10_000;

const stateSchema = z.object({
	model: z.string().nullish(),
	version: z.string().nullish(),
	adapters: z.array(z.string()),
	role: z.string(),
	fence: z.number().int().min(0).nullish(),
	loading: z.boolean(),
});

const loadSchema = z.object({
	running: z.number().min(0),
	waiting: z.number().min(0),
	slots: z.number().min(0),
});

const conflictStatus = 409;

/** Speaks to engines as docs/PLATFORM.md tells. */
export class HttpEngineGateway implements IEngineGateway, IDisposable {
	private readonly agent = new Agent({
		connect: { timeout: connectMs },
		headersTimeout: silenceMs,
		bodyTimeout: silenceMs,
	});

	dispose(): void {
		void this.agent.destroy();
	}

	async readState(url: string): Promise<Result<EngineState, GatewayFault>> {
		const read = await this.readDocument(`${url}/v1/state`, stateSchema);
		return read.map(({ model, version, adapters, role, fence, loading }) => ({
			model: model ?? undefined,
			version: version ?? undefined,
			adapters,
			role,
			fence: fence ?? undefined,
			isLoading: loading,
		}));
	}

	async readLoad(url: string): Promise<Result<EngineLoad, GatewayFault>> {
		return this.readDocument(`${url}/v1/load`, loadSchema);
	}

	async sendOrder(url: string, order: EngineOrder): Promise<Result<OrderAnswer, GatewayFault>> {
		try {
			const answer = await request(`${url}/v1/orders`, {
				dispatcher: this.agent,
				method: 'PUT',
				headers: { 'content-type': 'application/json' },
				body: JSON.stringify(order),
				headersTimeout: orderSilenceMs,
			});
			await readText(answer.body);
			return ok(decodeAnswer(answer.statusCode));
		} catch (error) {
			return err(createFault(error));
		}
	}

	private async readDocument<TDocument>(
		url: string,
		schema: z.ZodType<TDocument>,
	): Promise<Result<TDocument, GatewayFault>> {
		try {
			const answer = await request(url, { dispatcher: this.agent });
			const text = await readText(answer.body);
			if (answer.statusCode !== 200) {
				return err({ detail: `status ${answer.statusCode}` });
			}
			return ok(schema.parse(JSON.parse(text)));
		} catch (error) {
			return err(createFault(error));
		}
	}
}

function decodeAnswer(status: number): OrderAnswer {
	if (status === conflictStatus) {
		return OrderAnswer.Superseded;
	}
	return status === 200 ? OrderAnswer.Accepted : OrderAnswer.Refused;
}

function createFault(error: unknown): GatewayFault {
	return { detail: error instanceof Error ? error.message : String(error) };
}
