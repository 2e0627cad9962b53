import { RingAuditTrail } from '../../audit/common/ringAuditTrail';
import type {
	BootId,
	RegionName,
	ServiceName,
	SoftwareVersion,
	TargetId,
	TargetUrl,
	ZoneName,
} from '../../ids/common/ids';
import type { DiscoveredTarget } from '../common/discoveredTarget';
import type { IRegistrationSource } from '../common/discovery';
import { Discovery, reregistrationGraceMs } from '../common/discovery';

const id = 'engine-1' as TargetId;
const zone = 'kingston-a' as ZoneName;

function createTarget(change: Partial<DiscoveredTarget> = {}): DiscoveredTarget {
	return {
		id,
		service: 'round-assistant' as ServiceName,
		region: 'kingston' as RegionName,
		zone,
		url: 'http://127.0.0.1:9001' as TargetUrl,
		slots: 8,
		isLeaving: false,
		remainingMs: undefined,
		coldLeftMs: 0,
		boot: '1' as BootId,
		version: 'v1' as SoftwareVersion,
		...change,
	};
}

function createDiscovery(...targets: DiscoveredTarget[]): Discovery {
	const discovery = new Discovery(new RingAuditTrail(100, () => new Date(0)));
	discovery.applyRegistrations({ registered: targets, removed: [], isAfterOutage: false }, 0);
	return discovery;
}

/** The state of the store's registrations as a test sets it. */
function createSource(): {
	asOfMs: number | undefined;
	followedSinceMs: number;
	reached: boolean;
	source: IRegistrationSource;
} {
	const state = { asOfMs: undefined as number | undefined, followedSinceMs: 0, reached: true };
	const source = {
		getCurrentAsOfMs: () => state.asOfMs,
		getFollowStart: () => ({ sinceMs: state.followedSinceMs, revision: 1, era: 1 }),
		getEmittedPosition: () => ({ revision: 1, era: 1 }),
		isReached: () => state.reached,
	};
	return Object.assign(state, { source });
}

describe('the versions of registered targets', () => {
	const v1 = 'v1' as SoftwareVersion;
	const v2 = 'v2' as SoftwareVersion;
	const service = createTarget().service;

	// Guards against a restarted target whose connections and version are taken for those of the process before.
	it('make a new generation when they change without a new boot', () => {
		const discovery = new Discovery(new RingAuditTrail(10, () => new Date(0)));
		const register = (version: SoftwareVersion): void => {
			const registered = [createTarget({ version })];
			discovery.applyRegistrations({ registered, removed: [], isAfterOutage: false }, 0);
		};
		register(v1);
		register(v2);
		expect(discovery.find(createTarget().id)).toMatchObject({ generation: 2, target: { version: v2 } });
	});

	it('are confirmed as of the time of the store, unless the registration lapsed or came from an older copy', () => {
		const discovery = new Discovery(new RingAuditTrail(10, () => new Date(0)));
		const store = createSource();
		const { id } = createTarget();
		discovery.setSource(store.source);
		discovery.applyRegistrations({ registered: [createTarget()], removed: [], isAfterOutage: false }, 0);
		expect(discovery.findConfirmation(id)).toBeUndefined();
		store.asOfMs = 900;
		expect(discovery.findConfirmation(id)).toEqual({ asOfMs: 900, isReached: true });
		discovery.applyRegistrations({ registered: [], removed: [id], isAfterOutage: true }, 1_000);
		expect(discovery.findConfirmation(id)).toBeUndefined();
		const restored = { registered: [createTarget()], removed: [], isAfterOutage: true, isRestored: true };
		discovery.applyRegistrations(restored, 1_100);
		expect(discovery.findConfirmation(id)).toBeUndefined();
		store.asOfMs = 1_100 + reregistrationGraceMs;
		expect(discovery.findConfirmation(id)).toBeDefined();
	});

	// Guards against a version that came and went unseen while this entry did not reach the store.
	it('count those of registrations that were replaced before they were read', () => {
		const discovery = createDiscovery(createTarget({ version: v1 }));
		const store = createSource();
		discovery.setSource(store.source);
		const superseded = [createTarget({ id: 'other' as TargetId, version: v2 })];
		discovery.applyRegistrations({ registered: [], removed: [], superseded, isAfterOutage: false }, 20_000);
		store.asOfMs = 20_000;
		expect(discovery.findOnlyVersion(service, 15_000, 20_000)).toBeUndefined();
		expect(discovery.describeVersionHistory(20_100)?.versions).toContainEqual({
			service,
			version: v2,
			ageMs: 100,
		});
	});

	// Guards against refusals because of a version that another entry still lists long after it has lost the store.
	it('are reported with the age of what the store has shown', () => {
		const discovery = createDiscovery(createTarget({ version: v1 }));
		const store = createSource();
		discovery.setSource(store.source);
		expect(discovery.describeVersionHistory(1_000)).toBeUndefined();
		store.asOfMs = 1_000;
		const versions = [{ service, version: v1, ageMs: 12_000 }];
		expect(discovery.describeVersionHistory(13_000)).toMatchObject({ versions });
		expect(discovery.describeVersionHistory(121_000)).toMatchObject({ versions: [] });
	});

	// Guards against a stream of a version that has just left, resumed by a caller that doesn't name it.
	it('are one only after the store has shown no other for a time', () => {
		const discovery = new Discovery(new RingAuditTrail(10, () => new Date(0)));
		const store = createSource();
		discovery.setSource(store.source);
		const other = createTarget({ id: 'other' as TargetId, version: v2 });
		const both = [createTarget({ version: v1 }), other];
		discovery.applyRegistrations({ registered: both, removed: [], isAfterOutage: false }, 0);
		store.asOfMs = 20_000;
		expect(discovery.findOnlyVersion(service, 15_000, 20_000)).toBeUndefined();
		discovery.applyRegistrations({ registered: [], removed: [other.id], isAfterOutage: false }, 20_000);
		store.asOfMs = 34_000;
		expect(discovery.findOnlyVersion(service, 15_000, 34_000)).toBeUndefined();
		expect(discovery.findOnlyVersion(service, 15_000, 35_000)).toBe(v1);
		expect(discovery.findOnlyVersion(service, 15_000, 48_999)).toBe(v1);
		expect(discovery.findOnlyVersion(service, 15_000, 49_000)).toBeUndefined();
	});

	// Guards against streams over two versions after all entries were lost just after the targets of one version had left.
	it('are not one before the store has been followed for that time', () => {
		const discovery = new Discovery(new RingAuditTrail(10, () => new Date(0)));
		const store = createSource();
		discovery.setSource(store.source);
		const registered = [createTarget({ version: v1 })];
		discovery.applyRegistrations({ registered, removed: [], isAfterOutage: false }, 100_000);
		store.followedSinceMs = 100_000;
		store.asOfMs = 100_000;
		expect(discovery.findOnlyVersion(service, 15_000, 100_010)).toBeUndefined();
		store.asOfMs = 115_000;
		expect(discovery.findOnlyVersion(service, 15_000, 114_999)).toBeUndefined();
		expect(discovery.findOnlyVersion(service, 15_000, 115_000)).toBe(v1);
	});
});

describe('Discovery', () => {
	it('removes a target whose registration is removed', () => {
		const discovery = createDiscovery(createTarget());
		discovery.applyRegistrations({ registered: [], removed: [id], isAfterOutage: false }, 10);
		expect(discovery.list()).toEqual([]);
	});

	// Guards against refused requests after each outage of the store: the registrations of healthy targets expire during
	// the outage, and removing them at once would leave a region without targets for a second.
	it('waits for a target to register again after an outage of the store', () => {
		const discovery = createDiscovery(createTarget());
		discovery.applyRegistrations({ registered: [], removed: [id], isAfterOutage: true }, 100);
		discovery.expire(100 + reregistrationGraceMs - 1);
		expect(discovery.list()).toHaveLength(1);
		discovery.applyRegistrations({ registered: [createTarget()], removed: [], isAfterOutage: true }, 900);
		discovery.expire(100 + reregistrationGraceMs);
		expect(discovery.list()).toHaveLength(1);
	});

	it('removes a target that does not register again after an outage of the store', () => {
		const discovery = createDiscovery(createTarget());
		discovery.applyRegistrations({ registered: [], removed: [id], isAfterOutage: true }, 100);
		discovery.expire(100 + reregistrationGraceMs);
		expect(discovery.list()).toEqual([]);
	});

	it('removes a leaving target at once, also after an outage', () => {
		const discovery = createDiscovery(createTarget({ isLeaving: true }));
		discovery.applyRegistrations({ registered: [], removed: [id], isAfterOutage: true }, 100);
		expect(discovery.list()).toEqual([]);
	});

	// Guards against using connections and cached state of a target that crashed and restarted under the same id before
	// its registration expired.
	it('increments the generation when a target restarts', () => {
		const discovery = createDiscovery(createTarget());
		const again = createTarget({ boot: '2' as BootId });
		discovery.applyRegistrations({ registered: [again], removed: [], isAfterOutage: false }, 10);
		expect(discovery.find(id)?.generation).toBe(2);
		discovery.applyRegistrations({ registered: [again], removed: [], isAfterOutage: false }, 20);
		expect(discovery.find(id)?.generation).toBe(2);
	});

	// Guards against sending the full load to targets that were restarted while their zone was evacuated: registrations
	// that show them as cold arrive late, and the targets would crash.
	it('treats the targets of a zone as cold when it is no longer evacuated', () => {
		const discovery = createDiscovery(createTarget());
		discovery.setEvacuated(new Set([zone]), 3_000, 100);
		expect(discovery.isEvacuated(zone)).toBe(true);
		discovery.setEvacuated(new Set(), 3_000, 5_000);
		expect(discovery.isEvacuated(zone)).toBe(false);
		expect(discovery.find(id)?.coldUntilMs).toBe(8_000);
	});

	it('provides the announced end of a target', () => {
		const discovery = createDiscovery();
		const spot = createTarget({ isLeaving: true, remainingMs: 2_000 });
		discovery.applyRegistrations({ registered: [spot], removed: [], isAfterOutage: false }, 500);
		expect(discovery.find(id)?.endsMs).toBe(2_500);
	});
});
