/**
 * The environment that uses this project's native protocols towards callers, targets and the platform.
 */

import type { IRandom } from '../../../base/common/random';
import type { EntrySettings } from '../../../core/settings/common/entrySettings';
import { OwnCallerDialect } from '../../common/dialect/ownCallerDialect';
import { OwnTargetDialect } from '../../common/dialect/ownTargetDialect';
import type { LeavingTimes } from '../../common/leaving/planLeaving';
import { planLeaving } from '../../common/leaving/planLeaving';
import { ServiceScheduler } from '../../common/scheduling/scheduler';
import { SendAwayPolicy } from '../../common/sendAway/costedSendAway';
import { TargetRegistry } from '../targets/targetRegistry';
import type {
	EntryPlatform,
	IEntryEnvironment,
	IEntryPort,
	PlatformComponents,
	SchedulerOptions,
} from './entryEnvironment';
import { NativeSources } from './nativeSources';

/** A new manifest must be active on all entries within nine seconds. */
const defaultNewsWithinMs = 9_000;

export class NativeEnvironment implements IEntryEnvironment {
	readonly callers = new OwnCallerDialect();
	readonly targets = new OwnTargetDialect();
	readonly leaving: LeavingTimes;

	constructor(private readonly settings: EntrySettings) {
		this.leaving = planLeaving(settings.leaving.killed_after_s);
	}

	openPlatform(components: PlatformComponents): EntryPlatform {
		const { region, zone } = this.settings.instance;
		const targets = new TargetRegistry({ region, zone }, components.trail, components.timers);
		const { url, news_within_ms: newsWithinMs = defaultNewsWithinMs } = this.settings.platform;
		return { targets, sources: new NativeSources(url, newsWithinMs, { ...components, targets }) };
	}

	createScheduler({ random }: SchedulerOptions): ServiceScheduler {
		return new ServiceScheduler(random);
	}

	createSendAway(random: IRandom): SendAwayPolicy {
		return new SendAwayPolicy(random);
	}

	/** No additional ports: lookups are served on the callers' port. */
	createPorts(): readonly IEntryPort[] {
		return [];
	}
}
