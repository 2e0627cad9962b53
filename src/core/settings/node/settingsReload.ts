/**
 * Reloads the settings file of a program on SIGHUP and logs the result. Only the log level changes at once. All
 * other settings concern open ports and running requests, and take effect at the next start. An invalid file
 * changes nothing.
 */

import { readFileSync } from 'node:fs';
import type { Logger } from 'pino';
import type { z } from 'zod';
import type { IDisposable } from '../../../base/common/lifecycle';
import { toDisposable } from '../../../base/common/lifecycle';
import { formatSettingsError, parseSettings } from '../common/settings';

/** Settings that include the log level. */
interface SettingsWithLogLevel {
	readonly log: { readonly level: string };
}

/** Reloads the settings on each SIGHUP until disposed. */
export function watchReloadSignal<TSettings extends SettingsWithLogLevel>(
	file: string,
	schema: z.ZodType<TSettings>,
	initialSettings: TSettings,
	logger: Logger,
): IDisposable {
	const reload = (): void => {
		applySettingsFile(file, schema, initialSettings, logger);
	};
	process.on('SIGHUP', reload);
	return toDisposable(() => {
		process.off('SIGHUP', reload);
	});
}

function applySettingsFile<TSettings extends SettingsWithLogLevel>(
	file: string,
	schema: z.ZodType<TSettings>,
	initialSettings: TSettings,
	logger: Logger,
): void {
	const text = readText(file);
	const parsed = parseSettings(schema, text);
	if (parsed.isErr()) {
		const faults = parsed.error.map(formatSettingsError);
		logger.warn({ reload: 'refused', faults }, 'settings reload refused');
		return;
	}
	logger.level = parsed.value.log.level;
	const pendingSections = listChangedSections(initialSettings, parsed.value).filter(
		section => section !== 'log',
	);
	logger.info({ reload: 'done', untilNextStart: pendingSections }, 'settings reloaded');
}

/** Returns an empty text for an unreadable file, so that every required key is reported as missing. */
function readText(file: string): string {
	try {
		return readFileSync(file, 'utf8');
	} catch {
		return '';
	}
}

/** Returns the names of the sections whose values differ. */
function listChangedSections(before: object, after: object): string[] {
	const oldSections = new Map(Object.entries(before));
	return Object.entries(after)
		.filter(([section, value]) => JSON.stringify(value) !== JSON.stringify(oldSections.get(section)))
		.map(([section]) => section);
}
