/**
 * The HTTP server of a simulated model engine. It runs inference requests in a continuous batch, streams answers token
 * by token, and accepts orders that change its model.
 */

import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Result } from 'neverthrow';
import { Disposable } from '../../base/common/lifecycle';
import type { IRandom } from '../../base/common/random';
import type { ITimerService } from '../../base/common/timerService';
import { headers } from '../../core/headers/common/headers';
import { RequestClass, requestClasses } from '../../core/requests/common/requestClass';
import { CacheEventKind, CacheEventLog } from '../common/cacheEvents';
import { ContinuousBatch } from '../common/continuousBatch';
import type { EngineFaults } from '../common/engineFaults';
import { engineFaultsSchema, noEngineFaults } from '../common/engineFaults';
import type { FaultPatchIssue } from '../common/faultSwitches';
import { FaultSwitches } from '../common/faultSwitches';
import type { InferenceRequest } from '../common/inferenceRequest';
import { countPromptTokens, inferenceRequestSchema } from '../common/inferenceRequest';
import { PrefixCache } from '../common/prefixCache';
import type { EngineSection } from '../common/standinSettings';
import { EngineControl } from './engineControl';
import { getHeader, getWholeNumber, parseJson, parseRequestUrl, readBody, sendJson } from './httpExchange';
import { InferenceAnswer } from './inferenceAnswer';
import type { IStandin } from './standin';
import type { EngineCounters } from './standinCounters';
import { TargetHost } from './targetHost';

const tokensPerPrefillUnit = 1_000;

/** Simulates one model engine. */
export class EngineServer extends Disposable implements IStandin {
	private readonly faults = new FaultSwitches<EngineFaults>(engineFaultsSchema.partial(), noEngineFaults);
	private readonly host: TargetHost;
	private readonly batch: ContinuousBatch;
	private readonly cache: PrefixCache;
	private readonly events: CacheEventLog;
	private readonly control: EngineControl;

	constructor(
		readonly name: string,
		private readonly section: EngineSection,
		private readonly timers: ITimerService,
		random: IRandom,
	) {
		super();
		this.host = this.register(
			new TargetHost(
				section.listen,
				section.slots,
				timers,
				() => this.faults.get(),
				(request, response) => this.handleRequest(request, response),
			),
		);
		this.batch = this.register(this.createBatch());
		this.events = new CacheEventLog(random);
		this.cache = new PrefixCache(
			section.cache_tokens,
			prefixKey => {
				this.recordCacheEvent(CacheEventKind.Stored, prefixKey);
			},
			prefixKey => {
				this.recordCacheEvent(CacheEventKind.Evicted, prefixKey);
			},
		);
		this.control = this.register(new EngineControl(section, timers, () => this.faults.get()));
	}

	open(): Promise<string> {
		return this.host.open();
	}

	applyFaults(patch: unknown): Result<EngineFaults, readonly FaultPatchIssue[]> {
		const applied = this.faults.apply(patch);
		this.batch.setSlowFactor(this.faults.get().slowFactor);
		return applied;
	}

	getCounters(): EngineCounters {
		return {
			...this.host.counters,
			...this.batch.getLoad(),
			cache: this.cache.getCounters(),
			orders: this.control.getCounters(),
		};
	}

	private createBatch(): ContinuousBatch {
		const { slots, token_ms, token_ms_per_running, prefill_ms_per_1000_tokens } = this.section;
		const timing = {
			tokenMs: token_ms,
			tokenMsPerRunning: token_ms_per_running,
			prefillMsPerToken: prefill_ms_per_1000_tokens / tokensPerPrefillUnit,
		};
		return new ContinuousBatch(slots, timing, this.timers, load => {
			this.host.setLoad(load);
		});
	}

	private recordCacheEvent(kind: CacheEventKind, prefixKey: string): void {
		const { cacheEventLossPercent } = this.faults.get();
		this.events.record(kind, prefixKey, this.timers.getNow(), cacheEventLossPercent);
	}

	private async handleRequest(request: IncomingMessage, response: ServerResponse): Promise<void> {
		const url = parseRequestUrl(request);
		switch (`${request.method ?? ''} ${url.pathname}`) {
			case 'GET /v1/load':
				sendJson(response, 200, this.host.getReportedLoad());
				return;
			case 'GET /v1/cache-events':
				this.sendCacheEvents(url, response);
				return;
			case 'GET /v1/state':
				this.control.sendState(response);
				return;
			case 'PUT /v1/orders':
				await this.control.handleOrder(request, response);
				return;
			default:
				await this.handleWork(url, request, response);
		}
	}

	private sendCacheEvents(url: URL, response: ServerResponse): void {
		const events = this.events.list(
			getWholeNumber(url, 'after', 0),
			this.timers.getNow(),
			this.faults.get().cacheEventLagMs,
		);
		sendJson(response, 200, { events });
	}

	private async handleWork(url: URL, request: IncomingMessage, response: ServerResponse): Promise<void> {
		if (request.method !== 'POST') {
			if (this.host.refuseByFault(response)) {
				return;
			}
			sendJson(response, 404, { error: `unknown path: ${url.pathname}` });
			return;
		}
		this.host.counters.requests++;
		if (this.host.refuseByFault(response) || this.refuseIfUnavailable(response)) {
			return;
		}
		if (url.pathname === '/echo') {
			await this.host.streamEcho(request, response);
			return;
		}
		await this.handleInference(request, response);
	}

	private refuseIfUnavailable(response: ServerResponse): boolean {
		if (this.control.getState().loading) {
			this.host.refuseUnrun(response, 'the engine is loading weights');
			return true;
		}
		if (this.batch.getLoad().waiting >= this.section.max_waiting) {
			this.host.refuseUnrun(response, 'too many requests are waiting');
			return true;
		}
		return false;
	}

	private async handleInference(request: IncomingMessage, response: ServerResponse): Promise<void> {
		const body = await readBody(request);
		if (this.host.handleCrashMarker(body)) {
			this.batch.dispose();
			this.cache.clear();
			return;
		}
		const parsed = inferenceRequestSchema.safeParse(parseJson(body));
		if (!parsed.success) {
			sendJson(response, 400, { error: parsed.error.issues.map(issue => issue.message).join('; ') });
			return;
		}
		this.runInference(parsed.data, request, response);
	}

	private runInference(
		inference: InferenceRequest,
		request: IncomingMessage,
		response: ServerResponse,
	): void {
		const prefixKey = getHeader(request, headers.prefixKey);
		const answer = new InferenceAnswer(
			this.host.createAnswer(request, response),
			response,
			inference,
			countPromptTokens(inference),
		);
		const sequence = this.batch.submit({
			requestClass: getRequestClass(request),
			maxTokens: inference.maxTokens,
			handleStart: () => answer.start(this.recordPrefixUse(inference, prefixKey)),
			handleToken: index => {
				answer.addToken(index, isPaused => {
					sequence.setPaused(isPaused);
				});
			},
			handleEnd: () => {
				answer.finish();
			},
		});
		this.host.watchClient(response, () => {
			sequence.dispose();
		});
	}

	private recordPrefixUse(inference: InferenceRequest, prefixKey: string | undefined): number {
		if (prefixKey === undefined) {
			return 0;
		}
		return this.cache.recordUse(prefixKey, inference.prefixTokens ?? countPromptTokens(inference));
	}
}

function getRequestClass(request: IncomingMessage): RequestClass {
	const text = getHeader(request, headers.priority);
	return requestClasses.find(requestClass => requestClass === text) ?? RequestClass.Normal;
}
