/**
 * An entry is killed while it passes on answers that have no length. See claim.txt.
 */

import { runCase } from '../common/caseRunner';
import { Load, recordRuns } from '../common/load';
import { waitFor } from '../common/ports';
import { addEntries, Site, zone } from '../common/site';

const pieces = 10;
const perSecond = 15;

runCase(__dirname.replace(/target\/review\/(review\/\d)$/, '$1'), async context => {
	const site = new Site();
	const figures = { service: 'bookings', zone, slots: 6, runMs: 20, unframedPieces: pieces, pieceMs: 60 };
	await site.open(['i-1', 'i-2', 'i-3'].map(id => ({ id, ...figures })));
	const entries = await addEntries(context, () => Promise.resolve(site.storeAddress));
	await context.startEntries();
	await waitFor(2_000);
	const lookups = new Load(context, 'visit-lookup', entries, count => ({
		method: 'GET',
		path: `/visits/${count}`,
		deadlineMs: 4_000,
	}));
	lookups.start(perSecond);
	await waitFor(3_000);
	const [killed] = entries;
	if (context.hasTrouble && killed !== undefined) {
		context.print(`${killed.options.node} is killed`);
		killed.kill();
	}
	await waitFor(2_000);
	await lookups.stop();
	recordRuns(context, site.targets);
	const whole = Array.from({ length: pieces }, (_, index) => `piece ${index + 1} of ${pieces};`).join('');
	const complete = lookups.replies.filter(({ status, isComplete }) => status === 200 && isComplete);
	const cut = complete.filter(({ body }) => body !== whole);
	for (const { id, node, stamp, body } of cut) {
		context.print(`${id} by ${node}: 200, stamp ${stamp ?? 'none'}, ended as complete after "${body}"`);
	}
	context.print(`${complete.length} complete successes, ${cut.length} of them without all pieces`);
	return cut.length === 0;
});
