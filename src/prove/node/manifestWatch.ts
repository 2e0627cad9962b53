/**
 * Publishes manifests as the operators' pipelines do, and watches at every entry which one is in force.
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
import type { Disturbances } from '../common/disturbances';
import { Invariant } from '../common/invariants';
import type { ManifestSighting } from '../common/manifestLedger';
import { ManifestLedger } from '../common/manifestLedger';

const watchPeriodMs = 150;
/** A frozen entry answers no status; it is asked again at the next turn. */
const statusLimitMs = 1_000;
/** What is promised, in milliseconds. */
export const spreadLimitMs = 9_000;

/** The platform counts from 1, and opening the deployment published its manifest once. */
const versionAtStart = 1;

const publishedSchema = z.object({ version: z.number() });

/** Watches all entries from `start` until it is disposed of. */
export class ManifestWatch extends Disposable {
	private readonly ledger = new ManifestLedger();
	private readonly latest = new Map<string, ManifestSighting>();
	private publishedVersion = versionAtStart;
	private isOver = false;

	constructor(
		private readonly stage: DeploymentContext,
		private readonly log: CampaignLog,
		private readonly disturbances: Disturbances,
	) {
		super();
		const over: IDisposable = {
			dispose: () => {
				this.isOver = true;
			},
		};
		this.register(over);
	}

	start(): void {
		for (const entry of this.stage.addresses.entries) {
			void this.watchEntry(entry);
		}
	}

	/** The highest version published so far. */
	getPublishedVersion(): number {
		return this.publishedVersion;
	}

	/** Publishes a document; the platform counts versions up where none is forced. */
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

	/** Publishes a document and waits until it is in force at every reachable entry. */
	async putAndWait(manifest: Manifest): Promise<void> {
		const startMs = this.stage.timers.getNow();
		const version = await this.put(manifest);
		const isSpread = await waitUntil(this.stage.timers, spreadLimitMs, () =>
			Promise.resolve(this.listBehind(version, startMs).length === 0),
		);
		if (isSpread) {
			this.log.spreadMs.push(this.stage.timers.getNow() - startMs);
			return;
		}
		const behind = this.listBehind(version, startMs).join(', ');
		this.log.noteViolation(Invariant.ManifestSpreads, `version ${version} is not in force at ${behind}`);
	}

	/** Entries that were reachable since `sinceMs` and have an older manifest in force, or another document. */
	listBehind(version: number, sinceMs: number): string[] {
		const reachable = this.stage.addresses.entries
			.map(({ instance }) => instance)
			.filter(instance => this.disturbances.isUndisturbedSince(instance, sinceMs));
		return reachable.filter(instance => (this.latest.get(instance)?.version ?? 0) < version);
	}

	/** How many different documents are in force. */
	countDigests(): number {
		return new Set([...this.latest.values()].map(({ digest }) => digest)).size;
	}

	private async watchEntry(entry: EntryAddresses): Promise<void> {
		while (!this.isOver) {
			const sighting = await this.readSighting(entry);
			if (sighting !== undefined) {
				this.noteSighting(sighting);
			}
			await waitFor(this.stage.timers, watchPeriodMs);
		}
	}

	private noteSighting(sighting: ManifestSighting): void {
		this.latest.set(sighting.entry, sighting);
		const fault = this.ledger.note(sighting);
		if (fault !== undefined) {
			this.log.noteViolation(Invariant.ManifestNeverReverts, fault);
		}
	}

	private async readSighting({ instance, operators }: EntryAddresses): Promise<ManifestSighting | undefined> {
		const answer = await Promise.race([
			this.stage.caller.send({ method: 'GET', url: `${operators}/v1/status` }),
			waitFor(this.stage.timers, statusLimitMs),
		]);
		const status = answer === undefined ? undefined : entryStatusSchema.safeParse(parseJson(answer)).data;
		if (status?.manifest === undefined || status.manifest === null) {
			return undefined;
		}
		const { version, digest } = status.manifest;
		return { entry: instance, boot: status.boot, version, digest };
	}
}
