/**
 * The metrics of an entry, as typed methods over a prom-client registry. The entry sets gauges when its state
 * changes or on a timer. Incrementing a counter costs a map lookup and does not build text output.
 */

import { Counter, Gauge, Histogram, Registry, collectDefaultMetrics } from 'prom-client';
import type { AuditKind } from '../../audit/common/auditTrail';
import type { ErrorKind } from '../../errors/common/errorKinds';
import type { IMetricsPage } from '../../operators/common/operatorsSource';
import type { Outcome } from '../../errors/common/outcome';
import type { RequestClass } from '../../requests/common/requestClass';
import type { HistogramDefinition, MetricDefinition } from '../common/entryMetricDefinitions';
import { counterDefinitions, gaugeDefinitions, histogramDefinitions } from '../common/entryMetricDefinitions';
import type {
	ByteDirection,
	ExchangeResult,
	LimitMessageKind,
	LimitMessageResult,
	LimitResult,
	ManifestResult,
	PlatformReadKind,
	SentAwayResult,
	TicketResult,
} from '../common/entryMetricLabels';
import { noErrorLabel, otherServiceLabel, ReadResult } from '../common/entryMetricLabels';
import { StateGauge } from './stateGauge';

const millisecondsPerSecond = 1_000;

/** The owner of all peer counts in the state gauge, which expects an owner for each count. */
const peersOwner = 'peers';

/** The labels of `anvilroad_info`. */
export interface ProcessInfo {
	readonly version: string;
	readonly instance: string;
	readonly region: string;
	readonly zone: string;
}

/** The current gauge values of one service. */
export interface ServiceGauges {
	readonly queued: number;
	readonly running: number;
	readonly waitMs: number;
	/** Time for which a request has waited without an attempt in progress, at the most. */
	readonly longestWaitMs: number;
	/** Whether no target is reached. */
	readonly isCut: boolean;
	/** Number of targets of the service by the state of their state machine. */
	readonly targetsByState: ReadonlyMap<string, number>;
}

/**
 * The sampling interval of the event loop delay, in milliseconds. The library's default of 10 ms wakes an idle
 * process a hundred times a second, while the timers of the entry wake it about ten times a second.
 */
const eventLoopSampleMs = 1_000;

/** Results of reads after which the state of the platform is known. */
const goodReads: ReadonlySet<ReadResult> = new Set([
	ReadResult.Fresh,
	ReadResult.Unchanged,
	ReadResult.Relayed,
]);

/** Records the metrics of one entry; `render` returns the page for `/metrics`. */
export class EntryMetrics implements IMetricsPage {
	readonly registry = new Registry();
	readonly contentType = this.registry.contentType;

	private readonly requests = this.createCounter(counterDefinitions.requests);
	private readonly overdue = this.createCounter(counterDefinitions.overdue);
	private readonly attempts = this.createCounter(counterDefinitions.attempts);
	private readonly answerEnds = this.createCounter(counterDefinitions.answerEnds);
	private readonly unreadableLoads = this.createCounter(counterDefinitions.unreadableLoads);
	private readonly sentAway = this.createCounter(counterDefinitions.sentAway);
	private readonly linkBytes = this.createCounter(counterDefinitions.linkBytes);
	private readonly tickets = this.createCounter(counterDefinitions.tickets);
	private readonly manifests = this.createCounter(counterDefinitions.manifests);
	private readonly platformReads = this.createCounter(counterDefinitions.platformReads);
	private readonly peerExchanges = this.createCounter(counterDefinitions.peerExchanges);
	private readonly peerBytes = this.createCounter(counterDefinitions.peerBytes);
	private readonly limitRequests = this.createCounter(counterDefinitions.limitRequests);
	private readonly limitMessages = this.createCounter(counterDefinitions.limitMessages);
	private readonly auditRecords = this.createCounter(counterDefinitions.auditRecords);

	private readonly info = this.createGauge(gaugeDefinitions.info);
	private readonly ready = this.createGauge(gaugeDefinitions.ready);
	private readonly leaving = this.createGauge(gaugeDefinitions.leaving);
	private readonly queued = this.createGauge(gaugeDefinitions.queued);
	private readonly running = this.createGauge(gaugeDefinitions.running);
	private readonly longestWait = this.createGauge(gaugeDefinitions.longestWait);
	private readonly pathsCut = this.createGauge(gaugeDefinitions.pathsCut);
	private readonly predictedWait = this.createGauge(gaugeDefinitions.predictedWait);
	private readonly targets = new StateGauge(this.createGauge(gaugeDefinitions.targets), (service, state) => ({
		service,
		state,
	}));
	private readonly peers = new StateGauge(this.createGauge(gaugeDefinitions.peers), (_, state) => ({
		state,
	}));
	private readonly manifestVersion = this.createGauge(gaugeDefinitions.manifestVersion);
	private readonly platformLastRead = this.createGauge(gaugeDefinitions.platformLastRead);
	private readonly certificateExpiry = this.createGauge(gaugeDefinitions.certificateExpiry);
	private readonly keyKnowledgeAge = this.createGauge(gaugeDefinitions.keyKnowledgeAge);
	private readonly heldBytes = this.createGauge(gaugeDefinitions.heldBytes);
	private readonly limitedOrganisations = this.createGauge(gaugeDefinitions.limitedOrganisations);
	private readonly limitCoordinator = this.createGauge(gaugeDefinitions.limitCoordinator);
	private readonly limitAnswerAge = this.createGauge(gaugeDefinitions.limitAnswerAge);
	private readonly ticketsOutstanding = this.createGauge(gaugeDefinitions.ticketsOutstanding);

	private readonly firstByte = this.createHistogram(histogramDefinitions.firstByte);
	private readonly answer = this.createHistogram(histogramDefinitions.answer);
	private readonly gap = this.createHistogram(histogramDefinitions.gap);
	private readonly startWait = this.createHistogram(histogramDefinitions.startWait);
	private readonly eventLoopLate = this.createHistogram(histogramDefinitions.eventLoopLate);
	private readonly queueWait = this.createHistogram(histogramDefinitions.queueWait);

	private services: ReadonlySet<string> = new Set();

	constructor(processInfo: ProcessInfo) {
		this.info.set({ ...processInfo }, 1);
		// A gauge without labels starts at 0, which would mean a certificate that expired in 1970.
		this.certificateExpiry.remove({});
		this.keyKnowledgeAge.remove({});
		this.limitAnswerAge.remove({});
		collectDefaultMetrics({ register: this.registry, eventLoopMonitoringPrecision: eventLoopSampleMs });
	}

	/**
	 * Sets the services that get their own label value. A caller can use any service name in the path. Without
	 * this list, each guessed name would create time series that exist until the process ends.
	 */
	setServices(names: Iterable<string>): void {
		const next = new Set(names);
		for (const previous of this.services) {
			if (!next.has(previous)) {
				this.removeGauges(previous);
			}
		}
		this.services = next;
	}

	noteRequest(
		service: string,
		requestClass: RequestClass,
		outcome: Outcome,
		error: ErrorKind | undefined,
	): void {
		this.requests.inc({
			service: this.findServiceLabel(service),
			class: requestClass,
			outcome,
			error: error ?? noErrorLabel,
		});
	}

	/** @param state The state of the request, one of the closed list of its state machine. */
	noteOverdue(service: string, state: string): void {
		this.overdue.inc({ service: this.findServiceLabel(service), state });
	}

	noteFirstByte(service: string, requestClass: RequestClass, tookMs: number): void {
		const labels = { service: this.findServiceLabel(service), class: requestClass };
		this.firstByte.observe(labels, tookMs / millisecondsPerSecond);
	}

	noteAnswer(service: string, requestClass: RequestClass, tookMs: number): void {
		const labels = { service: this.findServiceLabel(service), class: requestClass };
		this.answer.observe(labels, tookMs / millisecondsPerSecond);
	}

	noteGap(service: string, requestClass: RequestClass, gapMs: number): void {
		const labels = { service: this.findServiceLabel(service), class: requestClass };
		this.gap.observe(labels, gapMs / millisecondsPerSecond);
	}

	noteStartWait(waitedMs: number): void {
		this.startWait.observe({}, waitedMs / millisecondsPerSecond);
	}

	noteEventLoopLate(lateMs: number): void {
		this.eventLoopLate.observe({}, lateMs / millisecondsPerSecond);
	}

	noteQueueWait(service: string, requestClass: RequestClass, waitedMs: number): void {
		const labels = { service: this.findServiceLabel(service), class: requestClass };
		this.queueWait.observe(labels, waitedMs / millisecondsPerSecond);
	}

	/** @param end How the attempt ended, one of the scheduler's closed list of values. */
	noteAttempt(service: string, end: string): void {
		this.attempts.inc({ service: this.findServiceLabel(service), end });
	}

	noteAnswerEnd(service: string, end: string): void {
		this.answerEnds.inc({ service: this.findServiceLabel(service), end });
	}

	noteUnreadableLoad(service: string): void {
		this.unreadableLoads.inc({ service: this.findServiceLabel(service) });
	}

	noteSentAway(service: string, region: string, result: SentAwayResult): void {
		this.sentAway.inc({ service: this.findServiceLabel(service), region, result });
	}

	noteLinkBytes(region: string, direction: ByteDirection, bytes: number): void {
		this.linkBytes.inc({ region, direction }, bytes);
	}

	/** @param count More than 1 when a lookup issues several tickets. */
	noteTicket(result: TicketResult, count = 1): void {
		this.tickets.inc({ result }, count);
	}

	noteManifest(result: ManifestResult): void {
		this.manifests.inc({ result });
	}

	notePlatformRead(kind: PlatformReadKind, result: ReadResult): void {
		this.platformReads.inc({ kind, result });
		if (goodReads.has(result)) {
			this.platformLastRead.setToCurrentTime({ kind });
		}
	}

	notePeerExchange(result: ExchangeResult): void {
		this.peerExchanges.inc({ result });
	}

	notePeerBytes(direction: ByteDirection, bytes: number): void {
		this.peerBytes.inc({ direction }, bytes);
	}

	noteAuditRecord(kind: AuditKind): void {
		this.auditRecords.inc({ kind });
	}

	/** Records what became of a request of an organisation with a limit. */
	noteLimit(result: LimitResult): void {
		this.limitRequests.inc({ result });
	}

	noteLimitMessage(kind: LimitMessageKind, result: LimitMessageResult): void {
		this.limitMessages.inc({ kind, result });
	}

	/** @param answerAgeMs Undefined if the coordinator has not answered. */
	setLimits(limited: number, isCoordinator: boolean, answerAgeMs: number | undefined): void {
		this.limitedOrganisations.set(limited);
		this.limitCoordinator.set(isCoordinator ? 1 : 0);
		if (answerAgeMs === undefined) {
			this.limitAnswerAge.remove({});
		} else {
			this.limitAnswerAge.set(answerAgeMs / millisecondsPerSecond);
		}
	}

	setReady(isReady: boolean): void {
		this.ready.set(isReady ? 1 : 0);
	}

	setLeaving(isLeaving: boolean): void {
		this.leaving.set(isLeaving ? 1 : 0);
	}

	setManifestVersion(version: number): void {
		this.manifestVersion.set(version);
	}

	setCertificateExpiry(validTo: Date): void {
		this.certificateExpiry.set(validTo.getTime() / millisecondsPerSecond);
	}

	setKeyKnowledgeAge(ageMs: number): void {
		this.keyKnowledgeAge.set(ageMs / millisecondsPerSecond);
	}

	setHeldBytes(bytes: number): void {
		this.heldBytes.set(bytes);
	}

	setTicketsOutstanding(count: number): void {
		this.ticketsOutstanding.set(count);
	}

	setService(service: string, gauges: ServiceGauges): void {
		if (!this.services.has(service)) {
			return;
		}
		this.queued.set({ service }, gauges.queued);
		this.running.set({ service }, gauges.running);
		this.longestWait.set({ service }, gauges.longestWaitMs / millisecondsPerSecond);
		this.pathsCut.set({ service }, gauges.isCut ? 1 : 0);
		this.predictedWait.set({ service }, gauges.waitMs / millisecondsPerSecond);
		this.targets.set(service, gauges.targetsByState);
	}

	/** Replaces the number of peers by state; states that are not in the map are removed. */
	setPeers(countsByState: ReadonlyMap<string, number>): void {
		this.peers.set(peersOwner, countsByState);
	}

	/** Returns the page for `/metrics`, in the content type of the registry. */
	render(): Promise<string> {
		return this.registry.metrics();
	}

	private findServiceLabel(service: string): string {
		return this.services.has(service) ? service : otherServiceLabel;
	}

	private removeGauges(service: string): void {
		this.queued.remove({ service });
		this.running.remove({ service });
		this.longestWait.remove({ service });
		this.pathsCut.remove({ service });
		this.predictedWait.remove({ service });
		this.targets.remove(service);
	}

	private createCounter<TLabel extends string>(definition: MetricDefinition<TLabel>): Counter<TLabel> {
		return new Counter({ ...definition, registers: [this.registry] });
	}

	private createGauge<TLabel extends string>(definition: MetricDefinition<TLabel>): Gauge<TLabel> {
		return new Gauge({ ...definition, registers: [this.registry] });
	}

	private createHistogram<TLabel extends string>(definition: HistogramDefinition<TLabel>): Histogram<TLabel> {
		return new Histogram({ ...definition, buckets: [...definition.buckets], registers: [this.registry] });
	}
}
