/**
 * Holds one runner and one send-away policy for each service, and updates the runners when the targets of the
 * region change. A send-away policy decides which requests are forwarded to another region.
 */

import { subscribeTo } from '../../../base/common/channel';
import type { IDisposable } from '../../../base/common/lifecycle';
import { Disposable, DisposableStore, toDisposable } from '../../../base/common/lifecycle';
import type { ITimerService } from '../../../base/common/timerService';
import type { IAuditTrail } from '../../../core/audit/common/auditTrail';
import type { IStartGate } from '../../common/intake/loopLagGate';
import type { ServiceName } from '../../../core/ids/common/ids';
import type { ITargetDialect } from '../../common/dialect/targetDialect';
import { noKeyCheck } from '../../common/keys/keyConfirmation';
import type { IKeyCheck } from '../../common/keys/keyConfirmation';
import type { IServiceScheduler } from '../../common/scheduling/serviceScheduler';
import type { ISendAwayPolicy } from '../../common/sendAway/sendAwayPolicy';

import { ServicePaths } from '../paths/servicePaths';
import type { ManifestKeeper } from '../manifest/manifestKeeper';
import type { EntrySharing, ITargetRegistry } from '../targets/targetDirectory';
import type { CrashDetector } from './crashDetector';
import type { IRequestFallback } from './requestFallback';
import { rejectingFallback } from './requestFallback';
import { ServiceRunner } from './serviceRunner';
import type { ILoadHeaderObserver } from './unreadableLoads';
import { ignoredLoadHeaders } from './unreadableLoads';

/** The scheduler and send-away policy for services, and the protocol dialect of their targets. */
export interface IServicePolicies {
	/** The dialect of requests to targets. */
	readonly targets: ITargetDialect;
	createScheduler(): IServiceScheduler;
	createSendAway(): ISendAwayPolicy;
}

/** Returns how the live entries share the region's targets. */
export type GetEntrySharing = () => EntrySharing;

interface ServiceState {
	readonly runner: ServiceRunner;
	readonly paths: ServicePaths;
	readonly sendAway: ISendAwayPolicy;
	/** How the targets that the runner uses are shared. */
	sharing: EntrySharing | undefined;
}

/** Creates and owns the runners of all services. */
export class ServiceRunners extends Disposable {
	private readonly services = new Map<ServiceName, ServiceState>();
	private targetUpdates = 0;
	private readonly ownedRunners = this.register(new DisposableStore());
	private sharingUpdate: IDisposable | undefined;
	private fallback = rejectingFallback;

	constructor(
		private readonly manifests: ManifestKeeper,
		private readonly targets: ITargetRegistry,
		private readonly getEntrySharing: GetEntrySharing,
		private readonly crashDetector: CrashDetector,
		private readonly policies: IServicePolicies,
		private readonly timers: ITimerService,
		private readonly startGate: IStartGate,
		private readonly auditTrail: IAuditTrail,
		private readonly keys: IKeyCheck = noKeyCheck,
		private readonly loadHeaders: ILoadHeaderObserver = ignoredLoadHeaders,
	) {
		super();
		this.register(
			subscribeTo(targets.onDidChange, service => {
				this.update(service);
			}),
		);
		this.register(
			toDisposable(() => {
				this.sharingUpdate?.dispose();
			}),
		);
	}

	/** Sets what takes the requests of a service while none of its targets is reached; without it they are rejected. */
	setFallback(fallback: IRequestFallback): void {
		this.fallback = fallback;
	}

	/** Number of times that the targets of a service were updated so far. */
	get targetUpdateCount(): number {
		return this.targetUpdates;
	}

	getRunner(service: ServiceName): ServiceRunner {
		return this.openService(service).runner;
	}

	/** Whether this entry reaches no target of the service. */
	isCut(service: ServiceName): boolean {
		return this.openService(service).paths.isCut();
	}

	listCutServices(): readonly ServiceName[] {
		return [...this.services].filter(([, { paths }]) => paths.isCut()).map(([service]) => service);
	}

	getSendAwayPolicy(service: ServiceName): ISendAwayPolicy {
		return this.openService(service).sendAway;
	}

	/** Lists the services of the current manifest. */
	listServices(): ServiceName[] {
		return this.manifests.getCurrent()?.accepted.manifest.services.map(({ name }) => name) ?? [];
	}

	/**
	 * Updates the runners whose share of the targets differs after a change of the live entries, once for all changes in
	 * one turn of the event loop. In a large fleet, starts and failures come in dozens, and most of them are in other
	 * regions.
	 */
	updateSharing(): void {
		this.sharingUpdate ??= this.timers.schedule(0, () => {
			this.sharingUpdate = undefined;
			const current = this.getEntrySharing();
			for (const [service, { sharing }] of this.services) {
				if (sharing === undefined || !isSameSharing(sharing, current)) {
					this.update(service);
				}
			}
		});
	}

	/** Starts no more attempts. Requests that wait for one are removed, and are left to be ended by the caller. */
	stop(): void {
		for (const { runner } of this.services.values()) {
			runner.stop();
		}
	}

	private openService(service: ServiceName): ServiceState {
		const known = this.services.get(service);
		if (known !== undefined) {
			return known;
		}
		const paths = this.ownedRunners.add(
			new ServicePaths(
				service,
				round => this.targets.probePaths(service, round),
				this.auditTrail,
				this.timers,
			),
		);
		const runner = this.ownedRunners.add(
			new ServiceRunner(
				this.policies.createScheduler(),
				this.targets,
				this.crashDetector,
				this.policies.targets,
				this.timers,
				this.startGate,
				paths,
				this.keys,
				(target, text) => {
					this.loadHeaders.noteUnreadable(service, target, text);
				},
				{
					isAvailable: run => this.fallback.isAvailable(run),
					takeOver: run => {
						this.fallback.takeOver(run);
					},
				},
			),
		);
		this.ownedRunners.add(
			subscribeTo(paths.onDidChange, isCut => {
				if (isCut) {
					runner.pause();
				} else {
					runner.resume();
				}
			}),
		);
		const opened = { runner, paths, sendAway: this.policies.createSendAway(), sharing: undefined };
		this.services.set(service, opened);
		this.update(service);
		return opened;
	}

	private update(service: ServiceName): void {
		const state = this.services.get(service);
		if (state === undefined) {
			return;
		}
		this.targetUpdates++;
		const described = this.manifests.getCurrent()?.index.findService(service);
		const sharing = this.getEntrySharing();
		state.sharing = sharing;
		state.runner.setTargets(described === undefined ? [] : this.targets.listSchedulable(described, sharing));
	}
}

function isSameSharing(left: EntrySharing, right: EntrySharing): boolean {
	const [roster, other] = [left.roster, right.roster];
	return (
		left.entries === right.entries &&
		roster.size === other.size &&
		roster.isKnown === other.isKnown &&
		roster.others.length === other.others.length &&
		roster.others.every((entry, index) => entry === other.others[index])
	);
}
