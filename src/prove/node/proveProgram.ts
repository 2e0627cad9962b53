/**
 * Brings the example of Braithwaite up as separate processes, runs one campaign on it, and takes
 * everything down again.
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
import { Disturbances } from '../common/disturbances';
import { Invariant } from '../common/invariants';
import { Phase } from '../common/sendRecord';
import type { CampaignResult } from '../common/verdict';
import type { CampaignPlan } from './campaign';
import { Campaign } from './campaign';
import type { Field } from './field';
import { ManifestWatch } from './manifestWatch';
import { PreparedExample } from './preparedExample';

/** Where the program finds what it runs. */
export interface ProvePlaces {
	readonly exampleFolder: string;
	/** Folder of the built programs. */
	readonly binFolder: string;
}

/** One run of the program. */
export class ProveProgram extends Disposable {
	private readonly timers = this.register(new SystemTimerService());
	private readonly fleet = this.register(new ProcessManager(this.timers));
	private readonly caller = new HttpCaller(this.timers);
	private readonly log: CampaignLog;

	/** @param report Called with each fault and breach as it happens. */
	constructor(
		private readonly places: ProvePlaces,
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
		const example = this.register(new PreparedExample(this.places.exampleFolder));
		const files = this.register(await DeploymentFiles.open(example.folder));
		const admin = new StandinAdminClient(this.caller);
		const { binFolder } = this.places;
		const deployment = new Deployment(files, this.fleet, admin, this.caller, this.timers, binFolder);
		const field = await this.open(deployment, admin);
		const result = await new Campaign(field, this.plan).run();
		field.manifests.dispose();
		await this.stop(deployment);
		return { ...result, violations: [...new Set([...result.violations, ...this.log.violations])] };
	}

	/** The output of a process, newest last, for those who look into a breach. */
	listLines(): ReadonlyMap<string, readonly string[]> {
		return new Map(this.fleet.list().map(managed => [managed.spec.name, managed.listLines()]));
	}

	private async open(deployment: Deployment, admin: StandinAdminClient): Promise<Field> {
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
			putManifest: changed => deployment.putManifest(changed),
		};
		const disturbances = new Disturbances();
		const manifests = this.register(new ManifestWatch(stage, log, disturbances));
		const sender = new CallSender(stage, log, Phase.Faults);
		return { stage, fleet, deployment, log, disturbances, manifests, sender, random };
	}

	private async stop(deployment: Deployment): Promise<void> {
		const reports = await deployment.stop();
		for (const { name, end } of reports.filter(report => !isCleanEnd(report.end))) {
			const how = end === undefined ? 'was killed' : `code ${String(end.code)}`;
			this.log.noteViolation(Invariant.GracefulStop, `${name} did not end by itself: ${how}`);
		}
		await this.caller.close();
	}
}
