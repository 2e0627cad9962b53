#!/usr/bin/env node
/**
 * `anvilroad-entry`: runs one entry, the gateway instance that accepts requests and forwards them to targets.
 */

import { PlatformEnvironment } from '../../platform/node/platformEnvironment';
import { Entry } from '../entry/node/entry';
import type { IEntryEnvironment } from '../entry/node/environment/entryEnvironment';
import { NativeEnvironment } from '../entry/node/environment/nativeEnvironment';
import type { EntrySettings } from '../core/settings/common/entrySettings';
import { entrySettingsSchema, isStoreEntry } from '../core/settings/common/entrySettings';
import { loadSettingsOrExit } from '../core/settings/node/loadSettings';
import { watchReloadSignal } from '../core/settings/node/settingsReload';
import { createLogger } from '../core/telemetry/node/logger';
import { version } from '../../package.json';
import { parseSettingsOption } from './commandLine';

const description =
	'Gateway instance that accepts, admits and routes requests, and answers each once inside its region.';

function createEnvironment(settings: EntrySettings): IEntryEnvironment {
	return isStoreEntry(settings) ? new PlatformEnvironment(settings) : new NativeEnvironment(settings);
}

async function runEntry(): Promise<void> {
	const file = await parseSettingsOption('anvilroad-entry', description);
	const settings = loadSettingsOrExit(entrySettingsSchema, file);
	const logger = createLogger(`anvilroad-entry ${settings.instance.id}`, settings.log.level);
	const entry = new Entry(settings, createEnvironment(settings), logger, version);
	watchReloadSignal(file, entrySettingsSchema, settings, logger);
	const stopAndExit = (signal: NodeJS.Signals): void => {
		// Open connections to peers and callers that vanished without closing would keep the process alive for
		// minutes.
		void entry.stop(signal).then(() => process.exit(0));
	};
	// Without a listener, a repeated SIGTERM would end the process at once. A second interrupt from the keyboard may.
	process.on('SIGTERM', stopAndExit);
	process.once('SIGINT', stopAndExit);
	await entry.start();
}

void runEntry().catch((error: unknown) => {
	process.stderr.write(`${error instanceof Error ? error.message : String(error)}\n`);
	process.exit(1);
});
