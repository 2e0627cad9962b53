/**
 * Entries are stopped as planned, and killed, while they pass on answers that have no length. See claim.txt.
 */

import { runCase } from '../common/caseRunner';
import { bounds } from '../common/entry';
import type { LoadReply } from '../common/load';
import { Load, recordRuns } from '../common/load';
import { waitFor } from '../common/ports';
import { addEntries, Site, zone } from '../common/site';

const pieces = 18;
const pieceMs = 500;
const perSecond = 1.5;
const deadlineMs = 10_000;
const wholeBody = Array.from({ length: pieces }, (_, index) => `piece ${index + 1} of ${pieces};`).join('');

function isCutAsComplete({ status, isComplete, body }: LoadReply): boolean {
	return status === 200 && isComplete && body !== wholeBody;
}

runCase(__dirname.replace(/target\/review\/(review\/\d)$/, '$1'), async context => {
	const site = new Site();
	const figures = { service: 'bookings', zone, slots: 6, runMs: 20, unframedPieces: pieces, pieceMs };
	await site.open(['i-1', 'i-2', 'i-3'].map(id => ({ id, ...figures })));
	const entries = await addEntries(context, () => Promise.resolve(site.storeAddress));
	await context.startEntries();
	await waitFor(2_000);
	const exports = new Load(context, 'round-export', entries, count => ({
		method: 'GET',
		path: `/export/${count}`,
		deadlineMs,
	}));
	exports.start(perSecond);
	await waitFor(4_000);
	const [stopped, killed] = entries;
	if (stopped === undefined || killed === undefined) {
		throw new Error('no entries');
	}
	if (context.hasTrouble) {
		context.print(`${stopped.options.node} gets SIGTERM`);
		stopped.stop();
		await waitFor(bounds.grace_s * 1_000);
		context.record(`${stopped.options.node} ${stopped.isRunning() ? 'still runs' : 'has ended'}`);
		stopped.kill();
		await waitFor(500);
		stopped.start(entries.map(({ control }) => control));
		await stopped.waitUntilReady();
		await waitFor(3_000);
		context.print(`${killed.options.node} is killed`);
		killed.kill();
	} else {
		await waitFor(bounds.grace_s * 1_000 + 3_500);
	}
	await waitFor(1_000);
	await exports.stop();
	recordRuns(context, site.targets);
	const complete = exports.replies.filter(({ status, isComplete }) => status === 200 && isComplete);
	for (const { id, node, stamp, body } of exports.replies.filter(isCutAsComplete)) {
		const last = body.split(';').at(-2) ?? 'nothing';
		context.print(`${id} by ${node}: 200, stamp ${stamp ?? 'none'}, ended as complete after ${last}`);
	}
	const counts = entries.map(({ options: { node } }) => {
		const cut = exports.replies.filter(reply => reply.node === node && isCutAsComplete(reply)).length;
		return `${cut} of ${node}`;
	});
	context.print(`${complete.length} complete successes, without all pieces: ${counts.join(', ')}`);
	return !exports.replies.some(isCutAsComplete);
});
