import type { AuditRecorder } from '../common/orderAudit';
import { OrderAudit } from '../common/orderAudit';
import { OrderEventKind } from '../common/orderEvents';
import { createTarget } from './stewardFixtures';

function createAudit(): { audit: OrderAudit; signs: string[] } {
	const signs: string[] = [];
	const trail: AuditRecorder = { record: change => signs.push(change.sign) };
	return { audit: new OrderAudit(trail), signs };
}

describe('OrderAudit', () => {
	it('tells once of an engine that ignores its orders for a day, and again for the next version', () => {
		// An engine says yes to each order and follows none. A line for each attempt would fill the trail, and
		// whoever looks for another change would no longer find it there.
		const { audit, signs } = createAudit();
		const note = (kind: OrderEventKind, version: number): void => {
			audit.note({ kind, target: createTarget(version, true), state: undefined, detail: `${version}` });
		};
		for (let attempt = 0; attempt < 10; attempt++) {
			note(OrderEventKind.Accepted, 1);
			note(OrderEventKind.Ignored, 1);
		}
		note(OrderEventKind.Accepted, 2);
		note(OrderEventKind.InForce, 2);
		note(OrderEventKind.Accepted, 2);
		note(OrderEventKind.InForce, 2);
		expect(signs).toEqual([
			'accepted: 1',
			'ignored: 1',
			'accepted: 2',
			'in-force: 2',
			'accepted: 2',
			'in-force: 2',
		]);
	});
});
