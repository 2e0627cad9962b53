#!/usr/bin/env node
/**
 * `anvilroad-standin`: simulates the platform, model engines, plain services and network links for tests and the demo.
 */

import { SystemTimerService } from '../base/node/systemTimerService';
import { loadSettingsOrExit } from '../core/settings/node/loadSettings';
import { standinSettingsSchema } from '../standin/common/standinSettings';
import { StandinHost } from '../standin/node/standinHost';
import { parseSettingsOption } from './commandLine';

const description = 'Simulated platform, targets and network links for tests and the demo.';

async function runStandins(): Promise<void> {
	const settings = loadSettingsOrExit(
		standinSettingsSchema,
		await parseSettingsOption('anvilroad-standin', description),
	);
	const timers = new SystemTimerService();
	const host = new StandinHost(settings, timers);
	const stop = (): void => {
		host.dispose();
		timers.dispose();
		process.exit(0);
	};
	process.on('SIGTERM', stop);
	process.on('SIGINT', stop);
	process.stdout.write(`${JSON.stringify(await host.open())}\n`);
}

void runStandins().catch((error: unknown) => {
	process.stderr.write(`${error instanceof Error ? error.message : String(error)}\n`);
	process.exit(1);
});
