/**
 * The HTTP behaviour that simulated model engines and plain services share: refusing requests, returning the attempt
 * ID, reporting load, echoing bodies and simulating a crash.
 */

import type { IncomingMessage, ServerResponse } from 'node:http';
import { Disposable } from '../../base/common/lifecycle';
import type { ITimerService } from '../../base/common/timerService';
import { headers } from '../../core/headers/common/headers';
import type { ListenAddress } from '../../core/settings/common/settingsTypes';
import type { TargetLoad } from '../common/continuousBatch';
import { LaggedValue } from '../common/laggedValue';
import type { TargetFaults } from '../common/targetFaults';
import { crashMarker } from '../common/targetFaults';
import { getHeader, sendJson, waitForDrain } from './httpExchange';
import type { RequestHandler } from './httpListener';
import { HttpListener } from './httpListener';
import { TargetAnswer } from './targetAnswer';

const percent = 100;
const maxLoadLagMs = 60_000;
const reopenRetryMs = 200;

/** The counters of all kinds of targets. */
export interface TargetCounters {
	requests: number;
	refusedUnrun: number;
	/** Requests whose client disconnected before the complete answer was sent. */
	cancelled: number;
	crashes: number;
	echoes: number;
}

/** Owns the listening port of a target and implements the shared behaviour. */
export class TargetHost extends Disposable {
	readonly counters: TargetCounters = { requests: 0, refusedUnrun: 0, cancelled: 0, crashes: 0, echoes: 0 };
	private readonly listener: HttpListener;
	private readonly load: LaggedValue<TargetLoad>;
	private isDown = false;

	constructor(
		listen: ListenAddress,
		slots: number,
		private readonly timers: ITimerService,
		private readonly getFaults: () => TargetFaults,
		handle: RequestHandler,
	) {
		super();
		this.load = new LaggedValue<TargetLoad>({ running: 0, waiting: 0, slots }, maxLoadLagMs);
		this.listener = this.register(new HttpListener(listen, handle));
	}

	open(): Promise<string> {
		return this.listener.open();
	}

	setLoad(load: TargetLoad): void {
		this.load.set(load, this.timers.getNow());
	}

	/** Returns the load as it was `loadLagMs` ago. */
	getReportedLoad(): TargetLoad {
		return this.load.get(this.timers.getNow(), this.getFaults().loadLagMs);
	}

	createAnswer(request: IncomingMessage, response: ServerResponse): TargetAnswer {
		return new TargetAnswer(
			response,
			getHeader(request, headers.attempt),
			() => this.formatLoad(),
			this.getFaults,
		);
	}

	private formatLoad(): string {
		const { running, waiting, slots } = this.getReportedLoad();
		const { reportSlowness, slowFactor } = this.getFaults();
		const counts = `${running}/${waiting}/${slots}`;
		return reportSlowness ? `${counts}/${Math.round(slowFactor * percent)}` : counts;
	}

	/** Refuses the request if the fault switches require it. Returns whether it was refused. */
	refuseByFault(response: ServerResponse): boolean {
		const faults = this.getFaults();
		if (!faults.leaving && !faults.refuseUnrun) {
			return false;
		}
		this.refuseUnrun(response, faults.leaving ? 'leaving' : 'refused');
		return true;
	}

	/** Refuses a request and guarantees with a header that it was not run. */
	refuseUnrun(response: ServerResponse, reason: string): void {
		this.counters.refusedUnrun++;
		const isLeaving = this.getFaults().leaving;
		sendJson(
			response,
			503,
			{ error: reason },
			{
				[headers.targetNotRun]: '1',
				...(isLeaving ? { [headers.targetLeaving]: '1', connection: 'close' } : {}),
			},
		);
	}

	/** Streams the request body back unchanged. */
	async streamEcho(request: IncomingMessage, response: ServerResponse): Promise<void> {
		this.counters.echoes++;
		const answer = this.createAnswer(request, response);
		const length = getHeader(request, 'content-length');
		answer.sendHead(200, {
			'content-type': getHeader(request, 'content-type') ?? 'application/octet-stream',
			...(length === undefined ? {} : { 'content-length': length }),
		});
		for await (const chunk of request as AsyncIterable<Buffer>) {
			if (!answer.write(chunk)) {
				await waitForDrain(response);
			}
		}
		answer.end();
	}

	/**
	 * Simulates a crash if the body contains the crash marker: resets all connections and closes the port for the
	 * configured time. Returns whether it crashed.
	 */
	handleCrashMarker(body: Buffer): boolean {
		if (!body.includes(crashMarker)) {
			return false;
		}
		this.counters.crashes++;
		this.isDown = true;
		this.listener.close();
		this.scheduleReopen(this.getFaults().crashDownMs);
		return true;
	}

	/** Calls `onDidDisconnect` if the client disconnects before the complete answer was written. */
	watchClient(response: ServerResponse, onDidDisconnect: () => void): void {
		response.on('close', () => {
			if (!response.writableEnded && !this.isDown) {
				this.counters.cancelled++;
				onDidDisconnect();
			}
		});
	}

	/** Reopens the port after a delay. If another process has taken the port, retries until it is free. */
	private scheduleReopen(delayMs: number): void {
		const timer = this.timers.schedule(delayMs, () => {
			this.isDown = false;
			this.listener.open().catch(() => {
				this.scheduleReopen(reopenRetryMs);
			});
		});
		this.register(timer);
	}
}
