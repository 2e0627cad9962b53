/**
 * Reads the manifest and the instance list over the native platform protocol.
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

/** Timeout of the manifest read after a suspension of the process. */
const refreshTimeoutMs = 1_000;

/** The components that are updated, and those needed for reading. */
export interface NativeSourcesComponents {
	readonly manifests: ManifestKeeper;
	readonly targets: TargetRegistry;
	readonly fleet: EntryFleet;
	readonly timers: ITimerService;
	readonly random: IRandom;
}

/** Follows the manifest and the instance list until it is disposed of. */
export class NativeSources extends Disposable implements IEntrySources {
	private readonly platform: HttpPlatformClient;
	private readonly manifestFollower: PlatformFollower<PlatformDocument>;
	private readonly instanceFollower: PlatformFollower<VersionedInstanceList>;

	readonly onDidEndRead: Stream<PlatformReadEnd>;

	/** @param newsWithinMs Maximum delay, in milliseconds, of a new version while the platform answers. */
	constructor(
		url: string,
		newsWithinMs: number,
		private readonly components: NativeSourcesComponents,
	) {
		super();
		const platform = new HttpPlatformClient(url, computeWatchTimings(newsWithinMs).answerTimeoutMs);
		const { manifests, fleet, targets, timers, random } = components;
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

	/** Always empty, because the manifest is sufficient to serve requests. */
	listMissing(): readonly string[] {
		return [];
	}

	getPlatformSilenceMs(): number | undefined {
		return this.manifestFollower.getTimeSinceAnswerMs();
	}

	async refreshManifest(): Promise<void> {
		const { manifests } = this.components;
		const signal = AbortSignal.timeout(refreshTimeoutMs);
		const read = await this.platform.readManifest(manifests.getVersion(), 0, signal);
		if (read.isOk() && read.value !== undefined) {
			manifests.takeFromPlatform(read.value);
		}
	}

	async close(): Promise<void> {
		await this.platform.close();
	}
}
