/**
 * Starts and stops an example deployment. The start order is: stand-ins, documents of the platform, entries.
 * Entries stop before the stand-ins that they depend on.
 */

import { join } from 'node:path';
import { z } from 'zod';
import type { ITimerService } from '../../base/common/timerService';
import type { Manifest } from '../../core/manifest/common/manifest';
import type { ICaller } from '../common/caller';
import type { DeploymentAddresses, EntryAddresses, LinkAddresses } from '../common/deploymentAddresses';
import type { DeploymentFiles } from './deploymentFiles';
import type { ProcessManager, StopReport } from './processManager';
import { waitUntil } from '../common/poll';
import type { StandinAdminClient } from '../common/standinAdminClient';

const readyLineSchema = z.object({
	ready: z.literal(true),
	addresses: z.record(z.string(), z.string()),
	admin: z.string(),
});
type ReadyLine = z.output<typeof readyLineSchema>;

interface RunningStandin {
	readonly name: string;
	readonly pid: number;
	readonly readyLine: ReadyLine;
}

const platformName = 'platform';
const readyTimeoutMs = 30_000;
const stopTimeoutMs = 20_000;

/** An example deployment whose processes run on this machine. */
export class Deployment {
	private standins: readonly RunningStandin[] = [];
	readonly manifest: Manifest;

	constructor(
		private readonly files: DeploymentFiles,
		private readonly processManager: ProcessManager,
		private readonly admin: StandinAdminClient,
		private readonly caller: ICaller,
		private readonly timers: ITimerService,
		/** The folder of the compiled programs. */
		private readonly binFolder: string,
	) {
		this.manifest = files.readManifest();
	}

	/** Starts all processes and resolves when every entry is ready. */
	async open(): Promise<DeploymentAddresses> {
		this.standins = await Promise.all(this.files.listStandinNames().map(name => this.startStandin(name)));
		await this.admin.putInstances(this.getPlatformAdmin(), this.files.readInstances());
		await this.putManifest(this.manifest);
		for (const name of this.files.listEntryNames()) {
			this.startProgram(name, 'entry.js');
		}
		await Promise.all(this.files.listEntryNames().map(name => this.waitForReady(name)));
		return this.describeAddresses();
	}

	/** Publishes a manifest. The platform assigns the next version to it. */
	async putManifest(manifest: Manifest): Promise<void> {
		await this.admin.putManifest(this.getPlatformAdmin(), JSON.stringify(manifest));
	}

	/** Stops the entries and then the stand-ins. */
	async stop(): Promise<StopReport[]> {
		const entries = await this.processManager.stopAll(this.files.listEntryNames(), stopTimeoutMs);
		const standins = await this.processManager.stopAll(this.files.listStandinNames(), stopTimeoutMs);
		return [...entries, ...standins];
	}

	/** Waits until an entry reports readiness. Fails when its process ends or is not ready in time. */
	async waitForReady(entryName: string): Promise<void> {
		const { host, port } = this.files.readEntrySettings(entryName).operators.listen;
		const isReady = await waitUntil(this.timers, readyTimeoutMs, async () => {
			if (this.processManager.get(entryName).getEnd() !== undefined) {
				throw new Error(this.describeStartFailure(entryName, 'exited before it was ready'));
			}
			const answer = await this.caller.send({ method: 'GET', url: `http://${host}:${port}/readyz` });
			return answer.status === 200;
		});
		if (!isReady) {
			throw new Error(this.describeStartFailure(entryName, `was not ready within ${readyTimeoutMs} ms`));
		}
	}

	private describeStartFailure(name: string, problem: string): string {
		return `${name} ${problem}; last lines of output:\n${this.processManager.get(name).listLines().slice(-10).join('\n')}`;
	}

	private startProgram(name: string, program: string): ReturnType<ProcessManager['start']> {
		return this.processManager.start({
			name,
			program: join(this.binFolder, program),
			args: ['--settings', this.files.getSettingsPath(name)],
		});
	}

	private async startStandin(name: string): Promise<RunningStandin> {
		const managed = this.startProgram(name, 'standin.js');
		return { name, pid: managed.pid, readyLine: await managed.waitForLine(parseReadyLine) };
	}

	private getPlatform(): RunningStandin {
		const platform = this.standins.find(({ readyLine }) => platformName in readyLine.addresses);
		if (platform === undefined) {
			throw new Error('no stand-in process hosts a platform');
		}
		return platform;
	}

	private getPlatformAdmin(): string {
		return this.getPlatform().readyLine.admin;
	}

	private describeAddresses(): DeploymentAddresses {
		const { readyLine } = this.getPlatform();
		return {
			ready: true,
			entries: this.files.listEntryNames().map(name => this.describeEntry(name)),
			targets: this.manifest.targets.map(({ id, service, region, zone, url }) => ({
				id,
				service,
				region,
				zone,
				url,
				admin: this.findAdminUrl(id),
			})),
			links: this.standins.flatMap(standin => listLinks(standin)),
			standins: this.standins.map(({ name, pid, readyLine: { admin } }) => ({ name, pid, admin })),
			platform: readyLine.addresses[platformName] ?? '',
			platformAdmin: readyLine.admin,
		};
	}

	private describeEntry(name: string): EntryAddresses {
		const { instance, callers, peers, operators } = this.files.readEntrySettings(name);
		return {
			instance: instance.id,
			region: instance.region,
			zone: instance.zone,
			callers: callers.url,
			peers: peers.url,
			operators: `http://${operators.listen.host}:${operators.listen.port}`,
			pid: this.processManager.get(name).pid,
		};
	}

	private findAdminUrl(standinName: string): string {
		return this.standins.find(({ readyLine }) => standinName in readyLine.addresses)?.readyLine.admin ?? '';
	}
}

/** Lists the links of a stand-in process. A ready line has links as `host:port` and HTTP stand-ins as URLs. */
function listLinks({ readyLine }: RunningStandin): LinkAddresses[] {
	return Object.entries(readyLine.addresses)
		.filter(([, address]) => !address.includes('://'))
		.map(([name, listen]) => ({ name, listen, admin: readyLine.admin }));
}

function parseReadyLine(text: string): ReadyLine | undefined {
	if (!text.startsWith('{')) {
		return undefined;
	}
	const parsed = readyLineSchema.safeParse(JSON.parse(text));
	return parsed.success ? parsed.data : undefined;
}
