/**
 * What surrounds an entry: how callers and targets are spoken to, where the manifest and the targets come
 * from, and which policies decide. An entry is the same in each of them; they differ in what is around it.
 */

import type { Stream } from 'most';
import type { Logger } from 'pino';
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
import type { ManifestKeeper } from '../manifest/manifestKeeper';
import type { ITargetRegistry } from '../targets/targetDirectory';

/** Where an entry's manifest and targets come from. */
export interface IEntrySources extends IDisposable {
	/** The end of each read. */
	readonly onDidEndRead: Stream<PlatformReadEnd>;
	start(): void;
	/** Why the entry cannot serve yet for want of what is read here; empty where it can. */
	listMissing(): readonly string[];
	/** Asks for the newest manifest without waiting for one to come. */
	readManifestAnew(): Promise<void>;
	/** Milliseconds since the platform last answered, or undefined where it never did. */
	getPlatformSilenceMs(): number | undefined;
	close(): Promise<void>;
}

/** A port of its own beside those of callers, peers and operators. */
export interface IEntryPort {
	listen(): Promise<void>;
	close(): Promise<void>;
}

/** The platform as one entry meets it. */
export interface EntryPlatform {
	readonly targets: ITargetRegistry;
	readonly sources: IEntrySources;
}

/** What the platform's side of an entry is made of. */
export interface PlatformParts {
	readonly manifests: ManifestKeeper;
	readonly fleet: EntryFleet;
	readonly trail: IAuditTrail;
	readonly timers: ITimerService;
	readonly random: IRandom;
	readonly logger: Logger;
}

/** What a scheduler is made of. */
export interface SchedulerParts {
	readonly random: IRandom;
	/** Live entries of the fleet, this one included. */
	readonly countEntries: () => number;
}

/** One kind of surroundings. */
export interface IEntryEnvironment {
	readonly callers: ICallerDialect;
	readonly targets: ITargetDialect;
	readonly leaving: ShutdownTimes;
	openPlatform(parts: PlatformParts): EntryPlatform;
	createScheduler(parts: SchedulerParts): IServiceScheduler;
	createSendAway(random: IRandom): ISendAwayPolicy;
	createPorts(handler: CallHandler): readonly IEntryPort[];
}
