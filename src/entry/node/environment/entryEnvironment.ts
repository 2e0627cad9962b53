/**
 * Defines what differs between deployments of an entry: the protocols towards callers and targets, the sources of the
 * manifest and the targets, and the scheduling policies. All other components of an entry are the same everywhere.
 */

import type { Stream } from 'most';
import type { Logger } from 'pino';
import type { IClock } from '../../../base/common/elapsedClock';
import type { IDisposable } from '../../../base/common/lifecycle';
import type { IRandom } from '../../../base/common/random';
import type { ITimerService } from '../../../base/common/timerService';
import type { IAuditTrail } from '../../../core/audit/common/auditTrail';
import type { PlatformReadEnd } from '../../../core/platformClient/node/platformClient';
import type { ICallerDialect } from '../../common/dialect/callerDialect';
import type { ITargetDialect } from '../../common/dialect/targetDialect';
import type { IServiceScheduler } from '../../common/scheduling/serviceScheduler';
import type { ISendAwayPolicy } from '../../common/sendAway/sendAwayPolicy';
import type { ShutdownTimes } from '../../common/leaving/shutdownPlan';
import type { CallHandler } from '../callHandler';
import type { EntryFleet } from '../fleet/entryFleet';
import type { GetKeyKnowledge } from '../keyChecker';
import type { ManifestKeeper } from '../manifest/manifestKeeper';
import type { StoreRelay } from '../storeRelay/storeRelay';
import type { ITargetRegistry } from '../targets/targetDirectory';
import type { FleetPosition } from '../../common/fleetView/fleetRoster';

/** Sources of an entry's manifest and targets. */
export interface IEntrySources extends IDisposable {
	/** Emits when a read from the platform ends. */
	readonly onDidEndRead: Stream<PlatformReadEnd>;
	start(): void;
	/** Lists the reasons why the state read from these sources is not sufficient to serve yet; empty if it is. */
	listMissing(): readonly string[];
	/** Requests the latest manifest now instead of waiting for the next update. */
	refreshManifest(): Promise<void>;
	/** Milliseconds since the platform last answered; undefined if it never has. */
	getPlatformSilenceMs(): number | undefined;
	close(): Promise<void>;
}

/** A port in addition to those for callers, peers and operators. */
export interface IEntryPort {
	listen(): Promise<void>;
	close(): Promise<void>;
}

/** The targets and sources that an environment provides. */
export interface EntryPlatform {
	readonly targets: ITargetRegistry;
	readonly sources: IEntrySources;
	/** Passes the changes of the platform's store on to other entries, where the platform has a store. */
	readonly relay?: StoreRelay;
	/** Returns what is known of the keys, where the platform has a store. */
	readonly getKeyKnowledge?: GetKeyKnowledge;
}

/** The components of the entry that are needed to create its targets and sources. */
export interface PlatformComponents {
	readonly manifests: ManifestKeeper;
	readonly fleet: EntryFleet;
	readonly trail: IAuditTrail;
	readonly timers: ITimerService;
	/** Measures the age of what is known; given if the settings bound the time until a withdrawn key stops working. */
	readonly ageClock?: IClock | undefined;
	readonly random: IRandom;
	readonly logger: Logger;
}

/** What an environment needs to create a scheduler. */
export interface SchedulerOptions {
	readonly random: IRandom;
	/** Returns the place of this entry among those that share limits of the fleet. */
	readonly getFleetPosition: () => FleetPosition;
}

/** Creates the components that depend on the deployment. */
export interface IEntryEnvironment {
	readonly callers: ICallerDialect;
	readonly targets: ITargetDialect;
	readonly leaving: ShutdownTimes;
	openPlatform(components: PlatformComponents): EntryPlatform;
	createScheduler(options: SchedulerOptions): IServiceScheduler;
	createSendAway(random: IRandom): ISendAwayPolicy;
	createPorts(handler: CallHandler): readonly IEntryPort[];
}
