/**
 * The command line of the programs that are configured by a settings file alone.
 */

import { exitCodeBadUsage } from '../core/settings/node/loadSettings';
import { version } from '../../package.json';

const settingsOption = '--settings';

/**
 * Parses `--settings FILE.ini`, `--help` and `--version`, and returns the settings file. Bad usage ends the process
 * with exit code 2. The usual command line is read without yargs, which takes 35 ms of processor time to load.
 */
export async function parseSettingsOption(programName: string, description: string): Promise<string> {
	const [option, file, ...rest] = process.argv.slice(2);
	if (option === settingsOption && file !== undefined && !file.startsWith('-') && rest.length === 0) {
		return file;
	}
	const { default: yargs } = await import('yargs');
	const options = await yargs(process.argv.slice(2))
		.scriptName(programName)
		.usage(`$0 --settings FILE.ini\n\n${description}`)
		.option('settings', { type: 'string', demandOption: true, describe: 'settings file' })
		.version(version)
		.strict()
		.help()
		.fail((message, error, parser) => {
			parser.showHelp();
			process.stderr.write(`\n${message || error.message}\n`);
			process.exit(exitCodeBadUsage);
		})
		.parseAsync();
	return options.settings;
}
