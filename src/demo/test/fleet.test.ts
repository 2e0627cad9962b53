import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { SystemTimerService } from '../../base/node/systemTimerService';
import { Fleet, isCleanEnd } from '../node/fleet';

const limitMs = 10_000;

const obedient = `process.on('SIGTERM', () => { console.log('leaving'); process.exit(0); });
setInterval(() => console.log('beat'), 5);`;
const failing = `console.error('no such file'); process.exitCode = 2;`;

describe('Fleet', () => {
	const folder = mkdtempSync(join(tmpdir(), 'fleet-test-'));
	const timers = new SystemTimerService();
	const fleet = new Fleet(timers);

	function createProgram(name: string, text: string): string {
		const file = join(folder, `${name}.cjs`);
		writeFileSync(file, text);
		return file;
	}

	afterAll(() => {
		fleet.dispose();
		timers.dispose();
		rmSync(folder, { recursive: true });
	});

	const findBeat = (line: string): boolean | undefined => (line === 'beat' ? true : undefined);

	it('asks a process to stop and collects what it printed', async () => {
		const program = createProgram('obedient', obedient);
		const managed = fleet.start({ name: 'obedient', program, commandLine: [] });
		await managed.waitForLine(findBeat);
		const report = await fleet.stop('obedient', limitMs);
		expect(isCleanEnd(report.end)).toBe(true);
		expect(managed.listLines().at(-1)).toBe('leaving');
	});

	// A process that is frozen keeps its connections but answers nothing, not even a request to stop. The
	// harness has to kill it and must not report that as an end by itself.
	it('kills a frozen process that does not stop, and starts it again', async () => {
		const program = createProgram('frozen', obedient);
		const managed = fleet.start({ name: 'frozen', program, commandLine: [] });
		await managed.waitForLine(findBeat);
		fleet.freeze('frozen');
		const report = await fleet.stop('frozen', 200);
		expect(report.end).toBeUndefined();
		expect(managed.getEnd()?.signal).toBe('SIGKILL');
		const again = await fleet.startAgain('frozen');
		await again.waitForLine(findBeat);
		expect(again.pid).not.toBe(managed.pid);
		expect((await fleet.kill('frozen')).signal).toBe('SIGKILL');
	});

	it('lets a frozen process go on', async () => {
		const program = createProgram('resumed', obedient);
		const managed = fleet.start({ name: 'resumed', program, commandLine: [] });
		await managed.waitForLine(findBeat);
		fleet.freeze('resumed');
		fleet.resume('resumed');
		expect(isCleanEnd((await fleet.stop('resumed', limitMs)).end)).toBe(true);
	});

	it('tells of a process that ends before the line that is waited for', async () => {
		const program = createProgram('failing', failing);
		const managed = fleet.start({ name: 'failing', program, commandLine: [] });
		await expect(managed.waitForLine(findBeat)).rejects.toThrow('no such file');
		expect(isCleanEnd(await managed.end)).toBe(false);
	});
});
