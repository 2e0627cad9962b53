/**
 * The product's own interfaces on every side.
 */

import type { IRandom } from '../../../base/common/random';
import type { EntrySettings } from '../../../core/settings/common/entrySettings';
import { NativeCallerDialect } from '../../common/dialect/nativeCallerDialect';
import { NativeTargetDialect } from '../../common/dialect/nativeTargetDialect';
import type { ShutdownTimes } from '../../common/leaving/shutdownPlan';
import { planShutdown } from '../../common/leaving/shutdownPlan';
import { ServiceScheduler } from '../../common/scheduling/scheduler';
import { CostBasedSendAwayPolicy } from '../../common/sendAway/costBasedSendAwayPolicy';
import { TargetRegistry } from '../targets/targetRegistry';
import type {
	EntryPlatform,
	IEntryEnvironment,
	IEntryPort,
	PlatformParts,
	SchedulerParts,
} from './entryEnvironment';
import { OwnSources } from './ownSources';

/** A manifest is to be in force at all entries within nine seconds. */
const usualNewsWithinMs = 9_000;

export class OwnEnvironment implements IEntryEnvironment {
	readonly callers = new NativeCallerDialect();
	readonly targets = new NativeTargetDialect();
	readonly leaving: ShutdownTimes;

	constructor(private readonly settings: EntrySettings) {
		this.leaving = planShutdown(settings.leaving.killed_after_s);
	}

	openPlatform(parts: PlatformParts): EntryPlatform {
		const { region, zone } = this.settings.instance;
		const targets = new TargetRegistry({ region, zone }, parts.trail, parts.timers);
		const { url, news_within_ms: newsWithinMs = usualNewsWithinMs } = this.settings.platform;
		return { targets, sources: new OwnSources(url, newsWithinMs, { ...parts, targets }) };
	}

	createScheduler({ random }: SchedulerParts): ServiceScheduler {
		return new ServiceScheduler(random);
	}

	createSendAway(random: IRandom): CostBasedSendAwayPolicy {
		return new CostBasedSendAwayPolicy(random);
	}

	/** Lookups share the callers' port. */
	createPorts(): readonly IEntryPort[] {
		return [];
	}
}
