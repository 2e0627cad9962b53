/**
 * The platform over HTTP: configuration service, instance list, directory and weight store. It can only be
 * read; what it serves is set through the admin port.
 */

import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Result } from 'neverthrow';
import { Disposable } from '../../base/common/lifecycle';
import type { ITimerService } from '../../base/common/timerService';
import { ConfigStore } from '../common/configStore';
import type { VersionedDocument } from '../common/configStore';
import type { SwitchFault } from '../common/faultBoard';
import { FaultBoard } from '../common/faultBoard';
import type { InstanceList } from '../common/instanceList';
import { instanceListSchema, listDirectoryEntries } from '../common/instanceList';
import type { PlatformFaults } from '../common/platformFaults';
import { createPlatformFaults, platformFaultsSchema } from '../common/platformFaults';
import { ReadBudget } from '../common/readBudget';
import { PlatformRead, PlatformReadCounts } from '../common/platformReadCounts';
import type { PlatformSection } from '../common/standinSettings';
import { platformName } from '../common/standinSettings';
import { getWholeNumber, parseTarget, sendJson } from './httpExchange';
import { HttpListener } from './httpListener';
import type { IStandin } from './standin';
import type { PlatformCounters } from './standinCounters';
import { WeightStore } from './weightStore';

/** Versions of the platform's documents stand in this header. */
const versionHeader = 'platform-version';

const millisecondsPerSecond = 1_000;

/** A hanging watch is never held longer than this, in milliseconds. */
const longestWaitMs = 120_000;

/** Serves the platform of one deployment. */
export class PlatformServer extends Disposable implements IStandin {
	readonly name = platformName;
	private readonly listener: HttpListener;
	private readonly faults: FaultBoard<PlatformFaults>;
	private readonly manifests: ConfigStore;
	private readonly instances: ConfigStore;
	private readonly budget: ReadBudget;
	private readonly counts = new PlatformReadCounts();
	private readonly weights: WeightStore;
	private instancesVersion = 0;

	constructor(
		section: PlatformSection,
		private readonly timers: ITimerService,
	) {
		super();
		this.faults = new FaultBoard(
			platformFaultsSchema.partial(),
			createPlatformFaults(section.instances_lag_ms),
		);
		this.manifests = new ConfigStore(timers);
		this.instances = new ConfigStore(timers);
		this.budget = new ReadBudget(section.reads_per_second);
		this.weights = new WeightStore(section.weights_bytes_per_second, timers);
		this.listener = this.register(
			new HttpListener(section.listen, (request, response) => this.handleRequest(request, response)),
		);
	}

	open(): Promise<string> {
		return this.listener.open();
	}

	applyFaults(patch: unknown): Result<PlatformFaults, readonly SwitchFault[]> {
		const applied = this.faults.apply(patch);
		if (applied.isOk()) {
			this.manifests.setStaleVersion(applied.value.staleVersion);
			if (applied.value.down) {
				this.listener.closeConnections();
			}
		}
		return applied;
	}

	/** Publishes a manifest, its bytes unread, and gives its version. */
	putManifest(bytes: Buffer, forcedVersion?: number): number {
		return this.manifests.put(bytes, forcedVersion);
	}

	/** Publishes the list of instances; readers see it once the lag has passed. */
	putInstances(list: InstanceList): number {
		const version = ++this.instancesVersion;
		const bytes = Buffer.from(JSON.stringify(list));
		this.register(
			this.timers.schedule(this.faults.get().lagMs, () => {
				this.applyInstances(version, bytes);
			}),
		);
		return version;
	}

	getCounters(): PlatformCounters {
		return {
			reads: this.counts.get(),
			peakReadsInOneSecond: this.budget.getPeakReads(),
			readsRefused: this.budget.countRefused(),
			watchesWaiting: this.manifests.countWatches() + this.instances.countWatches(),
			weights: this.weights.getCounters(),
		};
	}

	private async handleRequest(request: IncomingMessage, response: ServerResponse): Promise<void> {
		const faults = this.faults.get();
		if (faults.down) {
			request.socket.resetAndDestroy();
			return;
		}
		if (faults.silent) {
			return;
		}
		const url = parseTarget(request);
		if (request.method !== 'GET') {
			sendJson(response, 405, { error: 'the platform can only be read' });
			return;
		}
		if (url.pathname.startsWith('/v1/weights/')) {
			await this.handleLoad(url, response);
			return;
		}
		this.handleRead(url, response);
	}

	private async handleLoad(url: URL, response: ServerResponse): Promise<void> {
		if (this.faults.get().weightsDown) {
			sendJson(response, 503, { error: 'the weight store is down' });
			return;
		}
		await this.weights.stream(getWholeNumber(url, 'bytes', 0), response);
	}

	private handleRead(url: URL, response: ServerResponse): void {
		const waitMs = this.budget.take(this.timers.getNow());
		if (waitMs !== undefined) {
			const seconds = Math.max(1, Math.ceil(waitMs / millisecondsPerSecond));
			sendJson(response, 429, { error: 'over the read budget' }, { 'retry-after': String(seconds) });
			return;
		}
		switch (url.pathname) {
			case '/v1/config/manifest':
				this.counts.note(PlatformRead.Manifest);
				this.sendDocument(this.manifests, url, response);
				return;
			case '/v1/instances':
				this.counts.note(PlatformRead.Instances);
				this.sendDocument(this.instances, url, response);
				return;
			case '/v1/directory':
				this.counts.note(PlatformRead.Directory);
				this.sendDirectory(response);
				return;
			default:
				sendJson(response, 404, { error: `no such path: ${url.pathname}` });
		}
	}
	/** A list that was published later, under a shorter lag, is not replaced by an earlier one. */
	private applyInstances(version: number, bytes: Buffer): void {
		if (version > (this.instances.read()?.version ?? 0)) {
			this.instances.put(bytes, version);
		}
	}

	private sendDocument(store: ConfigStore, url: URL, response: ServerResponse): void {
		const afterVersion = getWholeNumber(url, 'after', 0);
		const waitMs = Math.min(longestWaitMs, getWholeNumber(url, 'wait-ms', 0));
		if (waitMs === 0) {
			const present = store.read();
			const isNews = present === undefined || present.version > afterVersion;
			this.answerRead(store, isNews ? present : undefined, response);
			return;
		}
		const watch = store.watch(afterVersion, waitMs, document => {
			this.answerRead(store, document, response);
		});
		response.on('close', () => {
			watch.dispose();
		});
	}

	private answerRead(
		store: ConfigStore,
		document: VersionedDocument | undefined,
		response: ServerResponse,
	): void {
		if (this.faults.get().silent) {
			return;
		}
		if (document !== undefined) {
			response.writeHead(200, {
				'content-type': 'application/json',
				'content-length': document.bytes.length,
				[versionHeader]: String(document.version),
			});
			response.end(document.bytes);
			return;
		}
		const present = store.read();
		if (present === undefined) {
			sendJson(response, 404, { error: 'nothing is published yet' });
			return;
		}
		response.writeHead(304, { [versionHeader]: String(present.version) });
		response.end();
	}

	private sendDirectory(response: ServerResponse): void {
		const published = this.instances.read();
		const list =
			published === undefined
				? { instances: [] }
				: instanceListSchema.parse(JSON.parse(Buffer.from(published.bytes).toString('utf8')));
		sendJson(response, 200, { entries: listDirectoryEntries(list) });
	}
}
