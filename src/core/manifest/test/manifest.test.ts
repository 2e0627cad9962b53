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

	it('returns an error if the text is not JSON', () => {
		expect(parseManifest('{')._unsafeUnwrapErr()[0]?.problem).toMatch(/^is not JSON/);
	});
});
