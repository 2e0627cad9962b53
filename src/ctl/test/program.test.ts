import { execFile } from 'node:child_process';
import { rmSync } from 'node:fs';
import { join } from 'node:path';
import { OperatorsServer } from '../../core/operators/node/operatorsServer';
import { createMetricsPage, createSource } from '../../core/operators/test/operatorsFixtures';
import { ExitCode } from '../common/exitCode';
import { buildSources } from './compiledSources';

interface ProgramResult {
	readonly code: unknown;
	readonly stdout: string;
	readonly stderr: string;
}

const unreachableUrl = 'http://127.0.0.1:1';
let folder = '';

beforeAll(() => {
	folder = buildSources(['base', 'core', 'ctl', 'bin']);
});

afterAll(() => {
	rmSync(folder, { recursive: true });
});

function runProgram(
	args: readonly string[],
	environment: Record<string, string> = {},
): Promise<ProgramResult> {
	return new Promise(resolve => {
		const program = join(folder, 'src/bin/ctl.js');
		execFile(process.execPath, [program, ...args], { env: environment }, (error, stdout, stderr) => {
			resolve({ code: error === null ? ExitCode.Success : error.code, stdout, stderr });
		});
	});
}

describe('anvilroadctl', () => {
	it.each([
		[['statsu'], 'Did you mean status?'],
		[['status'], "name an entry's operators' port"],
		[['status', '--entry', 'entry-1'], 'is not a URL'],
		[['status', '--entry', unreachableUrl, '--bogus'], 'Unknown argument: bogus'],
		[['status', '--entry', unreachableUrl, '--timeout-ms', 'soon'], '--timeout-ms is a whole number'],
		[['status', '--entry', unreachableUrl, '--ca-file', 'no-such-file'], '--ca-file no-such-file: '],
		[['trail', '--entry', unreachableUrl, '--most', '0'], '--most is a whole number'],
		[['check'], 'name what to check'],
		[['check', 'manifest', 'no-such-file'], 'no such file'],
	])('rejects %j with exit code 2 and an error message', async (args, problem) => {
		const result = await runProgram(args);
		expect(result).toMatchObject({ code: ExitCode.BadUsage, stdout: '' });
		expect(result.stderr).toContain(problem);
	});

	it('prints its help and version', async () => {
		const [help, version] = await Promise.all([runProgram(['--help']), runProgram(['--version'])]);
		expect(help).toMatchObject({ code: ExitCode.Success, stderr: '' });
		expect(help.stdout).toContain('anvilroadctl explain <request-id>');
		expect(version.code).toBe(ExitCode.Success);
		expect(version.stdout).toMatch(/^\d+\.\d+\.\d+\n$/);
	});

	it('reads entries from the environment and from repeated options', async () => {
		const server = new OperatorsServer(createSource(), createMetricsPage());
		const { host, port } = await server.start({ host: '127.0.0.1', port: 0 });
		const url = `http://${host}:${port}`;
		const [fine, partly] = await Promise.all([
			runProgram(['status'], { ANVILROAD_ENTRY: `${url}/, ` }),
			runProgram(['status', '--entry', url, '--entry', unreachableUrl]),
		]);
		server.dispose();
		expect(fine).toMatchObject({ code: ExitCode.Success, stderr: '' });
		expect(fine.stdout).toContain('entry-kingston-1  kingston/kingston-a');
		expect(partly.code).toBe(ExitCode.Failure);
		expect(partly.stdout).toContain('entry-kingston-1  kingston/kingston-a');
		expect(partly.stderr).toContain(`${unreachableUrl}: unreachable`);
	});
});
