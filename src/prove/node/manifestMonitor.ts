/**
 * Publishes manifests as the operators' pipelines do, and polls the status of every entry for the manifest in
 * force.
 */

import { z } from 'zod';
import type { IDisposable } from '../../base/common/lifecycle';
import { Disposable } from '../../base/common/lifecycle';
import { parseJson } from '../../demo/common/caller';
import type { EntryAddresses } from '../../demo/common/deploymentAddresses';
import { waitFor, waitUntil } from '../../demo/common/poll';
import type { DeploymentContext } from '../../demo/common/scenario';
import type { Manifest } from '../../core/manifest/common/manifest';
import { entryStatusSchema } from '../../core/status/common/entryStatus';
import type { CampaignLog } from '../common/campaignLog';
import type { EntryDisruptions } from '../common/entryDisruptions';
import { Invariant } from '../common/invariants';
import type { ManifestObservation } from '../common/manifestRegressionCheck';
import { ManifestRegressionCheck } from '../common/manifestRegressionCheck';

const pollIntervalMs = 150;
/** A frozen entry does not answer, so its status is requested again at the next poll. */
const statusTimeoutMs = 1_000;
/**
 * Longest time that a published manifest may take to be in force at all reachable entries, in milliseconds.
 */
export const maxPropagationMs = 9_000;

/** The platform counts versions from 1, and the start of the deployment published its manifest once. */
const initialVersion = 1;

const publishedSchema = z.object({ version: z.number() });

/** Polls all entries from `start` until it is disposed. */
export class ManifestMonitor extends Disposable {
	private readonly regressionCheck = new ManifestRegressionCheck();
	private readonly latestByEntry = new Map<string, ManifestObservation>();
	private publishedVersion = initialVersion;
	private isStopped = false;

	constructor(
		private readonly stage: DeploymentContext,
		private readonly log: CampaignLog,
		private readonly disruptions: EntryDisruptions,
	) {
		super();
		const stopPolling: IDisposable = {
			dispose: () => {
				this.isStopped = true;
			},
		};
		this.register(stopPolling);
	}

	start(): void {
		for (const entry of this.stage.addresses.entries) {
			void this.watchEntryManifest(entry);
		}
	}

	/** The highest version published so far. */
	getPublishedVersion(): number {
		return this.publishedVersion;
	}

	/** Publishes a manifest. The platform increments the version unless `forcedVersion` sets it. */
	async put(manifest: Manifest, forcedVersion?: number): Promise<number> {
		const query = forcedVersion === undefined ? '' : `?version=${forcedVersion}`;
		const answer = await this.stage.caller.send({
			method: 'PUT',
			url: `${this.stage.addresses.platformAdmin}/v1/platform/manifest${query}`,
			body: JSON.stringify(manifest),
		});
		const { version } = publishedSchema.parse(parseJson(answer));
		this.publishedVersion = Math.max(this.publishedVersion, version);
		return version;
	}

	/**
	 * Publishes a manifest and waits until it is in force at every reachable entry. Records a violation on
	 * timeout.
	 */
	async putAndWait(manifest: Manifest): Promise<void> {
		const startMs = this.stage.timers.getNow();
		const version = await this.put(manifest);
		const isPropagated = await waitUntil(this.stage.timers, maxPropagationMs, () =>
			Promise.resolve(this.listOutdatedEntries(version, startMs).length === 0),
		);
		if (isPropagated) {
			this.log.spreadMs.push(this.stage.timers.getNow() - startMs);
			return;
		}
		const outdated = this.listOutdatedEntries(version, startMs).join(', ');
		this.log.recordViolation(
			Invariant.ManifestPropagates,
			`version ${version} is not in force at ${outdated}`,
		);
	}

	/** Entries that were reachable since `sinceMs` and whose last known manifest is older than `version`. */
	listOutdatedEntries(version: number, sinceMs: number): string[] {
		const reachable = this.stage.addresses.entries
			.map(({ instance }) => instance)
			.filter(instance => this.disruptions.isUndisruptedSince(instance, sinceMs));
		return reachable.filter(instance => (this.latestByEntry.get(instance)?.version ?? 0) < version);
	}

	/** Number of different manifests among the last observations of all entries. */
	countDigests(): number {
		return new Set([...this.latestByEntry.values()].map(({ digest }) => digest)).size;
	}

	private async watchEntryManifest(entry: EntryAddresses): Promise<void> {
		while (!this.isStopped) {
			const observation = await this.fetchObservation(entry);
			if (observation !== undefined) {
				this.recordObservation(observation);
			}
			await waitFor(this.stage.timers, pollIntervalMs);
		}
	}

	private recordObservation(observation: ManifestObservation): void {
		this.latestByEntry.set(observation.entry, observation);
		const regression = this.regressionCheck.checkObservation(observation);
		if (regression !== undefined) {
			this.log.recordViolation(Invariant.ManifestNeverReverts, regression);
		}
	}

	private async fetchObservation({
		instance,
		operators,
	}: EntryAddresses): Promise<ManifestObservation | undefined> {
		const answer = await Promise.race([
			this.stage.caller.send({ method: 'GET', url: `${operators}/v1/status` }),
			waitFor(this.stage.timers, statusTimeoutMs),
		]);
		const status = answer === undefined ? undefined : entryStatusSchema.safeParse(parseJson(answer)).data;
		if (status?.manifest === undefined || status.manifest === null) {
			return undefined;
		}
		const { version, digest } = status.manifest;
		return { entry: instance, boot: status.boot, version, digest };
	}
}
