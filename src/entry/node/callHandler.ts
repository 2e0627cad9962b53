/**
 * Handles the calls of one entry: decides by the manifest in force which calls come in, from callers and from peers,
 * and answers lookups.
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
import type { EntryView, FetchManifestResponse } from '../../gen/anvilroad/peer/v1/peer_pb';
import { FetchManifestResponseSchema } from '../../gen/anvilroad/peer/v1/peer_pb';
import type { IAnswerSink } from '../common/callers/answerSink';
import type { CallHead, RawHead } from '../common/callers/callHead';
import type { ICallerDialect } from '../common/dialect/callerDialect';
import type { LookupAnswer, LookupQuestion } from '../common/callers/lookupAnswer';
import type { CallPlan, ForwardedFrom } from '../common/placement/callPlan';
import { checkForwarded, planCall } from '../common/placement/callPlan';
import { isFinishable } from '../common/leaving/finishable';
import { listUsable, rankEntries } from '../common/lookup/rankEntries';
import type { ICallHandler } from './callers/callerServer';
import type { IEntrySources } from './environment/entryEnvironment';
import type { EntryFleet, LookupCandidate } from './fleet/entryFleet';
import type { OwnView } from './fleet/ownView';
import type { IndexedManifest, ManifestKeeper } from './manifest/manifestKeeper';
import type { IPeerHandler } from './peers/peerServer';
import type { ActiveRuns, RefusedCall } from './requests/activeRuns';
import type { AcceptedCall } from './requests/requestRun';
import type { RequestRouter } from './requests/requestRouter';
import type { SleepDetector } from './sleepDetector';
import type { TicketService } from './tickets/ticketService';

/** Who this entry is. */
export type OwnInstance = EntrySettings['instance'] & { readonly boot: BootId };

/** What the handler asks of the parts around it. */
export type HandlerManifests = Pick<ManifestKeeper, 'getCurrent'>;
export type HandlerFleet = Pick<EntryFleet, 'listCandidates' | 'receiveViews'>;
export type HandlerOwnView = Pick<OwnView, 'describeCandidate' | 'isLeaving' | 'isRefusing' | 'getEndsMs'>;
export type HandlerRuns = Pick<ActiveRuns, 'has'>;
export type HandlerSources = Pick<IEntrySources, 'listMissing'>;

/** Which entries are to be named. */
interface EntryWish {
	readonly region: RegionName;
	/** Entries of other regions may not serve the caller, so none is named. */
	readonly isBound: boolean;
	readonly previous?: InstanceId | undefined;
	/** Chooses the room by which entries are weighed. */
	readonly service?: ServiceName;
}

const lookupValidMs = 5_000;
const numberBase = 36;
const bootCharacters = 6;

/** Lets calls in. */
export class CallHandler implements ICallHandler, IPeerHandler {
	private requests = 0;

	constructor(
		private readonly own: OwnInstance,
		private readonly dialect: ICallerDialect,
		private readonly manifests: HandlerManifests,
		private readonly fleet: HandlerFleet,
		private readonly ownView: HandlerOwnView,
		private readonly holds: Pick<SleepDetector, 'findHold'>,
		private readonly tickets: TicketService,
		private readonly router: RequestRouter,
		private readonly runs: HandlerRuns,
		private readonly sources: HandlerSources,
		private readonly metrics: EntryMetrics,
		private readonly timers: ITimerService,
		private readonly random: IRandom,
	) {}

	findHold(): Promise<void> | undefined {
		return this.holds.findHold();
	}

	/**
	 * Two requests under way must not share an id: what is noted of one would be taken for the other's, and a
	 * target's answer could be given to the wrong caller.
	 */
	createRequestId(wanted?: string): RequestId {
		if (wanted !== undefined && !this.runs.has(wanted as RequestId)) {
			return wanted as RequestId;
		}
		this.requests++;
		const boot = this.own.boot.slice(0, bootCharacters);
		return `${this.own.id}-${boot}-${this.requests.toString(numberBase)}` as RequestId;
	}

	readHead(raw: RawHead): Result<CallHead, RequestError> {
		const manifest = this.manifests.getCurrent();
		return this.dialect.readHead(raw, manifest?.index);
	}

	/** It is being stopped: kept connections end with their next answer, also before callers are led elsewhere. */
	isLeaving(): boolean {
		return this.ownView.isLeaving() || Number.isFinite(this.ownView.getEndsMs());
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
			return err(createRequestError(ErrorKind.NoManifest, 'neither the platform nor a peer has given one'));
		}
		if (this.ownView.isRefusing() && !this.isOwnTicket(head)) {
			return err(this.createLeavingFault());
		}
		return planCall(manifest.index, this.own.region, head)
			.mapErr(error => this.createHomeHint(error, head, manifest))
			.andThen(plan => this.checkLeaving(plan, head));
	}

	planForwarded(head: CallHead, from: ForwardedFrom): Result<CallPlan, RequestError> {
		return this.plan(head).andThen(plan => checkForwarded(plan, from, this.own.region));
	}

	refuseTicketed(ticket: string, error: RequestError): RequestError {
		const refusal = this.tickets.refuseUnread(ticket, error, this.timers.getNow());
		this.metrics.noteTicket(refusal.result);
		return refusal.error;
	}

	recordRefused(call: RefusedCall, error: RequestError): void {
		this.router.recordRefused(call, error);
	}

	accept(call: AcceptedCall, sink: IAnswerSink): void {
		this.router.take(call, sink, this.ownView.isRefusing() ? this.createLeavingFault() : undefined);
	}

	findEntries(question: LookupQuestion): Result<LookupAnswer, RequestError> {
		const manifest = this.manifests.getCurrent();
		if (manifest === undefined) {
			return err(createRequestError(ErrorKind.NoManifest, 'neither the platform nor a peer has given one'));
		}
		const service = manifest.index.findService(question.service);
		if (service === undefined) {
			return err(createRequestError(ErrorKind.UnknownService, `no service ${question.service}`));
		}
		const home = findHome(service, question, manifest);
		const region = home ?? this.own.region;
		const isTicketed = hasAtMostOnceCalls(service) && region === this.own.region && !this.isLeaving();
		const tickets = isTicketed ? this.tickets.issueBatch(question.tickets, this.timers.getNow()) : [];
		if (tickets.length > 0) {
			this.metrics.noteTicket(TicketResult.Issued, tickets.length);
		}
		const entries = this.listEntriesOf({
			region,
			isBound: home !== undefined,
			previous: question.previous,
			service: service.name,
		});
		return ok({ service: question.service, validForMs: lookupValidMs, entries, tickets });
	}

	/** The entries that callers of a host may use from a place, for those that choose among them by themselves. */
	listEntriesFor(host: string, region: RegionName, zone: ZoneName): readonly LookupCandidate[] {
		const homes = this.manifests.getCurrent()?.index.countHomes(host) ?? new Map();
		const candidates = [this.ownView.describeCandidate(undefined), ...this.fleet.listCandidates(undefined)];
		return listUsable(candidates, { region, zone, homes });
	}

	exchangeViews(views: readonly EntryView[]): EntryView[] {
		return this.fleet.receiveViews(views);
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
	 * A leaving issuer is the only one that knows what became of its tickets, and is soon gone. Refused by its
	 * head, a resend of a payment that has run would be told `unknown` here and at every other entry; so it is
	 * let in as far as the ledger, which joins or replays it, and refuses a fresh ticket.
	 */
	private isOwnTicket({ ticket }: CallHead): boolean {
		return ticket !== undefined && this.tickets.isOwn(ticket);
	}

	/** A ticket guards nothing where calls may be repeated: there, it opens no leaving entry. */
	private checkLeaving(plan: CallPlan, { routed }: CallHead): Result<CallPlan, RequestError> {
		const leftMs = this.ownView.getEndsMs() - this.timers.getNow();
		const isTooLong = !isFinishable(routed?.prompt, leftMs) && routed !== undefined;
		const isRefused = isTooLong || (this.ownView.isRefusing() && plan.repeat !== RepeatRule.AtMostOnce);
		return isRefused ? err(this.createLeavingFault()) : ok(plan);
	}

	private createLeavingFault(): RequestError {
		const entries = this.listEntriesOf({ region: this.own.region, isBound: false });
		return createRequestError(ErrorKind.Leaving, this.own.id, { entries });
	}

	private createHomeHint(error: RequestError, head: CallHead, manifest: IndexedManifest): RequestError {
		const home = manifest.index.findOrganisation(head.organisation)?.home;
		if (error.kind !== ErrorKind.WrongRegion || home === undefined) {
			return error;
		}
		return { ...error, entries: this.listEntriesOf({ region: home, isBound: true }) };
	}

	private listEntriesOf(wish: EntryWish): readonly AdvertisedEntry[] {
		const { region, isBound, previous, service } = wish;
		const zone = region === this.own.region ? this.own.zone : undefined;
		const candidates = [
			this.ownView.describeCandidate(service),
			...this.fleet.listCandidates(service),
		].filter(candidate => !isBound || candidate.region === region);
		const byInstance = new Map(candidates.map(candidate => [candidate.instance, candidate]));
		const ranked = rankEntries({ region, zone, previous }, candidates, this.random);
		return ranked.flatMap(instance => {
			const candidate = byInstance.get(instance);
			return candidate === undefined ? [] : [createName(candidate)];
		});
	}
}

function createName({ instance, region, zone, callerUrl }: LookupCandidate): AdvertisedEntry {
	return { instance, region, zone, url: callerUrl };
}

function hasAtMostOnceCalls(service: ManifestService): boolean {
	return [service, ...service.rules].some(rule => rule.repeat === RepeatRule.AtMostOnce);
}

function findHome(
	service: ManifestService,
	question: LookupQuestion,
	manifest: IndexedManifest,
): RegionName | undefined {
	const isBound = [service, ...service.rules].some(rule => rule.residency === ResidencyRule.Home);
	if (!isBound || question.organisation === undefined) {
		return undefined;
	}
	return manifest.index.findOrganisation(question.organisation)?.home;
}
