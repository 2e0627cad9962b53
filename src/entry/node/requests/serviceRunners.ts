/**
 * One runner and one send-away policy for each service that the manifest names, kept supplied with the
 * targets of the region.
 */

import { subscribeTo } from '../../../base/common/channel';
import { Disposable, DisposableStore } from '../../../base/common/lifecycle';
import type { ITimerService } from '../../../base/common/timerService';
import type { ServiceName } from '../../../core/ids/common/ids';
import type { ITargetDialect } from '../../common/dialect/targetDialect';
import type { IServiceScheduler } from '../../common/scheduling/serviceScheduler';
import type { ISendAwayPolicy } from '../../common/sendAway/sendAwayPolicy';

import type { ManifestKeeper } from '../manifest/manifestKeeper';
import type { EntrySharing, ITargetRegistry } from '../targets/targetDirectory';
import type { CrashWatch } from './crashWatch';
import { ServiceRunner } from './serviceRunner';

/** What decides for a service, and how its targets are spoken to. */
export interface IServicePolicies {
	readonly targets: ITargetDialect;
	createScheduler(): IServiceScheduler;
	createSendAway(): ISendAwayPolicy;
}

/** How the live entries share the region's targets. */
export type DescribeSharing = () => EntrySharing;

interface KnownService {
	readonly runner: ServiceRunner;
	readonly sendAway: ISendAwayPolicy;
}

/** Owns the runners. */
export class ServiceRunners extends Disposable {
	private readonly services = new Map<ServiceName, KnownService>();
	private readonly owned = this.register(new DisposableStore());

	constructor(
		private readonly manifests: ManifestKeeper,
		private readonly targets: ITargetRegistry,
		private readonly describeSharing: DescribeSharing,
		private readonly crashes: CrashWatch,
		private readonly policies: IServicePolicies,
		private readonly timers: ITimerService,
	) {
		super();
		this.register(
			subscribeTo(targets.onDidChange, service => {
				this.update(service);
			}),
		);
	}

	getRunner(service: ServiceName): ServiceRunner {
		return this.open(service).runner;
	}

	getSendAwayPolicy(service: ServiceName): ISendAwayPolicy {
		return this.open(service).sendAway;
	}

	/** Every service that the manifest in force names. */
	listServices(): ServiceName[] {
		return this.manifests.getCurrent()?.accepted.manifest.services.map(({ name }) => name) ?? [];
	}

	/** Entries came or went, so each one's share of the targets is another. */
	updateAll(): void {
		for (const service of this.services.keys()) {
			this.update(service);
		}
	}

	private open(service: ServiceName): KnownService {
		const known = this.services.get(service);
		if (known !== undefined) {
			return known;
		}
		const runner = this.owned.add(
			new ServiceRunner(
				this.policies.createScheduler(),
				this.targets,
				this.crashes,
				this.policies.targets,
				this.timers,
			),
		);
		const opened = { runner, sendAway: this.policies.createSendAway() };
		this.services.set(service, opened);
		this.update(service);
		return opened;
	}

	private update(service: ServiceName): void {
		const described = this.manifests.getCurrent()?.index.findService(service);
		const list =
			described === undefined ? [] : this.targets.listSchedulable(described, this.describeSharing());
		this.services.get(service)?.runner.setTargets(list);
	}
}
