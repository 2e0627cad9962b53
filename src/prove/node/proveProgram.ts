/**
 * Starts the Braithwaite example deployment as separate processes, runs one campaign on it, and stops all
 * processes.
 */

import { Disposable } from '../../base/common/lifecycle';
import { SeededRandom } from '../../base/common/random';
import { SystemTimerService } from '../../base/node/systemTimerService';
import type { DeploymentContext } from '../../demo/common/scenario';
import { StandinAdminClient } from '../../demo/common/standinAdminClient';
import { Deployment } from '../../demo/node/deployment';
import { DeploymentFiles } from '../../demo/node/deploymentFiles';
import { ProcessManager, isCleanEnd } from '../../demo/node/processManager';
import { HttpCaller } from '../../demo/node/httpCaller';
import { CallSender } from '../common/callSender';
import { CampaignLog } from '../common/campaignLog';
import { EntryDisruptions } from '../common/entryDisruptions';
import { Invariant } from '../common/invariants';
import { Phase } from '../common/sendRecord';
import type { CampaignResult } from '../common/verdict';
import type { CampaignPlan } from './campaign';
import { Campaign } from './campaign';
import type { CampaignContext } from './campaignContext';
import { ManifestMonitor } from './manifestMonitor';
import { PreparedExample } from './preparedExample';

/** Folders that the program reads from. */
export interface ProvePaths {
	readonly exampleFolder: string;
	/** Folder of the built programs. */
	readonly binFolder: string;
}

/** Runs one campaign on a new deployment. */
export class ProveProgram extends Disposable {
	private readonly timers = this.register(new SystemTimerService());
	private readonly fleet = this.register(new ProcessManager(this.timers));
	private readonly caller = new HttpCaller(this.timers);
	private readonly log: CampaignLog;

	/** @param report Called with one line for each fault and violation when it is recorded. */
	constructor(
		private readonly paths: ProvePaths,
		private readonly plan: CampaignPlan,
		report: (line: string) => void,
	) {
		super();
		const startMs = this.timers.getNow();
		this.log = new CampaignLog(line => {
			report(`${Math.round(this.timers.getNow() - startMs)} ms ${line}`);
		});
	}

	async run(): Promise<CampaignResult> {
		const example = this.register(new PreparedExample(this.paths.exampleFolder));
		const files = this.register(await DeploymentFiles.open(example.folder));
		const admin = new StandinAdminClient(this.caller);
		const { binFolder } = this.paths;
		const deployment = new Deployment(files, this.fleet, admin, this.caller, this.timers, binFolder);
		const context = await this.openDeployment(deployment, admin);
		const result = await new Campaign(context, this.plan).run();
		context.manifestMonitor.dispose();
		await this.stopDeployment(deployment);
		return { ...result, violations: [...new Set([...result.violations, ...this.log.violations])] };
	}

	/** The output lines of each process by its name, newest last, for the analysis of violations. */
	listLines(): ReadonlyMap<string, readonly string[]> {
		return new Map(this.fleet.list().map(managed => [managed.spec.name, managed.listLines()]));
	}

	private async openDeployment(deployment: Deployment, admin: StandinAdminClient): Promise<CampaignContext> {
		const addresses = await deployment.open();
		const random = new SeededRandom(this.plan.seed);
		const { timers, fleet, log, caller } = this;
		const { manifest } = deployment;
		const stage: DeploymentContext = {
			addresses,
			manifest,
			caller,
			admin,
			timers,
			random,
			putManifest: manifestToPublish => deployment.putManifest(manifestToPublish),
		};
		const disruptions = new EntryDisruptions();
		const manifestMonitor = this.register(new ManifestMonitor(stage, log, disruptions));
		const sender = new CallSender(stage, log, Phase.Faults);
		return {
			stage,
			fleet,
			deployment,
			log,
			disruptions,
			manifestMonitor,
			sender,
			random,
		};
	}

	private async stopDeployment(deployment: Deployment): Promise<void> {
		const reports = await deployment.stop();
		for (const { name, end } of reports.filter(report => !isCleanEnd(report.end))) {
			const exit = end === undefined ? 'was killed' : `code ${String(end.code)}`;
			this.log.recordViolation(Invariant.GracefulStop, `${name} did not end by itself: ${exit}`);
		}
		await this.caller.close();
	}
}
