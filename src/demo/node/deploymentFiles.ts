/**
 * A copy of the files of an example deployment in a temporary folder, changed to use free ports.
 */

import { mkdtempSync, readdirSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import type { IDisposable } from '../../base/common/lifecycle';
import type { Manifest } from '../../core/manifest/common/manifest';
import { parseManifest } from '../../core/manifest/common/manifest';
import type { EntrySettings } from '../../core/settings/common/entrySettings';
import { entrySettingsSchema } from '../../core/settings/common/entrySettings';
import { parseSettings } from '../../core/settings/common/settings';
import { applyPortMap, listPorts } from '../common/portMap';
import { findFreePorts } from './freePorts';

const settingsSuffix = '.ini';
const entryPrefix = 'entry-';
const standinPrefix = 'standin-';

/** The copied files of a deployment. Disposing removes the temporary folder. */
export class DeploymentFiles implements IDisposable {
	private constructor(
		private readonly folder: string,
		private readonly texts: ReadonlyMap<string, string>,
	) {}

	/** Copies an example and replaces its ports with ports that are free on this machine. */
	static async open(exampleFolder: string): Promise<DeploymentFiles> {
		const names = readdirSync(exampleFolder).filter(name => /\.(ini|json)$/.test(name));
		const originals = names.map(name => readFileSync(join(exampleFolder, name), 'utf8'));
		const ports = listPorts(originals);
		const freePorts = await findFreePorts(ports.length);
		const portMap = new Map(ports.map((port, index) => [port, freePorts[index] ?? port]));
		const folder = mkdtempSync(join(tmpdir(), 'anvilroad-'));
		const texts = new Map(names.map((name, index) => [name, applyPortMap(originals[index] ?? '', portMap)]));
		for (const [name, text] of texts) {
			writeFileSync(join(folder, name), text);
		}
		return new DeploymentFiles(folder, texts);
	}

	dispose(): void {
		rmSync(this.folder, { recursive: true, force: true });
	}

	/** Lists the names of the entries, which are the names of their settings files without the suffix. */
	listEntryNames(): string[] {
		return this.listNames(entryPrefix);
	}

	listStandinNames(): string[] {
		return this.listNames(standinPrefix);
	}

	getSettingsPath(name: string): string {
		return join(this.folder, `${name}${settingsSuffix}`);
	}

	readManifest(): Manifest {
		return parseManifest(this.readText('manifest.json'))._unsafeUnwrap();
	}

	readInstances(): string {
		return this.readText('instances.json');
	}

	readEntrySettings(name: string): EntrySettings {
		return parseSettings(entrySettingsSchema, this.readText(`${name}${settingsSuffix}`))._unsafeUnwrap();
	}

	private listNames(prefix: string): string[] {
		return [...this.texts.keys()]
			.filter(name => name.startsWith(prefix) && name.endsWith(settingsSuffix))
			.map(name => name.slice(0, -settingsSuffix.length));
	}

	private readText(name: string): string {
		const text = this.texts.get(name);
		if (text === undefined) {
			throw new Error(`the example deployment has no file ${name}`);
		}
		return text;
	}
}
