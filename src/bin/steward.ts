#!/usr/bin/env node
/**
 * `anvilroad-steward`: brings the engines of its availability zone to what the manifest says.
 */

import { randomInt } from 'node:crypto';
import pino from 'pino';
import { SeededRandom } from '../base/common/random';
import { SystemTimerService } from '../base/node/systemTimerService';
import { loadSettingsOrExit } from '../platform/settings/node/loadSettings';
import { stewardSettingsSchema } from '../steward/common/stewardSettings';
import { LogAuditRecorder } from '../steward/node/logAuditRecorder';
import { StewardProcess } from '../steward/node/stewardProcess';
import { parseSettingsOption } from './commandLine';

const description = 'Brings the engines of its availability zone to what the manifest says.';
const seedRange = 0x7fff_ffff;

async function runSteward(): Promise<void> {
	const file = await parseSettingsOption('anvilroad-steward', description);
	const settings = loadSettingsOrExit(stewardSettingsSchema, file);
	const logger = pino({
		name: `anvilroad-steward ${settings.instance.id}`,
		level: settings.log.level,
		timestamp: pino.stdTimeFunctions.isoTime,
	});
	const timers = new SystemTimerService();
	const random = new SeededRandom(randomInt(seedRange));
	const steward = new StewardProcess(settings, timers, random, new LogAuditRecorder(logger), logger);
	const stop = (): void => {
		logger.info('steward stopped');
		steward.dispose();
		timers.dispose();
		process.exit(0);
	};
	process.on('SIGTERM', stop);
	process.on('SIGINT', stop);
	await steward.open();
}

void runSteward().catch((error: unknown) => {
	process.stderr.write(`${error instanceof Error ? error.message : String(error)}\n`);
	process.exit(1);
});
