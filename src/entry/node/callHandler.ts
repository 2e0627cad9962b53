/**
 * Handles the calls that reach one entry from callers and from peers: decides by the current manifest which calls
 * are accepted, and answers lookups.
 */

import { create } from '@bufbuild/protobuf';
import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';
import type { IRandom } from '../../base/common/random';
import type { ITimerService } from '../../base/common/timerService';
import type { AdvertisedEntry, RequestError } from '../../core/errors/common/errorKinds';
import { createRequestError, ErrorKind } from '../../core/errors/common/errorKinds';
import type {
	BootId,
	InstanceId,
	RegionName,
	RequestId,
	ServiceName,
	ZoneName,
} from '../../core/ids/common/ids';
import type { ManifestService } from '../../core/manifest/common/manifest';
import { RepeatRule, ResidencyRule } from '../../core/manifest/common/manifest';
import type { EntrySettings } from '../../core/settings/common/entrySettings';
import type { Readiness } from '../../core/status/common/entryStatus';
import { TicketResult } from '../../core/telemetry/common/entryMetricLabels';
import type { EntryMetrics } from '../../core/telemetry/node/entryMetrics';
import type {
	EntryView,
	FetchManifestResponse,
	ShareCrashesRequest,
} from '../../gen/anvilroad/peer/v1/peer_pb';
import { FetchManifestResponseSchema } from '../../gen/anvilroad/peer/v1/peer_pb';
import type { IAnswerSink } from '../common/callers/answerSink';
import type { CallHead, ForwardedKey, RawHead } from '../common/callers/callHead';
import type { ICallerDialect } from '../common/dialect/callerDialect';
import type { KeyOwner } from '../common/keys/callerKey';
import { resolveForwardedKey } from '../common/keys/callerKey';
import type { LookupAnswer, LookupRequest } from '../common/callers/lookup';
import { noKeyCheck } from '../common/keys/keyConfirmation';
import type { IKeyCheck } from '../common/keys/keyConfirmation';
import type { CallPlan, ForwardOrigin } from '../common/placement/callPlan';
import { checkForwardedCall, planCall } from '../common/placement/callPlan';
import { isFinishable } from '../common/leaving/finishable';
import type { OriginGroup } from '../common/streams/originLog';
import type { StreamKey } from '../common/streams/streamOrigins';
import { listUsableEntries, rankEntries } from '../common/lookup/rankEntries';
import type { ICallHandler } from './callers/callerServer';
import type { IEntrySources } from './environment/entryEnvironment';
import type { EntryFleet, LookupCandidate } from './fleet/entryFleet';
import type { OwnView } from './fleet/ownView';
import type { LimitGate } from './limits/limitGate';
import type { IndexedManifest, ManifestKeeper } from './manifest/manifestKeeper';
import type { IPeerHandler } from './peers/peerServer';
import type { ActiveRuns, RefusedCall } from './requests/activeRuns';
import type { AcceptedCall } from './requests/requestRun';
import type { RequestRouter } from './requests/requestRouter';
import type { SleepDetector } from './sleepDetector';
import type { ReportedOrigin } from './streams/originPeers';
import type { StreamOriginKeeper } from './streams/streamOriginKeeper';
import type { TicketService } from './tickets/ticketService';

/** Identity of this entry: its instance settings and the id of the current process start. */
export type OwnInstance = EntrySettings['instance'] & { readonly boot: BootId };

/** The subsets of other components that the handler uses. */
export type CallHandlerManifests = Pick<ManifestKeeper, 'getCurrent'>;
export type CallHandlerFleet = Pick<EntryFleet, 'listCandidates' | 'receiveViews' | 'receiveCrashReport'>;
export type CallHandlerOwnView = Pick<
	OwnView,
	'describeCandidate' | 'isLeaving' | 'isRefusing' | 'getLatestEndMs'
>;
export type CallHandlerRuns = Pick<ActiveRuns, 'has'>;
export type CallHandlerStreams = Pick<StreamOriginKeeper, 'receive' | 'answer'>;
export type CallHandlerLimits = Pick<LimitGate, 'admit'>;
export type CallHandlerSources = Pick<IEntrySources, 'listMissing'>;

/** Selects the entries that are named to a caller. */
interface EntryQuery {
	readonly region: RegionName;
	/** Excludes entries of other regions, because they may not serve the caller. */
	readonly isRegionRequired: boolean;
	readonly previous?: InstanceId | undefined;
	/** The service whose free capacity is used to rank the entries. */
	readonly service?: ServiceName;
}

const lookupValidMs = 5_000;
const counterRadix = 36;
const bootPrefixLength = 6;

/** Admits calls and answers lookups. */
export class CallHandler implements ICallHandler, IPeerHandler {
	private requestCount = 0;

	constructor(
		private readonly ownInstance: OwnInstance,
		private readonly dialect: ICallerDialect,
		private readonly manifests: CallHandlerManifests,
		private readonly fleet: CallHandlerFleet,
		private readonly ownView: CallHandlerOwnView,
		private readonly requestHold: Pick<SleepDetector, 'findHold'>,
		private readonly tickets: TicketService,
		private readonly router: RequestRouter,
		private readonly runs: CallHandlerRuns,
		private readonly sources: CallHandlerSources,
		private readonly streams: CallHandlerStreams,
		private readonly metrics: EntryMetrics,
		private readonly timers: ITimerService,
		private readonly random: IRandom,
		private readonly limits: CallHandlerLimits,
		private readonly keys: IKeyCheck = noKeyCheck,
	) {}

	findHold(): Promise<void> | undefined {
		return this.requestHold.findHold();
	}

	/**
	 * Two active requests must not share an id. Their records would be mixed up, and a target's answer could be
	 * returned to the wrong caller.
	 */
	createRequestId(requestedId?: string): RequestId {
		if (requestedId !== undefined && !this.runs.has(requestedId as RequestId)) {
			return requestedId as RequestId;
		}
		this.requestCount++;
		const boot = this.ownInstance.boot.slice(0, bootPrefixLength);
		return `${this.ownInstance.id}-${boot}-${this.requestCount.toString(counterRadix)}` as RequestId;
	}

	readHead(raw: RawHead): Result<CallHead, RequestError> {
		const manifest = this.manifests.getCurrent();
		return this.dialect.readHead(raw, manifest?.index);
	}

	resolveForwardedKey(key: ForwardedKey): Result<KeyOwner | undefined, RequestError> {
		const index = this.manifests.getCurrent()?.index;
		return index === undefined ? ok(undefined) : resolveForwardedKey(key.digest, index, false);
	}

	/**
	 * True from the moment a stop is requested. Persistent connections are then closed after their next answer,
	 * even before lookups name other entries.
	 */
	isLeaving(): boolean {
		return this.ownView.isLeaving() || Number.isFinite(this.ownView.getLatestEndMs());
	}

	getReadiness(): Readiness {
		const reasons = [
			...(this.manifests.getCurrent() === undefined ? ['no manifest yet'] : []),
			...this.sources.listMissing(),
			...(this.isLeaving() ? ['leaving'] : []),
		];
		return { isReady: reasons.length === 0, reasons };
	}

	plan(head: CallHead): Result<CallPlan, RequestError> {
		const manifest = this.manifests.getCurrent();
		if (manifest === undefined) {
			return err(
				createRequestError(ErrorKind.NoManifest, 'no manifest received from the platform or a peer'),
			);
		}
		const keyRefusal = this.keys.findRefusal(head);
		if (keyRefusal !== undefined) {
			return err(keyRefusal);
		}
		if (this.ownView.isRefusing() && !this.isOwnTicket(head)) {
			return err(this.createLeavingError());
		}
		return planCall(manifest.index, this.ownInstance.region, head)
			.mapErr(error => this.withHomeEntries(error, head, manifest))
			.andThen(plan => this.checkLeaving(plan, head));
	}

	admit(head: CallHead, plan: CallPlan): Result<CallPlan, RequestError> {
		return this.limits.admit(head, plan);
	}

	planForwarded(head: CallHead, from: ForwardOrigin): Result<CallPlan, RequestError> {
		return this.plan(head).andThen(plan => checkForwardedCall(plan, from, this.ownInstance.region));
	}

	refuseTicketedCall(ticket: string, error: RequestError): RequestError {
		const refusal = this.tickets.refuseUnreadCall(ticket, error, this.timers.getNow());
		this.metrics.noteTicket(refusal.result);
		return refusal.error;
	}

	recordRefused(call: RefusedCall, error: RequestError): void {
		this.router.recordRefused(call, error);
	}

	accept(call: AcceptedCall, sink: IAnswerSink): void {
		this.router.dispatch(call, sink, this.ownView.isRefusing() ? this.createLeavingError() : undefined);
	}

	findEntries(lookup: LookupRequest): Result<LookupAnswer, RequestError> {
		const manifest = this.manifests.getCurrent();
		if (manifest === undefined) {
			return err(
				createRequestError(ErrorKind.NoManifest, 'no manifest received from the platform or a peer'),
			);
		}
		const service = manifest.index.findService(lookup.service);
		if (service === undefined) {
			return err(createRequestError(ErrorKind.UnknownService, `no service ${lookup.service}`));
		}
		const requiredRegion = findRequiredRegion(service, lookup, manifest);
		const region = requiredRegion ?? this.ownInstance.region;
		const isTicketed = hasAtMostOnceCalls(service) && region === this.ownInstance.region && !this.isLeaving();
		const tickets = isTicketed ? this.tickets.issueBatch(lookup.tickets, this.timers.getNow()) : [];
		if (tickets.length > 0) {
			this.metrics.noteTicket(TicketResult.Issued, tickets.length);
		}
		const entries = this.listRankedEntries({
			region,
			isRegionRequired: requiredRegion !== undefined,
			previous: lookup.previous,
			service: service.name,
		});
		return ok({ service: lookup.service, validForMs: lookupValidMs, entries, tickets });
	}

	/** Lists the entries that a caller in a region and zone may use for a host, when the caller selects one itself. */
	listEntriesFor(host: string, region: RegionName, zone: ZoneName): readonly LookupCandidate[] {
		const homes = this.manifests.getCurrent()?.index.countHomes(host) ?? new Map();
		const candidates = [this.ownView.describeCandidate(undefined), ...this.fleet.listCandidates(undefined)];
		return listUsableEntries(candidates, { region, zone, homes });
	}

	exchangeViews(views: readonly EntryView[]): EntryView[] {
		return this.fleet.receiveViews(views);
	}

	receiveCrashReport(report: ShareCrashesRequest): void {
		this.fleet.receiveCrashReport(report);
	}

	keepStreamOrigins(from: InstanceId, groups: readonly OriginGroup[]): void {
		this.streams.receive(from, groups);
	}

	findStreamOrigin(key: StreamKey): ReportedOrigin | undefined {
		return this.streams.answer(key);
	}

	describeManifest(): FetchManifestResponse {
		const accepted = this.manifests.getCurrent()?.accepted;
		return create(FetchManifestResponseSchema, {
			version: BigInt(accepted?.version ?? 0),
			digest: accepted?.digest ?? '',
			document: Buffer.from(accepted?.document ?? '', 'utf8'),
		});
	}

	/**
	 * Only the entry that issued a ticket has a record of whether its call has run, and a leaving entry stops soon.
	 * If it refused calls by their head alone, the resend of a payment that has run would get the outcome `unknown`
	 * from this entry and from every other one. Calls with a ticket of this entry are therefore passed on to the
	 * ledger, which joins or replays calls it has seen and refuses unused tickets.
	 */
	private isOwnTicket({ ticket }: CallHead): boolean {
		return ticket !== undefined && this.tickets.isOwn(ticket);
	}

	/**
	 * Refuses a routed call that cannot finish before this entry stops. While new work is refused, also refuses calls
	 * that may be repeated: a ticket does not protect those, so carrying one is no reason to accept them.
	 */
	private checkLeaving(plan: CallPlan, { routed }: CallHead): Result<CallPlan, RequestError> {
		const timeLeftMs = this.ownView.getLatestEndMs() - this.timers.getNow();
		const isTooLong = !isFinishable(routed?.prompt, timeLeftMs) && routed !== undefined;
		const isRefused = isTooLong || (this.ownView.isRefusing() && plan.repeat !== RepeatRule.AtMostOnce);
		return isRefused ? err(this.createLeavingError()) : ok(plan);
	}

	private createLeavingError(): RequestError {
		const entries = this.listRankedEntries({ region: this.ownInstance.region, isRegionRequired: false });
		return createRequestError(ErrorKind.Leaving, this.ownInstance.id, { entries });
	}

	private withHomeEntries(error: RequestError, head: CallHead, manifest: IndexedManifest): RequestError {
		const home = manifest.index.findOrganisation(head.organisation)?.home;
		if (error.kind !== ErrorKind.WrongRegion || home === undefined) {
			return error;
		}
		return { ...error, entries: this.listRankedEntries({ region: home, isRegionRequired: true }) };
	}

	private listRankedEntries(query: EntryQuery): readonly AdvertisedEntry[] {
		const { region, isRegionRequired: isBound, previous, service } = query;
		const zone = region === this.ownInstance.region ? this.ownInstance.zone : undefined;
		const candidates = [
			this.ownView.describeCandidate(service),
			...this.fleet.listCandidates(service),
		].filter(candidate => !isBound || candidate.region === region);
		const byInstance = new Map(candidates.map(candidate => [candidate.instance, candidate]));
		const ranked = rankEntries({ region, zone, previous }, candidates, this.random);
		return ranked.flatMap(instance => {
			const candidate = byInstance.get(instance);
			return candidate === undefined ? [] : [createNamedEntry(candidate)];
		});
	}
}

function createNamedEntry({ instance, region, zone, callerUrl }: LookupCandidate): AdvertisedEntry {
	return { instance, region, zone, url: callerUrl };
}

function hasAtMostOnceCalls(service: ManifestService): boolean {
	return [service, ...service.rules].some(rule => rule.repeat === RepeatRule.AtMostOnce);
}

function findRequiredRegion(
	service: ManifestService,
	lookup: LookupRequest,
	manifest: IndexedManifest,
): RegionName | undefined {
	const isHomeRequired = [service, ...service.rules].some(rule => rule.residency === ResidencyRule.Home);
	if (!isHomeRequired || lookup.organisation === undefined) {
		return undefined;
	}
	return manifest.index.findOrganisation(lookup.organisation)?.home;
}
