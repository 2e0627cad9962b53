import { request } from 'undici';
import type { Dispatcher } from 'undici';
import { entryStatusSchema } from '../../status/common/entryStatus';
import { organisationsAnswerSchema, slownessAnswerSchema } from '../../status/common/organisationsStatus';
import { explainAnswerSchema, trailAnswerSchema } from '../../status/common/operatorsAnswers';
import type { IOperatorsSource } from '../common/operatorsSource';
import { OperatorsServer } from '../node/operatorsServer';
import { createMetricsPage, createOrganisations, createSlowness, createSource } from './operatorsFixtures';

interface ReceivedAnswer {
	readonly status: number;
	readonly type: unknown;
	readonly body: string;
}

let server: OperatorsServer | undefined;

async function startServer(source: Partial<IOperatorsSource> = {}): Promise<string> {
	server = new OperatorsServer(createSource(source), createMetricsPage());
	const { host, port } = await server.start({ host: '127.0.0.1', port: 0 });
	return `http://${host}:${port}`;
}

async function fetchAnswer(url: string, method: Dispatcher.HttpMethod = 'GET'): Promise<ReceivedAnswer> {
	const { statusCode, headers, body } = await request(url, { method, reset: true });
	return { status: statusCode, type: headers['content-type'], body: await body.text() };
}

afterEach(() => {
	server?.dispose();
});

describe('OperatorsServer', () => {
	it('serves metrics, health and readiness', async () => {
		const url = await startServer();
		expect(await fetchAnswer(`${url}/metrics`)).toEqual({
			status: 200,
			type: 'text/plain; version=0.0.4',
			body: 'anvilroad_ready 1\n',
		});
		expect(await fetchAnswer(`${url}/healthz`)).toMatchObject({ status: 200, body: 'ok\n' });
		expect(await fetchAnswer(`${url}/readyz`)).toMatchObject({ status: 200, body: 'ready\n' });
	});

	// An entry can start while the platform and all peers are unavailable. A load balancer must see that the entry is not
	// ready and why, but the process is healthy and must not be restarted.
	it('is healthy but not ready, with each reason on a line, before the first manifest', async () => {
		const reasons = ['no manifest yet', 'the platform has not answered'];
		const url = await startServer({
			getReadiness: () => ({ isReady: false, reasons }),
			getManifest: () => undefined,
		});
		expect(await fetchAnswer(`${url}/healthz`)).toMatchObject({ status: 200 });
		expect(await fetchAnswer(`${url}/readyz`)).toMatchObject({
			status: 503,
			body: 'no manifest yet\nthe platform has not answered\n',
		});
		expect((await fetchAnswer(`${url}/v1/manifest`)).body).toContain('no-manifest');
	});

	it('returns the status, a request record, the trail after a sequence number and the accepted manifest', async () => {
		const url = await startServer();
		const status: unknown = JSON.parse((await fetchAnswer(`${url}/v1/status`)).body);
		expect(entryStatusSchema.parse(status)).toEqual(status);
		const record = JSON.parse((await fetchAnswer(`${url}/v1/explain/known`)).body) as unknown;
		expect(explainAnswerSchema.parse(record).steps[0]?.detail).toBe('POST /visits');
		const trail = JSON.parse((await fetchAnswer(`${url}/v1/trail?most=2&after=2`)).body) as unknown;
		expect(trailAnswerSchema.parse(trail).records.map(({ sequence }) => sequence)).toEqual([3]);
		expect((await fetchAnswer(`${url}/v1/manifest`)).body).toBe(
			'{"version":12,"digest":"ab12","document":{"regions": []}}\n',
		);
	});

	it('returns the organisations and the slowness of targets', async () => {
		const url = await startServer();
		const organisations = JSON.parse((await fetchAnswer(`${url}/v1/organisations`)).body) as unknown;
		expect(organisationsAnswerSchema.parse(organisations)).toEqual(createOrganisations());
		const slowness = JSON.parse((await fetchAnswer(`${url}/v1/slowness`)).body) as unknown;
		expect(slownessAnswerSchema.parse(slowness)).toEqual(createSlowness());
	});

	it('answers invalid requests with an error status', async () => {
		const url = await startServer();
		expect(await fetchAnswer(`${url}/v1/explain/gone`)).toMatchObject({ status: 404 });
		expect(await fetchAnswer(`${url}/v1/trail?most=all`)).toMatchObject({ status: 400 });
		expect(await fetchAnswer(`${url}/v2/status`)).toMatchObject({ status: 404 });
		expect(await fetchAnswer(`${url}/v1/status`, 'POST')).toMatchObject({ status: 405 });
	});

	// An unhandled exception in the code that collects the status would end the process and every running request.
	// Instead, the operator must see the error.
	it('answers 500 when the source throws, and keeps serving', async () => {
		const url = await startServer({
			getStatus: () => {
				throw new Error('no such peer');
			},
		});
		const answer = await fetchAnswer(`${url}/v1/status`);
		expect(answer).toMatchObject({ status: 500 });
		expect(answer.body).toContain('no such peer');
		expect(await fetchAnswer(`${url}/healthz`)).toMatchObject({ status: 200 });
	});
});
