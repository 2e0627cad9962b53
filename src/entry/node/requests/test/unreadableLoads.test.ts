import type { ServiceName, TargetId } from '../../../../core/ids/common/ids';
import { EntryMetrics } from '../../../../core/telemetry/node/entryMetrics';
import { UnreadableLoads } from '../unreadableLoads';

const service = 'chat' as ServiceName;

describe('UnreadableLoads', () => {
	// Guards against load reports that are lost without a sign after an update of the targets, and against a log that
	// such an update fills.
	it('counts each header and logs the first of each target', async () => {
		const metrics = new EntryMetrics({ version: '1', instance: 'entry-1', region: 'r', zone: 'r-a' });
		metrics.setServices([service]);
		const lines: object[] = [];
		const loads = new UnreadableLoads(metrics, fields => {
			lines.push(fields);
		});
		loads.noteUnreadable(service, 'target-1' as TargetId, 'x'.repeat(1_000));
		loads.noteUnreadable(service, 'target-1' as TargetId, '3;1;8');
		loads.noteUnreadable(service, 'target-2' as TargetId, '3;1;8');
		expect(await metrics.render()).toContain('anvilroad_unreadable_load_headers_total{service="chat"} 3');
		expect(lines).toEqual([
			{ service, target: 'target-1', load: 'x'.repeat(64) },
			{ service, target: 'target-2', load: '3;1;8' },
		]);
	});
});
