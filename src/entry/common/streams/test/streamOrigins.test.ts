import type {
	InstanceId,
	RegionName,
	ServiceName,
	SoftwareVersion,
	StreamId,
	ZoneName,
} from '../../../../core/ids/common/ids';
import type { HolderCandidate } from '../originHolders';
import { pickHolders } from '../originHolders';
import { OriginLog } from '../originLog';
import type { KnownOrigin } from '../streamOrigin';
import { computeStreamKey, originRetentionMs, StreamOrigins } from '../streamOrigins';

const key = computeStreamKey('86648caa46c6a7a1' as StreamId);

function createOrigin(version: string, learnedMs = 0): KnownOrigin {
	return {
		service: 'writer' as ServiceName,
		version: version as SoftwareVersion,
		source: 'erongo-1',
		learnedMs,
	};
}

function createEntry(instance: string, region: string, zone: string): HolderCandidate {
	return { instance: instance as InstanceId, region: region as RegionName, zone: zone as ZoneName };
}

describe('origins of streams', () => {
	it('are kept as long as callers may resume their streams', () => {
		const origins = new StreamOrigins();
		origins.add(key, createOrigin('v1'));
		expect(origins.find(key, originRetentionMs)?.version).toBe('v1');
		expect(origins.find(key, originRetentionMs + 1)).toBeUndefined();
		expect(origins.find(computeStreamKey('another' as StreamId), 0)).toBeUndefined();
	});

	// Guards against a stream that goes on at the version that happened to be reported last.
	it('count as unknown once two different ones were reported', () => {
		const origins = new StreamOrigins();
		origins.add(key, createOrigin('v1'));
		origins.add(key, createOrigin('v1', 5));
		expect(origins.find(key, 10)?.version).toBe('v1');
		origins.add(key, createOrigin('v1.2', 10));
		origins.add(key, createOrigin('v1', 15));
		expect(origins.find(key, 20)).toBeUndefined();
	});
});

describe('the holders of the origins of an entry', () => {
	const self = createEntry('khomas-1', 'khomas', 'khomas-a');
	const others = [
		createEntry('khomas-2', 'khomas', 'khomas-a'),
		createEntry('khomas-3', 'khomas', 'khomas-b'),
		createEntry('erongo-1', 'erongo', 'erongo-a'),
		createEntry('oshana-1', 'oshana', 'oshana-a'),
	];

	it('are in another zone of the region and in another region', () => {
		const [near, far] = pickHolders(self, others);
		expect(near?.instance).toBe('khomas-3');
		expect(far?.region).not.toBe('khomas');
	});

	it('are the nearest that there are', () => {
		const inZone = pickHolders(self, others.slice(0, 1));
		expect(inZone.map(({ instance }) => instance)).toEqual(['khomas-2']);
		const inRegions = pickHolders(self, others.slice(2));
		expect(inRegions.map(({ region }) => region).sort()).toEqual(['erongo', 'oshana']);
		expect(pickHolders(self, [])).toEqual([]);
	});

	it('do not change with an entry that is neither of them', () => {
		const [near, far] = pickHolders(self, others);
		const fewer = others.filter(entry => entry === near || entry === far);
		expect(pickHolders(self, fewer)).toEqual([near, far]);
	});
});

describe('the log of origins to report', () => {
	it('groups streams with the same origin and continues where a holder is', () => {
		const log = new OriginLog();
		log.add(1n, createOrigin('v1'), 0);
		log.add(2n, createOrigin('v1.2'), 0);
		log.add(3n, createOrigin('v1'), 0);
		const first = log.createBatch(0)!;
		expect(first.groups.map(({ keys }) => keys)).toEqual([[1n, 3n], [2n]]);
		expect(log.createBatch(first.endPosition)).toBeUndefined();
		log.add(4n, createOrigin('v1'), 0);
		expect(log.createBatch(first.endPosition)?.groups.map(({ keys }) => keys)).toEqual([[4n]]);
	});

	it('tells a new holder of the streams that callers may still resume', () => {
		const log = new OriginLog();
		log.add(1n, createOrigin('v1'), 0);
		log.add(2n, createOrigin('v1'), 20_000);
		log.expire(originRetentionMs + 1);
		expect(log.createBatch(0)?.groups.map(({ keys }) => keys)).toEqual([[2n]]);
	});
});
