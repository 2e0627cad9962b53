/**
 * The limits of organisations as one entry shares them with the others: composes the admission, the reports to the
 * coordinator of the zone, and the coordinator that this entry may be itself. Without limits in the manifest there is no
 * timer, no message and no state.
 */

import { Disposable, DisposableStore } from '../../../base/common/lifecycle';
import type { IRandom } from '../../../base/common/random';
import type { ITimerService } from '../../../base/common/timerService';
import type { InstanceId, ManifestVersion, OrganisationName } from '../../../core/ids/common/ids';
import type { OrganisationLimit } from '../../../core/manifest/common/organisations';
import { EntryAdmission } from './entryAdmission';
import type { CoordinatorIdentity } from './limitCoordinator';
import { LimitCoordinator } from './limitCoordinator';
import { LimitedLog } from './limitedLog';
import type { DemandAnswer, DemandReport, ZoneSums } from './limitMessages';
import { LimitReporter } from './limitReporter';
import type { LimitTable } from './limitTable';
import type { ComputeCost, IOrganisationLimiter, LimitCharge, LimitDecision } from './organisationLimiter';
import { SumsExchange } from './sumsExchange';
import type { ILimitPeers, IZoneDirectory } from './zoneDirectory';

/** Receives the changes that operators should see. */
export interface ILimitObserver {
	noteCoordinator(instance: InstanceId, reason: string): void;
	/** Called when an organisation with requests at this entry begins or ends to be limited. */
	noteLimited(organisation: OrganisationName, isLimited: boolean, fraction: number): void;
	/** Called when another entry has a manifest of a higher version. */
	noteNewerManifest(instance: InstanceId, version: ManifestVersion): void;
}

/** What the limits of an entry work on. */
export interface SharedLimitsParts {
	readonly self: CoordinatorIdentity;
	readonly directory: IZoneDirectory;
	readonly peers: ILimitPeers;
	readonly timers: ITimerService;
	readonly random: IRandom;
	readonly observer: ILimitObserver;
}

/** The limit of one organisation, as this entry knows it. */
export interface LimitStatus {
	readonly organisation: OrganisationName;
	readonly limit: OrganisationLimit;
	/** Units per second that callers asked of this entry. */
	readonly ownDemand: number;
	/** Units per second over all entries; undefined while the organisation is inside its limit. */
	readonly fleetDemand: number | undefined;
	/** The part of the demand that is admitted. */
	readonly fraction: number;
	/** Milliseconds since the coordinator's last answer; undefined if there was none. */
	readonly answerAgeMs: number | undefined;
}

interface RunningLimits {
	readonly table: LimitTable;
	readonly admission: EntryAdmission;
	readonly coordinator: LimitCoordinator;
	readonly reporter: LimitReporter;
	readonly exchange: SumsExchange;
	readonly log: LimitedLog;
	readonly owned: DisposableStore;
}

export class SharedLimits extends Disposable implements IOrganisationLimiter {
	private running: RunningLimits | undefined;
	private readonly startedMs: number;

	constructor(private readonly parts: SharedLimitsParts) {
		super();
		this.startedMs = parts.timers.getNow();
	}

	/** Applies the limits of a manifest. */
	setTable(table: LimitTable): void {
		if (table.size === 0) {
			this.running?.owned.dispose();
			this.running = undefined;
			return;
		}
		if (this.running === undefined) {
			this.running = this.start(table);
			return;
		}
		this.running = { ...this.running, table };
		this.running.coordinator.setTable(table, this.parts.timers.getNow());
	}

	admit(name: OrganisationName, computeCost: ComputeCost): LimitDecision | undefined {
		const organisation = this.running?.table.findByName(name);
		if (this.running === undefined || organisation === undefined) {
			return undefined;
		}
		const cost = computeCost(organisation.limit);
		const verdict = this.running.admission.admit(organisation, cost, this.parts.timers.getNow());
		this.running.reporter.noteDemand(verdict.isJump);
		return { charge: { organisation: name, cost }, verdict };
	}

	releaseUnits({ organisation, cost }: LimitCharge): void {
		const limited = this.running?.table.findByName(organisation);
		if (limited !== undefined) {
			this.running?.admission.releaseUnits(limited.key, cost);
		}
	}

	/** Handles the report of another entry of the zone; undefined if the manifest of this entry has no limits. */
	receiveReport(report: DemandReport): DemandAnswer | undefined {
		const { running } = this;
		if (running === undefined || report.zone !== this.parts.self.zone) {
			return undefined;
		}
		this.noteVersion(running, report.instance, report.manifestVersion);
		running.exchange.noteReport();
		return running.coordinator.receiveReport(report, this.parts.timers.getNow());
	}

	/** Handles the sums of another zone. */
	receiveSums(sums: ZoneSums): void {
		if (this.running !== undefined && sums.zone !== this.parts.self.zone) {
			this.noteVersion(this.running, sums.instance, sums.manifestVersion);
			this.running.coordinator.receiveSums(sums, this.parts.timers.getNow());
		}
	}

	/** Returns the entry to which this one reports. */
	getCoordinator(): InstanceId | undefined {
		return this.running?.reporter.getCoordinator();
	}

	/** Milliseconds since the coordinator's last answer; undefined if there was none. */
	getAnswerAgeMs(): number | undefined {
		return this.running?.admission.getAnswerAgeMs(this.parts.timers.getNow());
	}

	/** Whether no organisation has a limit, or the coordinator has answered. */
	isShareKnown(): boolean {
		return this.running === undefined || this.getAnswerAgeMs() !== undefined;
	}

	/** Number of organisations that this entry does not admit completely. */
	countLimited(): number {
		return this.running?.log.countLimited() ?? 0;
	}

	/** Lists each limit with what this entry knows of its use. */
	listStatus(): readonly LimitStatus[] {
		const { running } = this;
		if (running === undefined) {
			return [];
		}
		const nowMs = this.parts.timers.getNow();
		return [...running.table.list()].map(({ name, key, limit }) => ({
			organisation: name,
			limit,
			...running.admission.describe(key, nowMs),
			answerAgeMs: running.admission.getAnswerAgeMs(nowMs),
		}));
	}

	override dispose(): void {
		this.running?.owned.dispose();
		this.running = undefined;
		super.dispose();
	}

	private start(table: LimitTable): RunningLimits {
		const { self, directory, peers, timers, random, observer } = this.parts;
		const owned = new DisposableStore();
		const admission = new EntryAdmission(this.startedMs, () => directory.countFleet(), random);
		const coordinator = new LimitCoordinator(self, directory, table, timers.getNow());
		const exchange = owned.add(new SumsExchange({ self, coordinator, directory, peers, timers }));
		const log = new LimitedLog(observer);
		const reporter = owned.add(
			new LimitReporter({
				self,
				admission,
				coordinator,
				directory,
				peers,
				timers,
				getManifestVersion: () => this.running?.table.version ?? table.version,
				observeCoordinator: (instance, reason) => {
					observer.noteCoordinator(instance, reason);
				},
				observeOwnReport: () => {
					exchange.noteReport();
				},
				observeAnswer: () => {
					this.updateLog(timers.getNow());
				},
			}),
		);
		return { table, admission, coordinator, reporter, exchange, log, owned };
	}

	private updateLog(nowMs: number): void {
		const { running } = this;
		if (running === undefined) {
			return;
		}
		for (const { name, key } of running.table.list()) {
			running.log.update(name, running.admission.describe(key, nowMs), nowMs);
		}
	}

	private noteVersion({ table }: RunningLimits, instance: InstanceId, version: ManifestVersion): void {
		if (version > table.version) {
			this.parts.observer.noteNewerManifest(instance, version);
		}
	}
}
