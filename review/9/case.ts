/**
 * An entry loses the path to all servers of a service in its region. Requests that were in flight there are put back into the
 * queue of a runner that has been paused because no server is reached, and stay there until the path is whole again.
 */

import { join } from 'node:path';
import type { Answer, RunningPath } from '../kit2/site';
import { findFreePort, host, Site, waitFor } from '../kit2/site';
import { Clients } from '../kit2/client';
import { connect } from 'node:net';

const hostName = 'lookups.example';
const timeoutMs = 4_000;
const deadlineMs = 8_000;
const afterTimeoutMs = 500;
const minLate = 8;
const minLateShare = 0.25;
const burst = 48;
const burstPeriodMs = 500;
const burstsBefore = 6;
const periodMs = 100;
const cutMs = 12_000;
const restartMs = 50;
/** More connections than wait at a port that accepts none. */
const fillers = 4;
/** A third of the servers are at home. */
const serversAtHome = 4;
const serversElsewhere = 8;
const place = { service: 'bookings', slots: 16, runMs: 60 };
/** More than a heartbeat of the entries, so that each knows the others. */
const settleMs = 6_000;
const hasTrouble = process.env.TROUBLE !== '0';

const configuration = {
	routes: [
		{
			name: 'visit-lookup',
			host: hostName,
			path_prefix: '/visits/',
			kind: 'idempotent',
			service: 'bookings',
			timeout_ms: timeoutMs,
			goal_ms: 500,
			attempts: 2,
			priority: 2,
		},
	],
	services: [{ name: 'bookings', max_conns: 96 }],
	limits: {
		max_header_bytes: 16_384,
		max_body_bytes: 4_194_304,
		header_timeout_ms: 3_000,
		idle_timeout_ms: 15_000,
	},
};

const bounds = {
	contact_ms: 5_000,
	grace_s: 8,
	retry_ratio: 0.2,
	retry_slack: 52,
	retry_window_s: 10,
};

/** Cuts a path silently: it passes no bytes, and new connections are not opened. */
function cutPath({ process: child, port }: RunningPath): void {
	child.kill('SIGSTOP');
	for (let count = 0; count < fillers; count++) {
		connect(port, host).on('error', () => undefined);
	}
}

/** What was held up on the path is lost. */
async function renewPath(site: Site, { process: child, port, targetPort }: RunningPath): Promise<void> {
	child.kill('SIGKILL');
	await waitFor(restartMs);
	await site.startPath(targetPort, port);
}

async function runCase(folder: string): Promise<number> {
	const site = new Site(
		{ 'kingston-a': 'kingston', 'montego-a': 'montego' },
		join(folder, 'record.txt'),
		bounds,
	);
	try {
		await site.startStore();
		await site.putConfiguration(configuration);
		const paths: RunningPath[] = [];
		for (let number = 1; number <= serversAtHome; number++) {
			const port = await findFreePort();
			const { port: targetPort } = await site.startServer(
				{ ...place, id: `kingston-${number}`, zone: 'kingston-a' },
				port,
			);
			paths.push(await site.startPath(targetPort, port));
		}
		for (let number = 1; number <= serversElsewhere; number++) {
			await site.startServer({ ...place, id: `montego-${number}`, zone: 'montego-a' });
		}
		await site.startEntries([
			{ id: 'front-kingston-a-1', zone: 'kingston-a', region: 'kingston' },
			{ id: 'front-montego-a-1', zone: 'montego-a', region: 'montego' },
			{ id: 'front-montego-a-2', zone: 'montego-a', region: 'montego' },
			{ id: 'front-montego-a-3', zone: 'montego-a', region: 'montego' },
		]);
		await waitFor(settleMs);
		const clients = new Clients(site);
		const [entry] = site.entries;
		const pending: Promise<Answer>[] = [];
		const send = (id: string): void => {
			const call = {
				id,
				port: entry?.frontPort ?? 0,
				hostName,
				method: 'GET',
				path: `/visits/${id}`,
				deadlineMs,
			};
			pending.push(clients.send(call));
		};
		for (let count = 0; count < burstsBefore; count++) {
			for (let index = 0; index < burst; index++) {
				send(`before${count}-${index}`);
			}
			await waitFor(burstPeriodMs);
		}
		await Promise.all(pending.splice(0));
		if (hasTrouble) {
			site.record('the path from front-kingston-a-1 to the servers of kingston is cut');
			paths.forEach(cutPath);
		}
		for (let count = 0; count < cutMs / periodMs; count++) {
			send(`during-${count}`);
			await waitFor(periodMs);
		}
		if (hasTrouble) {
			await Promise.all(paths.map(path => renewPath(site, path)));
			site.record('the path is whole again');
		}
		const answers = await Promise.all(pending);
		const overdue = answers.filter(({ tookMs }) => tookMs >= timeoutMs);
		const late = overdue.filter(({ tookMs }) => tookMs >= timeoutMs + afterTimeoutMs);
		const isBroken = late.length >= minLate && late.length > overdue.length * minLateShare;
		site.record(
			`${answers.length} requests, ${overdue.length} unanswered at ${timeoutMs} ms, ${late.length} unanswered ${afterTimeoutMs} ms later`,
		);
		clients.close();
		return isBroken ? 1 : 0;
	} finally {
		await site.stop();
	}
}

runCase(process.argv[2] ?? '.').then(
	code => process.exit(code),
	(error: unknown) => {
		process.stderr.write(`${String(error)}\n`);
		process.exit(2);
	},
);
