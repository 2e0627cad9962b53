import { RingAuditTrail } from '../../../core/audit/common/ringAuditTrail';
import type { BootId, InstanceId } from '../../../core/ids/common/ids';
import { InstanceLifecycles } from '../../../core/instances/common/instanceLifecycles';
import { createView } from '../fleet/test/views';
import { countPeersByState } from '../operatorsSource';

describe('countPeers', () => {
	// Half of the fleet is lost. The alert on live peers only fires if entries that are silent, leaving or gone
	// are not counted as live.
	it('counts the other entries by state, without those that are gone', () => {
		const lifecycles = new InstanceLifecycles(new RingAuditTrail(10, () => new Date(0)));
		const boots = ['live', 'also-live', 'leaving', 'silent'];
		boots.forEach((boot, index) => {
			const spoken = { instance: `entry-${index}` as InstanceId, boot: boot as BootId, ageMs: 0 };
			const isLeaving = boot === 'leaving';
			lifecycles.noteReport({ ...spoken, peerUrl: `http://127.0.0.1:${index + 1}`, isLeaving }, 'peer', 0);
		});
		const views = [...boots, 'gone'].map(bootId => ({
			view: createView('entry', { bootId: bootId as BootId }),
			ageMs: 0,
			isSuspect: false,
		}));
		const [first, second, third] = boots as BootId[];
		for (const boot of [first, second, third]) {
			lifecycles.findBoot(boot!)?.lifecycle.noteReport(5_000, boot === 'leaving', 'peer');
		}
		lifecycles.expire(5_000);
		const counts = countPeersByState({ getLifecycles: () => lifecycles, listViews: () => views });
		expect(Object.fromEntries(counts)).toEqual({ live: 2, leaving: 1, suspect: 1 });
	});
});
