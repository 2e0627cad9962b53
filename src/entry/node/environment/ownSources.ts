/**
 * The manifest and the instance list as the product's own platform interface gives them.
 */

import type { Stream } from 'most';
import { subscribeTo } from '../../../base/common/channel';
import { Disposable } from '../../../base/common/lifecycle';
import type { IRandom } from '../../../base/common/random';
import type { ITimerService } from '../../../base/common/timerService';
import { computeWatchTimings } from '../../../core/following/common/watchBackoff';
import { PlatformFollower } from '../../../core/following/node/platformFollower';
import type {
	PlatformDocument,
	PlatformReadEnd,
	VersionedInstanceList,
} from '../../../core/platformClient/node/platformClient';
import { HttpPlatformClient } from '../../../core/platformClient/node/platformClient';
import type { EntryFleet } from '../fleet/entryFleet';
import type { ManifestKeeper } from '../manifest/manifestKeeper';
import type { TargetRegistry } from '../targets/targetRegistry';
import type { IEntrySources } from './entryEnvironment';

/** After a sleep the platform is asked at once, and not waited for longer than this. */
const refreshMs = 1_000;

/** The parts that are told. */
export interface OwnSourceParts {
	readonly manifests: ManifestKeeper;
	readonly targets: TargetRegistry;
	readonly fleet: EntryFleet;
	readonly timers: ITimerService;
	readonly random: IRandom;
}

/** Follows until disposed of. */
export class OwnSources extends Disposable implements IEntrySources {
	private readonly platform: HttpPlatformClient;
	private readonly manifestFollower: PlatformFollower<PlatformDocument>;
	private readonly instanceFollower: PlatformFollower<VersionedInstanceList>;

	readonly onDidEndRead: Stream<PlatformReadEnd>;

	/** @param newsWithinMs By how many milliseconds a version may be late once the platform answers. */
	constructor(
		url: string,
		newsWithinMs: number,
		private readonly parts: OwnSourceParts,
	) {
		super();
		const platform = new HttpPlatformClient(url, computeWatchTimings(newsWithinMs).answerTimeoutMs);
		const { manifests, fleet, targets, timers, random } = parts;
		this.platform = platform;
		this.onDidEndRead = platform.onDidEndRead;
		this.manifestFollower = this.register(
			new PlatformFollower(
				(after, waitMs, signal) => platform.readManifest(after, waitMs, signal),
				timers,
				random,
				newsWithinMs,
			),
		);
		this.instanceFollower = this.register(
			new PlatformFollower(
				(after, waitMs, signal) => platform.readInstances(after, waitMs, signal),
				timers,
				random,
				newsWithinMs,
			),
		);
		this.register(
			subscribeTo(this.manifestFollower.onDidRead, document => {
				manifests.takeFromPlatform(document);
			}),
		);
		this.register(
			subscribeTo(this.instanceFollower.onDidRead, list => {
				fleet.setInstanceList(list);
				targets.setInstanceList(list);
			}),
		);
	}

	start(): void {
		void this.manifestFollower.follow();
		void this.instanceFollower.follow();
	}

	/** The manifest alone is enough to serve. */
	listMissing(): readonly string[] {
		return [];
	}

	getPlatformSilenceMs(): number | undefined {
		return this.manifestFollower.getTimeSinceAnswerMs();
	}

	async readManifestAnew(): Promise<void> {
		const { manifests } = this.parts;
		const signal = AbortSignal.timeout(refreshMs);
		const read = await this.platform.readManifest(manifests.getVersion(), 0, signal);
		if (read.isOk() && read.value !== undefined) {
			manifests.takeFromPlatform(read.value);
		}
	}

	async close(): Promise<void> {
		await this.platform.close();
	}
}
