/**
 * The demo: brings the example of Braithwaite up as separate processes, runs callers of all kinds through
 * it, prints what each received and takes everything down again.
 */

import { Disposable } from '../../base/common/lifecycle';
import { SeededRandom } from '../../base/common/random';
import { SystemTimerService } from '../../base/node/systemTimerService';
import type { SceneResult, TableRenderer } from '../common/report';
import { renderResults } from '../common/report';
import type { IScene, Stage } from '../common/scene';
import { createAwayScenes } from '../common/scenes/awayScenes';
import { createBusyScenes } from '../common/scenes/busyScenes';
import { createPaymentScenes } from '../common/scenes/paymentScenes';
import { createPlainScenes } from '../common/scenes/plainScenes';
import { createRefusedScenes } from '../common/scenes/refusedScenes';
import { StandinAdmin } from '../common/standinAdmin';
import { Deployment } from './deployment';
import { DeploymentFiles } from './deploymentFiles';
import type { StopReport } from './fleet';
import { Fleet, isCleanEnd } from './fleet';
import { HttpCaller } from './httpCaller';

/** Where the demo finds what it runs. */
export interface DemoPlaces {
	readonly exampleFolder: string;
	/** Folder of the built programs. */
	readonly binFolder: string;
}

const seed = 20_260;

/** One run of the demo. */
export class DemoProgram extends Disposable {
	private readonly timers = this.register(new SystemTimerService());
	private readonly fleet = this.register(new Fleet(this.timers));
	private readonly caller = new HttpCaller(this.timers);

	constructor(
		private readonly places: DemoPlaces,
		private readonly renderTable: TableRenderer,
	) {
		super();
	}

	/** Runs the callers; gives whether each received what it must and each process ended by itself. */
	async run(): Promise<boolean> {
		const deployment = await this.createDeployment();
		const stage = await this.open(deployment);
		const scenes = [
			...createPlainScenes(),
			...createPaymentScenes(),
			...createRefusedScenes(),
			...createBusyScenes(),
			...createAwayScenes(),
		];
		const results: SceneResult[] = [];
		for (const scene of scenes) {
			results.push(await runScene(scene, stage));
		}
		print(renderResults(results, this.renderTable));
		const isStopped = await this.stop(deployment);
		const wrong = results.filter(({ observation }) => !observation.isRight).length;
		print(`${results.length - wrong} of ${results.length} callers received what they must.`);
		return wrong === 0 && isStopped;
	}

	/** Prints every address as one line and stays up until `waitForEnd` resolves. */
	async serve(waitForEnd: Promise<void>): Promise<boolean> {
		const deployment = await this.createDeployment();
		const { addresses } = await this.open(deployment);
		print(JSON.stringify(addresses));
		await waitForEnd;
		return this.stop(deployment);
	}

	private async createDeployment(): Promise<Deployment> {
		const files = this.register(await DeploymentFiles.open(this.places.exampleFolder));
		const admin = new StandinAdmin(this.caller);
		return new Deployment(files, this.fleet, admin, this.caller, this.timers, this.places.binFolder);
	}

	private async open(deployment: Deployment): Promise<Stage> {
		const addresses = await deployment.open();
		return {
			addresses,
			manifest: deployment.manifest,
			caller: this.caller,
			admin: new StandinAdmin(this.caller),
			timers: this.timers,
			random: new SeededRandom(seed),
			putManifest: manifest => deployment.putManifest(manifest),
		};
	}

	private async stop(deployment: Deployment): Promise<boolean> {
		const reports = await deployment.stop();
		await this.caller.close();
		const unclean = reports.filter(report => !isCleanEnd(report.end));
		for (const report of unclean) {
			print(describeUncleanStop(report));
			print(this.fleet.get(report.name).listLines().slice(-5).join('\n'));
		}
		const slowest = Math.max(...reports.map(report => report.tookMs));
		process.stderr.write(
			`${reports.length - unclean.length} of ${reports.length} processes ended by themselves, ` +
				`the last after ${Math.round(slowest)} ms.\n`,
		);
		return unclean.length === 0;
	}
}

async function runScene(scene: IScene, stage: Stage): Promise<SceneResult> {
	try {
		return { scene, observation: await scene.run(stage) };
	} catch (error) {
		const received = error instanceof Error ? error.message : String(error);
		return { scene, observation: { isRight: false, received } };
	}
}

function describeUncleanStop({ name, end }: StopReport): string {
	if (end === undefined) {
		return `${name} did not end by itself and was killed`;
	}
	return `${name} ended with code ${String(end.code)}, signal ${String(end.signal)}`;
}

function print(text: string): void {
	process.stdout.write(`${text}\n`);
}
