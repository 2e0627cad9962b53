import { RingAuditTrail } from '../../../../core/audit/common/ringAuditTrail';
import { Channel } from '../../../../base/common/channel';
import { ManualTimerService } from '../../../../base/common/manualTimerService';
import { SeededRandom } from '../../../../base/common/random';
import type { ServiceName } from '../../../../core/ids/common/ids';
import { RepeatRule } from '../../../../core/manifest/common/manifest';
import { NativeTargetDialect } from '../../../common/dialect/nativeTargetDialect';
import { ManifestIndex } from '../../../common/placement/manifestIndex';
import { openStartGate } from '../../../common/intake/test/startGates';
import { Quarantine } from '../../../common/quarantine/quarantine';
import { ServiceScheduler } from '../../../common/scheduling/scheduler';
import type { ISendAwayPolicy } from '../../../common/sendAway/sendAwayPolicy';
import type { ManifestKeeper } from '../../manifest/manifestKeeper';
import type { EntrySharing, ITargetRegistry } from '../../targets/targetDirectory';
import { CrashDetector } from '../crashDetector';
import { ServiceRunners } from '../serviceRunners';
import { createFlowManifest } from './flowFixtures';

const service = 'bookings' as ServiceName;

interface RunnersFixture {
	readonly timers: ManualTimerService;
	readonly runners: ServiceRunners;
	/** Emits changes of the targets. */
	readonly targetChanges: Channel<ServiceName>;
	setSharing(sharing: EntrySharing): void;
	/** Returns the shares with which the runner's targets were updated since the last call. */
	takeUpdates(): readonly EntrySharing[];
}

function createSharing(entries: number, ...others: readonly string[]): EntrySharing {
	const roster = { self: 'self', others, size: entries, isKnown: true };
	return { entries, roster: roster as unknown as EntrySharing['roster'] };
}

function createRunners(): RunnersFixture {
	const timers = new ManualTimerService();
	const targetChanges = new Channel<ServiceName>();
	const updates: EntrySharing[] = [];
	let current = createSharing(28, 'entry-0');
	const targets = {
		onDidChange: targetChanges.stream,
		listSchedulable: (_: unknown, sharing: EntrySharing) => {
			updates.push(sharing);
			return [];
		},
	} as unknown as ITargetRegistry;
	const index = new ManifestIndex(createFlowManifest(RepeatRule.Idempotent));
	const manifests = { getCurrent: () => ({ index }) } as unknown as ManifestKeeper;
	const runners = new ServiceRunners(
		manifests,
		targets,
		() => current,
		new CrashDetector(
			new Quarantine(),
			() => Promise.resolve(false),
			() => Promise.resolve(),
			timers,
		),
		{
			targets: new NativeTargetDialect(),
			createScheduler: () => new ServiceScheduler(new SeededRandom(7)),
			createSendAway: () => ({}) as ISendAwayPolicy,
		},
		timers,
		openStartGate,
		new RingAuditTrail(10, () => new Date(0)),
	);
	runners.getRunner(service);
	updates.length = 0;
	const setSharing = (sharing: EntrySharing): void => {
		current = sharing;
	};
	return { timers, runners, targetChanges, setSharing, takeUpdates: () => updates.splice(0) };
}

describe('ServiceRunners', () => {
	// Guards against entries that spend seconds on updates of their targets while dozens of entries start or fail.
	it('updates its targets once if many entries change in one turn', () => {
		const { timers, runners, setSharing, takeUpdates } = createRunners();
		for (let failed = 1; failed <= 20; failed++) {
			setSharing(createSharing(28 - failed, 'entry-0'));
			runners.updateSharing();
		}
		timers.advance(0);
		expect(takeUpdates()).toEqual([createSharing(8, 'entry-0')]);
	});

	// Guards against updates for each of the entries of other regions, which do not use the targets of this one.
	it('keeps its targets if entries change that do not share them', () => {
		const { timers, runners, takeUpdates } = createRunners();
		for (let changed = 1; changed <= 20; changed++) {
			runners.updateSharing();
			timers.advance(1);
		}
		expect(takeUpdates()).toEqual([]);
	});

	it('updates its targets at once if they change themselves', () => {
		const { targetChanges, setSharing, takeUpdates } = createRunners();
		targetChanges.emit(service);
		setSharing(createSharing(27, 'entry-1'));
		targetChanges.emit(service);
		expect(takeUpdates()).toEqual([createSharing(28, 'entry-0'), createSharing(27, 'entry-1')]);
	});

	it('updates its targets if only the entries change that may send to them', () => {
		const { timers, runners, setSharing, takeUpdates } = createRunners();
		setSharing(createSharing(28, 'entry-1'));
		runners.updateSharing();
		timers.advance(0);
		expect(takeUpdates()).toEqual([createSharing(28, 'entry-1')]);
	});
});
