import { checkManifest, parseManifest, ServiceKind } from '../common/manifest';

function createDocument(): Record<string, unknown> {
	return {
		regions: [{ name: 'kingston', zones: ['kingston-a'] }],
		organisations: [{ name: 'harbour-hotel', home: 'kingston' }],
		services: [{ name: 'bookings', kind: ServiceKind.Plain, residency: 'home', repeat: 'at-most-once' }],
		targets: [
			{
				id: 'bookings-1',
				service: 'bookings',
				region: 'kingston',
				zone: 'kingston-a',
				url: 'http://127.0.0.1:9001',
			},
		],
	};
}

describe('checkManifest', () => {
	it('accepts a valid document and sets the defaults of omitted fields', () => {
		const manifest = checkManifest(createDocument())._unsafeUnwrap();
		expect(manifest.organisations[0]?.weight).toBe(1);
		expect(manifest.services[0]?.classes.urgent.defaultDeadlineMs).toBe(10_000);
	});

	it('returns every schema error with its place', () => {
		const document = { ...createDocument(), regions: [{ name: 'King ston', zones: [] }], surprise: 1 };
		const places = checkManifest(document)
			._unsafeUnwrapErr()
			.map(issue => issue.place);
		expect(places).toEqual(expect.arrayContaining(['regions[0].name', 'regions[0].zones', '']));
	});

	it('returns every undefined reference and every duplicate name', () => {
		const document = createDocument();
		document.organisations = [
			{ name: 'harbour-hotel', home: 'montego' },
			{ name: 'harbour-hotel', home: 'kingston' },
		];
		expect(checkManifest(document)._unsafeUnwrapErr()).toEqual([
			{ place: 'organisations[1]', problem: 'harbour-hotel is defined more than once' },
			{ place: 'organisations[0].home', problem: 'montego is not defined in this manifest' },
		]);
	});

	// Guards against requests that are attributed to the wrong organisation, since a key identifies one organisation only.
	it('rejects a key of two organisations, and names both', () => {
		const document = createDocument();
		const keys = ['a1'.repeat(32)];
		document.organisations = [
			{ name: 'harbour-hotel', home: 'kingston', keys },
			{ name: 'bay-offices', home: 'kingston', keys },
		];
		expect(checkManifest(document)._unsafeUnwrapErr()).toEqual([
			{ place: 'organisations[1].keys[0]', problem: 'bay-offices has a key that harbour-hotel has already' },
		]);
	});

	it.each([
		['a limit below 0', { limit: { perSecond: -1 } }, 'organisations[0].limit.perSecond'],
		['an unknown unit', { limit: { perSecond: 1, unit: 'bytes' } }, 'organisations[0].limit.unit'],
		['a key that is not a digest', { keys: [''] }, 'organisations[0].keys[0]'],
		['a home that is no region', { homes: ['montego'] }, 'organisations[0].homes[0]'],
	])('rejects an organisation with %s', (_, change, place) => {
		const document = createDocument();
		document.organisations = [{ name: 'harbour-hotel', home: 'kingston', ...change }];
		const places = checkManifest(document)
			._unsafeUnwrapErr()
			.map(issue => issue.place);
		expect(places).toEqual([place]);
	});

	it('returns an error if the text is not JSON', () => {
		expect(parseManifest('{')._unsafeUnwrapErr()[0]?.problem).toMatch(/^is not JSON/);
	});
});
