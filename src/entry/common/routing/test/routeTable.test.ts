import { RouteKind } from '../../../../core/manifest/common/routes';
import type { ManifestRoute } from '../../../../core/manifest/common/routes';
import type { RegionName, RouteName, ServiceName } from '../../../../core/ids/common/ids';
import { chooseService, RouteTable } from '../routeTable';

function createRoute(name: string, host: string, pathPrefix: string): ManifestRoute {
	return {
		name: name as RouteName,
		host,
		pathPrefix,
		kind: RouteKind.Idempotent,
		timeoutMs: 1_000,
		firstByteAimMs: 100,
		attempts: 1,
		priority: 0,
		isResumable: false,
		isPublic: false,
		homes: [],
		services: [
			{ service: 'a' as ServiceName, weight: 90 },
			{ service: 'b' as ServiceName, weight: 10 },
		],
	};
}

const table = new RouteTable([
	createRoute('root', 'one.example', '/'),
	createRoute('shop', 'one.example', '/shop/'),
	createRoute('bound', 'one.example', '/shop/bound/'),
	createRoute('other', 'two.example', '/shop/'),
]);

describe('RouteTable', () => {
	it.each([
		['one.example', '/shop/bound/x', 'bound'],
		['one.example', '/shop/x', 'shop'],
		['one.example', '/shop', 'root'],
		['ONE.example:8144', '/x', 'root'],
		['two.example', '/shop/', 'other'],
	])('matches %s%s to the route %s', (host, path, name) => {
		expect(table.find(host, path)?.name).toBe(name);
	});

	it('finds no route for an unknown host or a path without a matching prefix', () => {
		expect(table.find('three.example', '/')).toBeUndefined();
		expect(table.find('two.example', '/shopping/')).toBeUndefined();
	});
});

describe('RouteTable.countHomes', () => {
	it('counts the routes that have a region as a home', () => {
		const createRouteWithHomes = (name: string, ...homes: string[]): ManifestRoute => ({
			...createRoute(name, 'one.example', `/${name}/`),
			homes: homes as RegionName[],
		});
		const routes = [
			createRouteWithHomes('a', 'kingston', 'montego'),
			createRouteWithHomes('b', 'montego', 'ocho'),
			createRouteWithHomes('c'),
		];
		expect(new RouteTable(routes).countHomes('One.example:80')).toEqual(
			new Map([
				['kingston', 1],
				['montego', 2],
				['ocho', 1],
			]),
		);
		expect(table.countHomes('one.example')).toEqual(new Map());
	});
});

describe('chooseService', () => {
	it('distributes requests by weight, and repeats the choice for the same request', () => {
		const route = createRoute('split', 'one.example', '/');
		const chosen = Array.from({ length: 2_000 }, (_, index) => chooseService(route, `request-${index}`));
		const share = chosen.filter(service => service === 'b').length / chosen.length;
		expect(share).toBeGreaterThan(0.07);
		expect(share).toBeLessThan(0.13);
		expect(chooseService(route, 'request-1')).toBe(chosen[1]);
	});
});
