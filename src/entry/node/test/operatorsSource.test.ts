import { ManualTimerService } from '../../../base/common/manualTimerService';
import { RingAuditTrail } from '../../../platform/audit/common/ringAuditTrail';
import type { BootId, InstanceId } from '../../../platform/ids/common/ids';
import { InstanceLives } from '../../../platform/instances/common/instanceLives';
import type { DescribedInstance, OperatorsParts } from '../operatorsSource';
import { EntryOperatorsSource } from '../operatorsSource';

function createSource(lives: InstanceLives, boots: readonly string[]): EntryOperatorsSource {
	const views = boots.map(bootId => ({ view: { bootId }, ageMs: 0 }));
	const fleet = { getLives: () => lives, listViews: () => views };
	const parts = { fleet, timers: new ManualTimerService() } as unknown as OperatorsParts;
	return new EntryOperatorsSource({} as DescribedInstance, 0, parts);
}

describe('countPeers', () => {
	// Half of the fleet is lost. The alert on live peers rings only if those that fell silent, that leave and
	// that are gone no longer count as live.
	it('tells the other entries by state, without those that are gone', () => {
		const lives = new InstanceLives(new RingAuditTrail(10, () => new Date(0)));
		const boots = ['live', 'also-live', 'leaving', 'silent'];
		boots.forEach((boot, index) => {
			const spoken = { instance: `entry-${index}` as InstanceId, boot: boot as BootId, ageMs: 0 };
			const isLeaving = boot === 'leaving';
			lives.noteHeard({ ...spoken, peerUrl: `http://127.0.0.1:${index + 1}`, isLeaving }, 'peer', 0);
		});
		for (const boot of boots.slice(0, 3)) {
			lives.findBoot(boot as BootId)?.life.noteHeard(5_000, boot === 'leaving', 'peer');
		}
		lives.expire(5_000);
		const counts = createSource(lives, [...boots, 'gone']).countPeers();
		expect(Object.fromEntries(counts)).toEqual({ live: 2, leaving: 1, suspect: 1 });
	});
});
