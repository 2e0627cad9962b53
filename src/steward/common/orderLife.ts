/**
 * One engine's way to what the manifest wants of it, walked on charts/stewardOrder.json: read the engine's
 * state, and where it is behind wait for leave to load, have the version confirmed, read again, order, and
 * read back, until what the engine holds is what the order says.
 *
 * The steps between the confirmation and the order exist for engines that obey any order. Another steward
 * may have moved such an engine on while this one waited or slept, and an order from here would undo that
 * and give callers an older model. So the newest version and the engine's state are read just before the
 * order, and the order is dropped when they are older than a second. What remains possible is told in
 * docs/STEWARD.md: an order that is overtaken within that second, which its reader then puts right.
 */

import type { Result } from 'neverthrow';
import type { IRandom } from '../../base/common/random';
import { Chart, ChartWalk } from '../../base/common/chart';
import chartFile from '../../../charts/stewardOrder.json';
import type { GatewayFault } from './engineGateway';
import { OrderAnswer } from './engineGateway';
import type { EngineState, EngineTarget } from './engineOrder';
import { hasOtherWeights } from './engineOrder';
import { OrderBackoff } from './orderBackoff';
import { decideOrder, OrderDecision } from './orderDecision';
import type { LifeStep, LifeTimes } from './lifeStep';
import { getStepKind, hasLeaveIn } from './lifeStep';
import type { OrderObserver } from './orderEvents';
import { OrderEventKind } from './orderEvents';
import { OrderReporter } from './orderReporter';
import type { VersionWatermark } from './versionWatermark';

/** From the request for confirmation to the order; older confirmations are not acted upon. */
export const longestConfirmationMs = 1_000;

const chart = new Chart(chartFile);

/** The life of one engine's order. */
export class OrderLife {
	private readonly walk = new ChartWalk(chart);
	private readonly backoff: OrderBackoff;
	private round = 0;
	private dueMs = 0;
	private state: EngineState | undefined;
	private mustConfirm = false;
	/** The platform gave no version, and the engine held nothing that an old order could undo. */
	private reliesOnEmptiness = false;
	private confirmingSinceMs: number | undefined;
	private loadingSinceMs: number | undefined;
	private readonly reporter: OrderReporter;

	constructor(
		private target: EngineTarget,
		private readonly watermark: VersionWatermark,
		private readonly getTimes: () => LifeTimes,
		observe: OrderObserver,
		random: IRandom,
	) {
		this.backoff = new OrderBackoff(random);
		this.reporter = new OrderReporter(observe);
	}

	getTarget(): EngineTarget {
		return this.target;
	}

	/** Name of the chart's state. */
	getChartState(): string {
		return this.walk.getState();
	}

	getEngineState(): EngineState | undefined {
		return this.state;
	}

	isEmpty(): boolean {
		return this.state?.model === undefined;
	}

	/** Whether it waits for leave. */
	isQueued(): boolean {
		return this.walk.getState() === 'queued';
	}

	/** Whether the order will make it load; without that it needs no leave. */
	isLoadNeeded(): boolean {
		return this.state === undefined || hasOtherWeights(this.state, this.target.order);
	}

	/** Whether it loads or has leave to. */
	isLoading(): boolean {
		const hasLeave = hasLeaveIn(this.walk.getState()) && this.isLoadNeeded();
		return hasLeave || this.state?.isLoading === true;
	}

	/** Whether its load takes so long that others should not wait for it: one stuck engine would stop all. */
	isSlow(): boolean {
		return this.reporter.getLast() === OrderEventKind.Slow;
	}

	/** Takes what a newer manifest wants of the engine. */
	setTarget(target: EngineTarget): void {
		this.target = target;
		this.backoff.clear();
		this.loadingSinceMs = undefined;
		this.reporter.clearSlow();
		this.sendStale();
	}

	/** Believes nothing that was read before, as after a sleep; the version must be confirmed again too. */
	markStale(): void {
		this.mustConfirm = true;
		this.sendStale();
	}

	/** The manifest no longer wants anything of the engine. */
	remove(): void {
		this.round++;
		this.walk.accept('Removed');
	}

	getStep(nowMs: number): LifeStep {
		if (nowMs >= this.dueMs) {
			this.walk.accept('Due');
		}
		if (this.walk.getState() === 'confirming') {
			this.beginConfirmation(nowMs);
		}
		if (this.walk.getState() === 'ordering') {
			this.checkConfirmation(nowMs);
		}
		return { kind: getStepKind(this.walk.getState()), round: this.round };
	}

	noteGranted(): void {
		this.walk.accept('Granted');
	}

	/** Takes a read state, or the fault that there was instead. */
	noteState(round: number, read: Result<EngineState, GatewayFault>, nowMs: number): void {
		if (round !== this.round) {
			return;
		}
		if (read.isErr()) {
			// What was read before may be gone with the process that said it: a load that it had begun must not
			// keep other engines from theirs.
			this.state = undefined;
			this.applyFailure(OrderEventKind.Unreachable, read.error.detail, nowMs);
			return;
		}
		this.state = read.value;
		this.watermark.note(read.value.fence ?? 0);
		this.applyDecision(decideOrder(this.target, read.value, this.watermark.get()), nowMs);
	}

	/**
	 * Takes the newest version that the platform serves, or the fault that there was instead. A platform that
	 * serves an older one than the order's own has fallen back, and cannot say whether there is a newer one.
	 */
	noteNewest(round: number, read: Result<number, GatewayFault>, nowMs: number): void {
		if (round !== this.round) {
			return;
		}
		if (read.isOk() && read.value >= this.target.order.fence) {
			// A newer one shows when the state is read again, and then ends this round without an order.
			this.watermark.note(read.value);
			this.mustConfirm = false;
			this.walk.send('Confirmed');
			return;
		}
		this.reliesOnEmptiness = !this.target.checksFencing && this.isEmpty();
		if (this.target.checksFencing || this.reliesOnEmptiness) {
			this.walk.send('Confirmed');
			return;
		}
		const detail = read.match(
			version => `the platform has fallen back to version ${version}`,
			({ detail }) => detail,
		);
		this.applyFailure(OrderEventKind.Unconfirmed, detail, nowMs);
	}

	/** Takes the engine's answer to the order, or the fault that there was instead. */
	noteAnswer(round: number, answer: Result<OrderAnswer, GatewayFault>, nowMs: number): void {
		if (round !== this.round) {
			return;
		}
		if (answer.isErr()) {
			this.applyFailure(OrderEventKind.Unreachable, answer.error.detail, nowMs);
			return;
		}
		switch (answer.value) {
			case OrderAnswer.Accepted:
				this.reporter.emit(OrderEventKind.Accepted, 'by the engine', this.target, this.state);
				this.walk.send('Accepted');
				return;
			case OrderAnswer.Superseded:
				this.applySuperseded(nowMs);
				return;
			case OrderAnswer.Refused:
				this.applyFailure(OrderEventKind.Refused, 'by the engine', nowMs);
		}
	}

	private sendStale(): void {
		this.round++;
		this.confirmingSinceMs = undefined;
		this.walk.accept('Stale');
	}

	/** An engine that checks fencing numbers confirms by its own check, unless this process has slept. */
	private beginConfirmation(nowMs: number): void {
		this.confirmingSinceMs ??= nowMs;
		this.reliesOnEmptiness = false;
		if (this.target.checksFencing && !this.mustConfirm) {
			this.walk.send('Confirmed');
		}
	}

	/** Gives up an order that may have been overtaken since its version was confirmed. */
	private checkConfirmation(nowMs: number): void {
		if (this.watermark.get() > this.target.order.fence) {
			this.sendStale();
			return;
		}
		const sinceMs = nowMs - (this.confirmingSinceMs ?? Number.NEGATIVE_INFINITY);
		if (!this.target.checksFencing && sinceMs > longestConfirmationMs) {
			this.applyFailure(OrderEventKind.Unconfirmed, 'the confirmation came too late to act on', nowMs);
		}
	}

	private applyDecision(decision: OrderDecision, nowMs: number): void {
		if (decision !== OrderDecision.Loading) {
			this.loadingSinceMs = undefined;
		}
		switch (decision) {
			case OrderDecision.InForce:
				this.applyInForce(nowMs);
				return;
			case OrderDecision.Loading:
				this.applyLoading(nowMs);
				return;
			case OrderDecision.Superseded:
				this.applySuperseded(nowMs);
				return;
			case OrderDecision.Behind:
				this.applyBehind(nowMs);
		}
	}

	private applyInForce(nowMs: number): void {
		this.backoff.clear();
		this.finishRound('InForce', nowMs + this.getTimes().settledMs);
		this.reporter.emitInForce(this.target, this.state);
	}

	private applyLoading(nowMs: number): void {
		this.loadingSinceMs ??= nowMs;
		this.finishRound('Loading', nowMs + this.getTimes().pollMs);
		const loadingMs = Math.round(nowMs - this.loadingSinceMs);
		if (loadingMs > this.getTimes().slowLoadMs) {
			this.reporter.emitOnce(OrderEventKind.Slow, `loading for ${loadingMs} ms`, this.target, this.state);
		}
	}

	private applySuperseded(nowMs: number): void {
		this.finishRound('Superseded', nowMs + this.getTimes().pollMs);
		const detail = `version ${this.watermark.get()} was seen`;
		this.reporter.emitOnce(OrderEventKind.Superseded, detail, this.target, this.state);
	}

	private applyBehind(nowMs: number): void {
		const chartState = this.walk.getState();
		if (chartState === 'readingBack') {
			this.applyFailure(OrderEventKind.Ignored, 'accepted and not followed', nowMs, 'Behind');
			return;
		}
		// Another steward, which could confirm its version, has given the engine something to hold since.
		if (chartState === 'rereading' && this.reliesOnEmptiness && !this.isEmpty()) {
			this.sendStale();
			return;
		}
		this.dueMs = chartState === 'reading' ? nowMs + this.getTimes().pollMs : this.dueMs;
		this.walk.send('Behind');
	}

	private applyFailure(kind: OrderEventKind, detail: string, nowMs: number, chartEvent = 'Failed'): void {
		this.finishRound(chartEvent, nowMs + this.backoff.takeWait());
		this.reporter.emit(kind, detail, this.target, this.state);
	}

	private finishRound(chartEvent: string, dueMs: number): void {
		this.dueMs = dueMs;
		this.confirmingSinceMs = undefined;
		this.walk.send(chartEvent);
	}
}
