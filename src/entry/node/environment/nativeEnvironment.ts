/**
 * The environment that uses this project's native protocols towards callers, targets and the platform.
 */

import type { IRandom } from '../../../base/common/random';
import { SystemTimerService } from '../../../base/node/systemTimerService';
import type { EntrySettings } from '../../../core/settings/common/entrySettings';
import { NativeCallerDialect } from '../../common/dialect/nativeCallerDialect';
import { NativeTargetDialect } from '../../common/dialect/nativeTargetDialect';
import type { ShutdownTimes } from '../../common/leaving/shutdownPlan';
import { planShutdown } from '../../common/leaving/shutdownPlan';
import { ServiceScheduler } from '../../common/scheduling/scheduler';
import { CostBasedSendAwayPolicy } from '../../common/sendAway/costBasedSendAwayPolicy';
import { KeyDigestCache } from '../keys/keyDigestCache';
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
	readonly callers = new NativeCallerDialect(new KeyDigestCache(new SystemTimerService()));
	readonly targets = new NativeTargetDialect();
	readonly leaving: ShutdownTimes;

	constructor(private readonly settings: EntrySettings) {
		this.leaving = planShutdown(settings.leaving.killed_after_s);
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

	createSendAway(random: IRandom): CostBasedSendAwayPolicy {
		return new CostBasedSendAwayPolicy(random);
	}

	/** No additional ports: lookups are served on the callers' port. */
	createPorts(): readonly IEntryPort[] {
		return [];
	}
}
