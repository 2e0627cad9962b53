/**
 * Another writer puts an entry into the store whose address can't be read. See claim.txt.
 */

import { runCase } from '../common/caseRunner';
import { Load, recordRuns } from '../common/load';
import { waitFor } from '../common/ports';
import { addEntries, Site, zone } from '../common/site';

const observedMs = 15_000;
/** The platform starts a process that has ended again after a short delay. */
const restartDelayMs = 500;
const pollMs = 50;
/** Processes that end by themselves so often, on so many machines, are a fault. */
const maxOwnEnds = 3;
const minMachines = 2;

runCase(__dirname.replace(/target\/review\/(review\/\d)$/, '$1'), async context => {
	const site = new Site();
	await site.open(['i-1', 'i-2'].map(id => ({ id, service: 'bookings', zone, slots: 6, runMs: 20 })));
	const entries = await addEntries(context, () => Promise.resolve(site.storeAddress));
	await context.startEntries();
	await waitFor(2_000);
	const lookups = new Load(context, 'visit-lookup', entries, count => ({
		method: 'GET',
		path: `/visits/${count}`,
		deadlineMs: 2_000,
	}));
	lookups.start(30);
	await waitFor(3_000);
	const fromMs = Date.now();
	if (context.hasTrouble) {
		const [sound] = site.targets;
		context.print('another writer puts servers/i-other with the address 127.0.0.1:99999');
		site.store.put('servers/i-other', { ...sound?.describe(), address: '127.0.0.1:99999' });
	}
	const seeds = entries.map(({ control }) => control);
	while (Date.now() < fromMs + observedMs) {
		for (const entry of entries.filter(each => !each.isRunning())) {
			context.record(`${entry.options.node} has ended with ${String(entry.ownEnds.at(-1))}`);
			await waitFor(restartDelayMs);
			entry.start(seeds);
		}
		await waitFor(pollMs);
	}
	await lookups.stop();
	recordRuns(context, site.targets);
	const describe = (sent: readonly { status: number | undefined }[]): string =>
		`${sent.filter(({ status }) => status === 200).length} of ${sent.length} served`;
	context.print(`visit-lookup before: ${describe(lookups.listSent(0, fromMs))}`);
	context.print(`visit-lookup after: ${describe(lookups.listSent(fromMs))}`);
	for (const entry of entries) {
		const reason = /^\w*Error: .*$/m.exec(entry.readOutput())?.[0] ?? 'none';
		context.print(`${entry.options.node} ended by itself ${entry.ownEnds.length} times, error: ${reason}`);
	}
	return entries.filter(({ ownEnds }) => ownEnds.length >= maxOwnEnds).length < minMachines;
});
