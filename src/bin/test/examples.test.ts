import { readdirSync, readFileSync } from 'node:fs';
import { join } from 'node:path';
import { parseManifest } from '../../core/manifest/common/manifest';
import { entrySettingsSchema } from '../../core/settings/common/entrySettings';
import { parseSettings } from '../../core/settings/common/settings';
import { instanceListSchema } from '../../standin/common/instanceList';
import { standinSettingsSchema } from '../../standin/common/standinSettings';

const folder = join(__dirname, '../../../examples');

function readExample(deployment: string, file: string): string {
	return readFileSync(join(folder, deployment, file), 'utf8');
}

function listFiles(deployment: string, prefix: string): string[] {
	return readdirSync(join(folder, deployment)).filter(file => file.startsWith(prefix));
}

describe.each([
	{ deployment: 'braithwaite', entryCount: 7, targetCounts: [8, 3] },
	{ deployment: 'omaruru', entryCount: 6, targetCounts: [6, 3] },
])('the example $deployment', ({ deployment, entryCount, targetCounts }) => {
	const manifest = parseManifest(readExample(deployment, 'manifest.json'))._unsafeUnwrap();
	const { instances } = instanceListSchema.parse(JSON.parse(readExample(deployment, 'instances.json')));
	const entries = listFiles(deployment, 'entry-').map(file =>
		parseSettings(entrySettingsSchema, readExample(deployment, file))._unsafeUnwrap(),
	);
	const standins = listFiles(deployment, 'standin-').map(file =>
		parseSettings(standinSettingsSchema, readExample(deployment, file))._unsafeUnwrap(),
	);

	it('has the regions, entries and targets of the deployment', () => {
		expect(manifest.regions).toHaveLength(3);
		expect(manifest.links).toHaveLength(3);
		const counts = manifest.services.map(
			service => manifest.targets.filter(target => target.service === service.name).length,
		);
		expect(counts).toEqual(targetCounts);
		expect(entries).toHaveLength(entryCount);
	});

	it('names the same entries in settings and instance list', () => {
		const expected = entries.map(({ instance, callers, peers }) => ({
			...instance,
			kind: 'entry',
			callerUrl: callers.url,
			peerUrl: peers.url,
			state: 'live',
		}));
		expect(expected).toEqual(expect.arrayContaining(instances));
		expect(instances).toHaveLength(entries.length);
	});

	it('simulates each target on the port that the manifest names', () => {
		const listening = standins.flatMap(({ engine, plain }) =>
			Object.entries({ ...engine, ...plain }).map(([name, { listen }]) => `${name} ${listen.port}`),
		);
		const wanted = manifest.targets.map(target => `${target.id} ${new URL(target.url).port}`);
		expect(listening.sort()).toEqual(wanted.sort());
	});

	it('routes connections to entries of other regions through their simulated links', () => {
		const links = standins.flatMap(({ link }) => Object.values(link));
		for (const entry of entries) {
			const remote = entries.filter(other => other.instance.region !== entry.instance.region);
			expect(Object.keys(entry.peer_routes).sort()).toEqual(remote.map(other => other.peers.url).sort());
			for (const [peerUrl, linkUrl] of Object.entries(entry.peer_routes)) {
				const link = links.find(({ listen }) => `http://${listen.host}:${listen.port}` === linkUrl);
				expect(`http://${link?.to.host ?? ''}:${link?.to.port ?? ''}`).toBe(peerUrl);
				expect(link?.one_way_ms).toBe(55);
			}
		}
	});

	it('uses each port for one listener only', () => {
		const ports = [
			...entries.flatMap(({ callers, peers, operators }) => [callers, peers, operators]),
			...standins.flatMap(({ admin, platform, engine, plain, link }) => [
				admin,
				...(platform === undefined ? [] : [platform]),
				...Object.values({ ...engine, ...plain, ...link }),
			]),
		].map(listener => ('listen' in listener ? listener.listen.port : Number.NaN));
		expect(new Set(ports).size).toBe(ports.length);
	});
});
