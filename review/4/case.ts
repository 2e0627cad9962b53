/**
 * One machine is partitioned from the store, silently. A server then reports that it leaves. See claim.txt.
 */

import { runCase } from '../common/caseRunner';
import { bounds } from '../common/entry';
import { Load, recordRuns } from '../common/load';
import { waitFor } from '../common/ports';
import { Proxy } from '../common/proxy';
import { addEntries, Site, zone } from '../common/site';

const serverIds = ['i-1', 'i-2', 'i-3', 'i-4'];
const perSecond = 80;
/** From the beginning of the partition to the server's report. */
const reportDelayMs = 300;
/** The server serves for `drain_ms` after its report was accepted and a little longer, and then exits. */
const exitDelayMs = bounds.drain_ms + 1_000;

runCase(__dirname.replace(/target\/review\/(review\/\d)$/, '$1'), async context => {
	const site = new Site();
	await site.open(serverIds.map(id => ({ id, service: 'bookings', zone, slots: 6, runMs: 86 })));
	const storePort = Number(site.storeAddress.split(':')[1]);
	const links: Proxy[] = [];
	const entries = await addEntries(context, async () => {
		const link = new Proxy(storePort);
		links.push(link);
		return link.open();
	});
	await context.startEntries();
	await waitFor(7_000);
	const settles = new Load(context, 'job-settle', entries, count => ({
		method: 'POST',
		path: '/settle/job',
		deadlineMs: 2_000,
		body: `job ${count}`,
	}));
	settles.start(perSecond);
	await waitFor(2_000);
	// The machine that reads from the other one says so in its log. The other one is cut off.
	const reader = entries.findIndex(entry => entry.listLines('watches the store for this entry').length > 0);
	const cutOff = reader === 0 ? 1 : 0;
	context.print(`${entries[1 - cutOff]?.options.node ?? ''} is in touch all the time`);
	if (context.hasTrouble) {
		context.print(`${entries[cutOff]?.options.node ?? ''} is partitioned from the store`);
		links[cutOff]?.cut();
	}
	await waitFor(reportDelayMs);
	const leaving = site.targets.find(({ options }) => options.id === 'i-2');
	if (leaving === undefined) {
		throw new Error('no server to leave');
	}
	const acknowledgedMs = site.drain(leaving);
	context.print('i-2 reports that it is draining, and the store has accepted that');
	await waitFor(exitDelayMs);
	context.print('i-2 exits');
	await leaving.kill();
	site.store.remove('servers/i-2');
	await waitFor(3_000);
	await settles.stop();
	recordRuns(context, site.targets);
	const nodes = new Map(settles.replies.map(({ id, node }) => [id, node]));
	const inTouch = entries[1 - cutOff]?.options.node;
	const delays = leaving.runs
		.filter(({ id }) => nodes.get(id) === inTouch)
		.map(({ atMs }) => atMs - acknowledgedMs);
	const late = delays.filter(delayMs => delayMs > bounds.drain_ms);
	context.print(
		`requests that ${inTouch ?? ''} sent to i-2 later than ${bounds.drain_ms} ms after the acknowledgement: ` +
			`${late.length}, the last after ${Math.max(...delays)} ms`,
	);
	const ran = new Set(leaving.runs.filter(({ atMs }) => atMs >= acknowledgedMs).map(({ id }) => id));
	const lost = settles.replies.filter(({ id, status }) => ran.has(id) && status !== 200);
	context.print(
		`payments that i-2 ran after the acknowledgement and that got no answer of it: ${lost.length}`,
	);
	return late.length === 0;
});
