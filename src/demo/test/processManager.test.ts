import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { SystemTimerService } from '../../base/node/systemTimerService';
import { ProcessManager, isCleanEnd } from '../node/processManager';

const timeoutMs = 10_000;

const stopsOnSigterm = `process.on('SIGTERM', () => { console.log('leaving'); process.exit(0); });
setInterval(() => console.log('beat'), 5);`;
const exitsWithError = `console.error('no such file'); process.exitCode = 2;`;

describe('ProcessManager', () => {
	const folder = mkdtempSync(join(tmpdir(), 'process-manager-test-'));
	const timers = new SystemTimerService();
	const processManager = new ProcessManager(timers);

	function createProgram(name: string, text: string): string {
		const file = join(folder, `${name}.cjs`);
		writeFileSync(file, text);
		return file;
	}

	afterAll(() => {
		processManager.dispose();
		timers.dispose();
		rmSync(folder, { recursive: true });
	});

	const matchBeat = (line: string): boolean | undefined => (line === 'beat' ? true : undefined);

	it('stops a process with SIGTERM and collects its output', async () => {
		const program = createProgram('obedient', stopsOnSigterm);
		const managed = processManager.start({ name: 'obedient', program, args: [] });
		await managed.waitForLine(matchBeat);
		const report = await processManager.stop('obedient', timeoutMs);
		expect(isCleanEnd(report.end)).toBe(true);
		expect(managed.listLines().at(-1)).toBe('leaving');
	});

	// A frozen process keeps its connections but does not respond, not even to SIGTERM. It must be killed, and
	// the report must not show this as a regular exit.
	it('kills a frozen process that does not stop, and restarts it', async () => {
		const program = createProgram('frozen', stopsOnSigterm);
		const managed = processManager.start({ name: 'frozen', program, args: [] });
		await managed.waitForLine(matchBeat);
		processManager.freeze('frozen');
		const report = await processManager.stop('frozen', 200);
		expect(report.end).toBeUndefined();
		expect(managed.getEnd()?.signal).toBe('SIGKILL');
		const restarted = await processManager.startAgain('frozen');
		await restarted.waitForLine(matchBeat);
		expect(restarted.pid).not.toBe(managed.pid);
		expect((await processManager.kill('frozen')).signal).toBe('SIGKILL');
	});

	it('resumes a frozen process', async () => {
		const program = createProgram('resumed', stopsOnSigterm);
		const managed = processManager.start({ name: 'resumed', program, args: [] });
		await managed.waitForLine(matchBeat);
		processManager.freeze('resumed');
		processManager.resume('resumed');
		expect(isCleanEnd((await processManager.stop('resumed', timeoutMs)).end)).toBe(true);
	});

	it('fails with the output when a process exits before the expected line', async () => {
		const program = createProgram('failing', exitsWithError);
		const managed = processManager.start({ name: 'failing', program, args: [] });
		await expect(managed.waitForLine(matchBeat)).rejects.toThrow('no such file');
		expect(isCleanEnd(await managed.end)).toBe(false);
	});
});
