/**
 * The demo program: starts an example deployment as separate processes, runs the scenarios against it, prints
 * their results and stops the deployment.
 */

import { Disposable } from '../../base/common/lifecycle';
import { SeededRandom } from '../../base/common/random';
import { SystemTimerService } from '../../base/node/systemTimerService';
import type { ScenarioResult, TableRenderer } from '../common/report';
import { renderResults } from '../common/report';
import type { IScenario, DeploymentContext } from '../common/scenario';
import { createDrainScenarios } from '../common/scenarios/drainScenarios';
import { createOverloadScenarios } from '../common/scenarios/overloadScenarios';
import { createPaymentScenarios } from '../common/scenarios/paymentScenarios';
import { createSuccessScenarios } from '../common/scenarios/successScenarios';
import { createRefusalScenarios } from '../common/scenarios/refusalScenarios';
import { StandinAdminClient } from '../common/standinAdminClient';
import { Deployment } from './deployment';
import { DeploymentFiles } from './deploymentFiles';
import type { StopReport } from './processManager';
import { ProcessManager, isCleanEnd } from './processManager';
import { HttpCaller } from './httpCaller';

/** Folders that the demo reads. */
export interface DemoPaths {
	readonly exampleFolder: string;
	/** The folder of the compiled programs. */
	readonly binFolder: string;
}

const seed = 20_260;

/** Runs the demo once, or keeps its deployment running. */
export class DemoProgram extends Disposable {
	private readonly timers = this.register(new SystemTimerService());
	private readonly processManager = this.register(new ProcessManager(this.timers));
	private readonly caller = new HttpCaller(this.timers);

	constructor(
		private readonly paths: DemoPaths,
		private readonly renderTable: TableRenderer,
	) {
		super();
	}

	/** Runs all scenarios. Returns whether each of them passed and each process exited with code 0. */
	async run(): Promise<boolean> {
		const deployment = await this.createDeployment();
		const context = await this.open(deployment);
		const scenarios = [
			...createSuccessScenarios(),
			...createPaymentScenarios(),
			...createRefusalScenarios(),
			...createOverloadScenarios(),
			...createDrainScenarios(),
		];
		const results: ScenarioResult[] = [];
		for (const scenario of scenarios) {
			results.push(await runScenario(scenario, context));
		}
		print(renderResults(results, this.renderTable));
		const isStopped = await this.stop(deployment);
		const wrong = results.filter(({ observation }) => !observation.isRight).length;
		print(`${results.length - wrong} of ${results.length} scenarios passed.`);
		return wrong === 0 && isStopped;
	}

	/** Prints all addresses as one line of JSON and keeps the deployment running until `waitForEnd` resolves. */
	async serve(waitForEnd: Promise<void>): Promise<boolean> {
		const deployment = await this.createDeployment();
		const { addresses } = await this.open(deployment);
		print(JSON.stringify(addresses));
		await waitForEnd;
		return this.stop(deployment);
	}

	private async createDeployment(): Promise<Deployment> {
		const files = this.register(await DeploymentFiles.open(this.paths.exampleFolder));
		const admin = new StandinAdminClient(this.caller);
		return new Deployment(files, this.processManager, admin, this.caller, this.timers, this.paths.binFolder);
	}

	private async open(deployment: Deployment): Promise<DeploymentContext> {
		const addresses = await deployment.open();
		return {
			addresses,
			manifest: deployment.manifest,
			caller: this.caller,
			admin: new StandinAdminClient(this.caller),
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
			print(this.processManager.get(report.name).listLines().slice(-5).join('\n'));
		}
		const slowest = Math.max(...reports.map(report => report.tookMs));
		process.stderr.write(
			`${reports.length - unclean.length} of ${reports.length} processes exited with code 0, ` +
				`the last after ${Math.round(slowest)} ms.\n`,
		);
		return unclean.length === 0;
	}
}

async function runScenario(scenario: IScenario, context: DeploymentContext): Promise<ScenarioResult> {
	try {
		return { scenario: scenario, observation: await scenario.run(context) };
	} catch (error) {
		const received = error instanceof Error ? error.message : String(error);
		return { scenario: scenario, observation: { isRight: false, received } };
	}
}

function describeUncleanStop({ name, end }: StopReport): string {
	if (end === undefined) {
		return `${name} did not exit on SIGTERM and was killed`;
	}
	return `${name} exited with code ${String(end.code)}, signal ${String(end.signal)}`;
}

function print(text: string): void {
	process.stdout.write(`${text}\n`);
}
