import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { pino } from 'pino';
import { z } from 'zod';
import { parseSettings } from '../common/settings';
import { watchReloadSignal } from '../node/settingsReload';

const schema = z.strictObject({
	log: z.strictObject({ level: z.enum(['info', 'debug']).default('info') }).prefault({}),
	limits: z.strictObject({ most: z.string() }),
});

interface ReloadFixture {
	readonly lines: Record<string, unknown>[];
	readonly logger: pino.Logger;
	write(text: string): void;
	end(): void;
}

function startFixture(text: string): ReloadFixture {
	const folder = mkdtempSync(join(tmpdir(), 'settings-'));
	const file = join(folder, 'entry.ini');
	writeFileSync(file, text);
	const lines: Record<string, unknown>[] = [];
	const logger = pino({}, { write: line => lines.push(JSON.parse(line) as Record<string, unknown>) });
	const watcher = watchReloadSignal(file, schema, parseSettings(schema, text)._unsafeUnwrap(), logger);
	return {
		lines,
		logger,
		write: changed => {
			writeFileSync(file, changed);
			process.emit('SIGHUP');
		},
		end: () => {
			watcher.dispose();
			rmSync(folder, { recursive: true });
		},
	};
}

describe('watchReloadSignal', () => {
	it('changes the log level at once and logs which sections take effect at the next start', () => {
		const fixture = startFixture('[limits]\nmost = 5');
		fixture.write('[limits]\nmost = 6\n[log]\nlevel = debug');
		expect(fixture.logger.level).toBe('debug');
		expect(fixture.lines).toEqual([expect.objectContaining({ reload: 'done', untilNextStart: ['limits'] })]);
		fixture.end();
	});

	// Guards against a deployment pipeline that writes a file with a misspelt key and sends SIGHUP. The process must
	// neither exit nor apply the file in part.
	it('changes nothing if the file is invalid, and logs the errors', () => {
		const fixture = startFixture('[limits]\nmost = 5');
		fixture.write('[limits]\nmots = 6\n[log]\nlevel = debug');
		expect(fixture.logger.level).toBe('info');
		expect(fixture.lines[0]).toMatchObject({ reload: 'refused' });
		fixture.end();
	});
});
