/**
 * The HTTP server of a simulated plain service. It runs calls and counts the runs of each call ID, echoes request
 * bodies, and streams pseudo-random bytes that clients can verify.
 */

import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Result } from 'neverthrow';
import { Disposable } from '../../base/common/lifecycle';
import type { ITimerService } from '../../base/common/timerService';
import { headers } from '../../core/headers/common/headers';
import type { FaultPatchIssue } from '../common/faultSwitches';
import { FaultSwitches } from '../common/faultSwitches';
import type { PlainFaults } from '../common/plainFaults';
import { createPlainFaults, plainFaultsSchema } from '../common/plainFaults';
import type { CallRecord } from '../common/runLog';
import { RunLog } from '../common/runLog';
import { SeededBytes } from '../common/seededBytes';
import type { PlainSection } from '../common/standinSettings';
import { WorkQueue } from '../common/workQueue';
import { getHeader, getWholeNumber, parseRequestUrl, readBody, sendJson, waitForDrain } from './httpExchange';
import type { IStandin } from './standin';
import type { PlainCounters } from './standinCounters';
import { TargetHost } from './targetHost';

/** The call ID that the caller chose. The gateway forwards it like any other header. */
const callIdHeader = 'x-call-id';
const missingCallId = 'nameless';

const chunkBytes = 16_384;
const defaultSeed = 1;

/** Simulates one plain service. */
export class PlainServer extends Disposable implements IStandin {
	private readonly faults: FaultSwitches<PlainFaults>;
	private readonly host: TargetHost;
	private readonly work: WorkQueue;
	private readonly runLog = new RunLog();

	constructor(
		readonly name: string,
		section: PlainSection,
		timers: ITimerService,
	) {
		super();
		this.faults = new FaultSwitches<PlainFaults>(
			plainFaultsSchema.partial(),
			createPlainFaults(section.work_ms),
		);
		this.host = this.register(
			new TargetHost(
				section.listen,
				section.slots,
				timers,
				() => this.faults.get(),
				(request, response) => this.handleRequest(request, response),
			),
		);
		this.work = this.register(
			new WorkQueue(section.slots, timers, load => {
				this.host.setLoad(load);
			}),
		);
	}

	open(): Promise<string> {
		return this.host.open();
	}

	applyFaults(patch: unknown): Result<PlainFaults, readonly FaultPatchIssue[]> {
		return this.faults.apply(patch);
	}

	getCounters(): PlainCounters {
		return {
			...this.host.counters,
			...this.work.getLoad(),
			runs: this.runLog.countRuns(),
			repeatedCalls: this.runLog.countRepeatedCalls(),
		};
	}

	/** Lists all calls with their runs. */
	listRuns(): CallRecord[] {
		return this.runLog.list();
	}

	private async handleRequest(request: IncomingMessage, response: ServerResponse): Promise<void> {
		const url = parseRequestUrl(request);
		if (request.method === 'GET' && url.pathname === '/v1/load') {
			sendJson(response, 200, this.host.getReportedLoad());
			return;
		}
		this.host.counters.requests++;
		if (this.host.refuseByFault(response)) {
			return;
		}
		if (url.pathname === '/echo') {
			await this.host.streamEcho(request, response);
			return;
		}
		if (request.method === 'GET' && url.pathname === '/bytes') {
			await this.streamBytes(url, request, response);
			return;
		}
		if (request.method === 'POST' && url.pathname.startsWith('/run/')) {
			await this.handleRun(request, response);
			return;
		}
		sendJson(response, 404, { error: `unknown path: ${url.pathname}` });
	}

	private async streamBytes(url: URL, request: IncomingMessage, response: ServerResponse): Promise<void> {
		const source = new SeededBytes(getWholeNumber(url, 'seed', defaultSeed));
		const answer = this.host.createAnswer(request, response);
		let remainingBytes = getWholeNumber(url, 'n', 0);
		answer.sendHead(200, { 'content-type': 'application/octet-stream', 'content-length': remainingBytes });
		while (remainingBytes > 0 && !response.destroyed) {
			const chunk = source.take(Math.min(remainingBytes, chunkBytes));
			remainingBytes -= chunk.length;
			if (!answer.write(chunk)) {
				await waitForDrain(response);
			}
		}
		answer.end();
	}

	private async handleRun(request: IncomingMessage, response: ServerResponse): Promise<void> {
		const body = await readBody(request);
		const callId = getHeader(request, callIdHeader) ?? missingCallId;
		const { workMs, slowFactor } = this.faults.get();
		const answer = this.host.createAnswer(request, response);
		let runs = 0;
		const handle = this.work.submit(
			workMs * slowFactor,
			() => {
				runs = this.runLog.record(callId, {
					attempt: getHeader(request, headers.attempt),
					requestId: getHeader(request, headers.requestId),
				});
				if (this.host.handleCrashMarker(body)) {
					this.work.dispose();
				}
			},
			() => {
				answer.sendJson(200, { callId, runs });
			},
		);
		this.host.watchClient(response, () => {
			handle.dispose();
		});
	}
}
