/**
 * The metrics of an entry, as typed methods over a prom-client registry. Gauges are set by the entry as its
 * state changes or on its ticks; counting costs a map look-up and no allocation of lines.
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
	ManifestResult,
	PlatformReadKind,
	SentAwayResult,
	TicketResult,
} from '../common/entryMetricLabels';
import { noError, otherService, ReadResult } from '../common/entryMetricLabels';
import { StateGauge } from './stateGauge';

const millisecondsPerSecond = 1_000;

/** The one owner of the peers' counts. */
const allPeers = 'peers';

/** What stands in the labels of `anvilroad_info`. */
export interface ProcessAbout {
	readonly version: string;
	readonly instance: string;
	readonly region: string;
	readonly zone: string;
}

/** Numbers of one service at one moment. */
export interface ServiceGauges {
	readonly queued: number;
	readonly running: number;
	readonly waitMs: number;
	/** Targets of the service by state of their chart. */
	readonly targetsByState: ReadonlyMap<string, number>;
}

/**
 * How often the lateness of the event loop is sampled, in milliseconds. The library's usual 10 ms wakes an idle
 * process a hundred times a second, where its own timers wake it some ten times.
 */
const loopSampleMs = 1_000;

/** Counts what happens at one entry; `render` gives the page for `/metrics`. */
export class EntryMetrics implements IMetricsPage {
	readonly registry = new Registry();
	readonly contentType = this.registry.contentType;

	private readonly requests = this.createCounter(counterDefinitions.requests);
	private readonly attempts = this.createCounter(counterDefinitions.attempts);
	private readonly sentAway = this.createCounter(counterDefinitions.sentAway);
	private readonly linkBytes = this.createCounter(counterDefinitions.linkBytes);
	private readonly tickets = this.createCounter(counterDefinitions.tickets);
	private readonly manifests = this.createCounter(counterDefinitions.manifests);
	private readonly platformReads = this.createCounter(counterDefinitions.platformReads);
	private readonly peerExchanges = this.createCounter(counterDefinitions.peerExchanges);
	private readonly peerBytes = this.createCounter(counterDefinitions.peerBytes);
	private readonly auditRecords = this.createCounter(counterDefinitions.auditRecords);

	private readonly info = this.createGauge(gaugeDefinitions.info);
	private readonly ready = this.createGauge(gaugeDefinitions.ready);
	private readonly leaving = this.createGauge(gaugeDefinitions.leaving);
	private readonly queued = this.createGauge(gaugeDefinitions.queued);
	private readonly running = this.createGauge(gaugeDefinitions.running);
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
	private readonly heldBytes = this.createGauge(gaugeDefinitions.heldBytes);
	private readonly ticketsOutstanding = this.createGauge(gaugeDefinitions.ticketsOutstanding);

	private readonly firstByte = this.createHistogram(histogramDefinitions.firstByte);
	private readonly answer = this.createHistogram(histogramDefinitions.answer);
	private readonly gap = this.createHistogram(histogramDefinitions.gap);
	private readonly startWait = this.createHistogram(histogramDefinitions.startWait);
	private readonly queueWait = this.createHistogram(histogramDefinitions.queueWait);

	private services: ReadonlySet<string> = new Set();

	constructor(about: ProcessAbout) {
		this.info.set({ ...about }, 1);
		// A gauge without labels begins at 0, which would read as a certificate that expired in 1970.
		this.certificateExpiry.remove({});
		collectDefaultMetrics({ register: this.registry, eventLoopMonitoringPrecision: loopSampleMs });
	}

	/**
	 * Says which services have labels of their own. A caller can name any service in its path; without this
	 * list each name that somebody guesses would make series that live as long as the process.
	 */
	setServices(names: Iterable<string>): void {
		const next = new Set(names);
		for (const gone of this.services) {
			if (!next.has(gone)) {
				this.removeGauges(gone);
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
			service: this.findLabel(service),
			class: requestClass,
			outcome,
			error: error ?? noError,
		});
	}

	noteFirstByte(service: string, requestClass: RequestClass, tookMs: number): void {
		const labels = { service: this.findLabel(service), class: requestClass };
		this.firstByte.observe(labels, tookMs / millisecondsPerSecond);
	}

	noteAnswer(service: string, requestClass: RequestClass, tookMs: number): void {
		const labels = { service: this.findLabel(service), class: requestClass };
		this.answer.observe(labels, tookMs / millisecondsPerSecond);
	}

	noteGap(service: string, requestClass: RequestClass, gapMs: number): void {
		const labels = { service: this.findLabel(service), class: requestClass };
		this.gap.observe(labels, gapMs / millisecondsPerSecond);
	}

	noteStartWait(waitedMs: number): void {
		this.startWait.observe({}, waitedMs / millisecondsPerSecond);
	}

	noteQueueWait(service: string, requestClass: RequestClass, waitedMs: number): void {
		const labels = { service: this.findLabel(service), class: requestClass };
		this.queueWait.observe(labels, waitedMs / millisecondsPerSecond);
	}

	/** @param end How it ended, from the scheduler's closed list of ends. */
	noteAttempt(service: string, end: string): void {
		this.attempts.inc({ service: this.findLabel(service), end });
	}

	noteSentAway(service: string, region: string, result: SentAwayResult): void {
		this.sentAway.inc({ service: this.findLabel(service), region, result });
	}

	noteLinkBytes(region: string, direction: ByteDirection, bytes: number): void {
		this.linkBytes.inc({ region, direction }, bytes);
	}

	/** @param count Tickets of a lookup are issued several at a time. */
	noteTicket(result: TicketResult, count = 1): void {
		this.tickets.inc({ result }, count);
	}

	noteManifest(result: ManifestResult): void {
		this.manifests.inc({ result });
	}

	notePlatformRead(kind: PlatformReadKind, result: ReadResult): void {
		this.platformReads.inc({ kind, result });
		if (result === ReadResult.Fresh || result === ReadResult.Unchanged) {
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
		this.predictedWait.set({ service }, gauges.waitMs / millisecondsPerSecond);
		this.targets.set(service, gauges.targetsByState);
	}

	/** Replaces the counts of peers by state; a state that is left out has none. */
	setPeers(countsByState: ReadonlyMap<string, number>): void {
		this.peers.set(allPeers, countsByState);
	}

	/** The page for `/metrics`, in the registry's content type. */
	render(): Promise<string> {
		return this.registry.metrics();
	}

	private findLabel(service: string): string {
		return this.services.has(service) ? service : otherService;
	}

	private removeGauges(service: string): void {
		this.queued.remove({ service });
		this.running.remove({ service });
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
