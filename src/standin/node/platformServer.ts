/**
 * The HTTP server of the simulated platform: configuration service, instance list, directory and weight store. It is
 * read-only. Its documents are published through the admin port.
 */

import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Result } from 'neverthrow';
import { Disposable } from '../../base/common/lifecycle';
import type { ITimerService } from '../../base/common/timerService';
import { ConfigStore } from '../common/configStore';
import type { VersionedDocument } from '../common/configStore';
import type { FaultPatchIssue } from '../common/faultSwitches';
import { FaultSwitches } from '../common/faultSwitches';
import type { InstanceList } from '../common/instanceList';
import { instanceListSchema, listDirectoryEntries } from '../common/instanceList';
import type { PlatformFaults } from '../common/platformFaults';
import { createPlatformFaults, platformFaultsSchema } from '../common/platformFaults';
import { ReadRateLimiter } from '../common/readRateLimiter';
import { PlatformReadKind, PlatformReadCounts } from '../common/platformReadCounts';
import type { PlatformSection } from '../common/standinSettings';
import { platformName } from '../common/standinSettings';
import { getWholeNumber, parseRequestUrl, sendJson } from './httpExchange';
import { HttpListener } from './httpListener';
import type { IStandin } from './standin';
import type { PlatformCounters } from './standinCounters';
import { WeightStore } from './weightStore';

/** The response header with the version of a document. */
const versionHeader = 'platform-version';

const millisecondsPerSecond = 1_000;

/** The maximum duration of a long poll, in milliseconds. */
const maxWatchWaitMs = 120_000;

/** Simulates the platform of one deployment. */
export class PlatformServer extends Disposable implements IStandin {
	readonly name = platformName;
	private readonly listener: HttpListener;
	private readonly faults: FaultSwitches<PlatformFaults>;
	private readonly manifests: ConfigStore;
	private readonly instances: ConfigStore;
	private readonly rateLimiter: ReadRateLimiter;
	private readonly readCounts = new PlatformReadCounts();
	private readonly weights: WeightStore;
	private instancesVersion = 0;

	constructor(
		section: PlatformSection,
		private readonly timers: ITimerService,
	) {
		super();
		this.faults = new FaultSwitches(
			platformFaultsSchema.partial(),
			createPlatformFaults(section.instances_lag_ms),
		);
		this.manifests = new ConfigStore(timers);
		this.instances = new ConfigStore(timers);
		this.rateLimiter = new ReadRateLimiter(section.reads_per_second);
		this.weights = new WeightStore(section.weights_bytes_per_second, timers);
		this.listener = this.register(
			new HttpListener(section.listen, (request, response) => this.handleRequest(request, response)),
		);
	}

	open(): Promise<string> {
		return this.listener.open();
	}

	applyFaults(patch: unknown): Result<PlatformFaults, readonly FaultPatchIssue[]> {
		const applied = this.faults.apply(patch);
		if (applied.isOk()) {
			this.manifests.setStaleVersion(applied.value.staleVersion);
			if (applied.value.down) {
				this.listener.closeConnections();
			}
		}
		return applied;
	}

	/** Publishes a manifest without validating it. Returns its version. */
	putManifest(bytes: Buffer, forcedVersion?: number): number {
		return this.manifests.put(bytes, forcedVersion);
	}

	/** Publishes the list of instances, which is served after the lag in the fault switches. Returns its version. */
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
			reads: this.readCounts.get(),
			peakReadsInOneSecond: this.rateLimiter.getPeakReadsPerSecond(),
			readsRefused: this.rateLimiter.countRefused(),
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
		const url = parseRequestUrl(request);
		if (request.method !== 'GET') {
			sendJson(response, 405, { error: 'the platform is read-only' });
			return;
		}
		if (url.pathname.startsWith('/v1/weights/')) {
			await this.handleWeightLoad(url, response);
			return;
		}
		this.handleRead(url, response);
	}

	private async handleWeightLoad(url: URL, response: ServerResponse): Promise<void> {
		if (this.faults.get().weightsDown) {
			sendJson(response, 503, { error: 'the weight store is down' });
			return;
		}
		await this.weights.stream(getWholeNumber(url, 'bytes', 0), response);
	}

	private handleRead(url: URL, response: ServerResponse): void {
		const retryAfterMs = this.rateLimiter.take(this.timers.getNow());
		if (retryAfterMs !== undefined) {
			const seconds = Math.max(1, Math.ceil(retryAfterMs / millisecondsPerSecond));
			sendJson(
				response,
				429,
				{ error: 'the limit of reads per second is exceeded' },
				{ 'retry-after': String(seconds) },
			);
			return;
		}
		switch (url.pathname) {
			case '/v1/config/manifest':
				this.readCounts.record(PlatformReadKind.Manifest);
				this.sendDocument(this.manifests, url, response);
				return;
			case '/v1/instances':
				this.readCounts.record(PlatformReadKind.Instances);
				this.sendDocument(this.instances, url, response);
				return;
			case '/v1/directory':
				this.readCounts.record(PlatformReadKind.Directory);
				this.sendDirectory(response);
				return;
			default:
				sendJson(response, 404, { error: `unknown path: ${url.pathname}` });
		}
	}

	/** Applies a published list, unless a later one with a shorter lag was applied before. */
	private applyInstances(version: number, bytes: Buffer): void {
		if (version > (this.instances.read()?.version ?? 0)) {
			this.instances.put(bytes, version);
		}
	}

	private sendDocument(store: ConfigStore, url: URL, response: ServerResponse): void {
		const afterVersion = getWholeNumber(url, 'after', 0);
		const waitMs = Math.min(maxWatchWaitMs, getWholeNumber(url, 'wait-ms', 0));
		if (waitMs === 0) {
			const current = store.read();
			const isNewer = current === undefined || current.version > afterVersion;
			this.answerRead(store, isNewer ? current : undefined, response);
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
		const current = store.read();
		if (current === undefined) {
			sendJson(response, 404, { error: 'no document has been published yet' });
			return;
		}
		response.writeHead(304, { [versionHeader]: String(current.version) });
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
