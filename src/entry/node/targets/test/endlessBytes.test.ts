import type { AddressInfo, Socket } from 'node:net';
import { createServer } from 'node:net';
import { ManualTimerService } from '../../../../base/common/manualTimerService';
import { DisposableStore, toDisposable } from '../../../../base/common/lifecycle';
import type { IAttempt, IAttemptObserver } from '../targetClient';
import { TargetClient } from '../targetClient';

let owned = new DisposableStore();

beforeEach(() => {
	owned = new DisposableStore();
});

afterEach(() => {
	owned.dispose();
});

/** A target that answers with some bytes and then repeats others until its caller closes the connection. */
class EndlessTarget {
	readonly closed: Promise<void>;
	private noteClosed: () => void = () => undefined;

	constructor(
		private readonly beginning: string,
		private readonly repeated: string,
	) {
		this.closed = new Promise(resolve => {
			this.noteClosed = resolve;
		});
	}

	async open(): Promise<string> {
		const server = createServer(socket => {
			socket.on('error', () => undefined);
			socket.on('close', () => {
				this.noteClosed();
			});
			socket.once('data', () => {
				socket.write(this.beginning);
				this.writeOn(socket);
			});
		});
		await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
		owned.add(
			toDisposable(() => {
				server.close();
			}),
		);
		return `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
	}

	private writeOn(socket: Socket): void {
		if (socket.destroyed) {
			return;
		}
		const goOn = (): void => {
			setImmediate(() => {
				this.writeOn(socket);
			});
		};
		if (socket.write(this.repeated)) {
			goOn();
		} else {
			socket.once('drain', goOn);
		}
	}
}

/** Observes one attempt, and releases its connection when the head of an answer arrives. */
class ReleasingObserver implements IAttemptObserver {
	readonly events: string[] = [];
	attempt: IAttempt | undefined;
	readonly ended: Promise<void>;
	private noteEnded: () => void = () => undefined;

	constructor(private readonly isReleasing: boolean) {
		this.ended = new Promise(resolve => {
			this.noteEnded = resolve;
		});
	}

	noteHandedOver(): void {
		this.events.push('handed over');
	}

	receiveHead(): void {
		this.events.push('head');
		if (this.isReleasing) {
			this.attempt?.release();
		}
	}

	receiveData(): boolean {
		return true;
	}

	noteCompleted(): void {
		this.events.push('completed');
		this.noteEnded();
	}

	noteFailed(): void {
		this.events.push('failed');
		this.noteEnded();
	}
}

function send(origin: string, observer: ReleasingObserver): void {
	const client = new TargetClient(origin, new ManualTimerService());
	observer.attempt = client.send({ method: 'GET', path: '/', lines: [], body: new Uint8Array() }, observer);
}

const filling = 'x'.repeat(1_024);

describe('bytes without end', () => {
	// Guards against memory and processor time that a faulty target takes for as long as it sends.
	it.each([
		{ name: 'that are no answer', beginning: '', repeated: filling },
		{ name: 'in a header line', beginning: 'HTTP/1.1 200 OK\r\nfilling: ', repeated: filling },
		{ name: 'in header lines', beginning: 'HTTP/1.1 200 OK\r\n', repeated: `filling: ${filling}\r\n` },
		{ name: 'in a status line', beginning: 'HTTP/1.1 200 ', repeated: filling },
		{
			name: 'in informational heads',
			beginning: '',
			repeated: 'HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n',
		},
		{
			name: 'in the size of a chunk',
			beginning: 'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n',
			repeated: '0'.repeat(1_024),
		},
		{
			name: 'in the extension of a chunk',
			beginning: 'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5;',
			repeated: filling,
		},
		{
			name: 'in trailers',
			beginning: 'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\nfilling: ',
			repeated: filling,
		},
	])('$name end the attempt, and the connection is closed', async ({ beginning, repeated }) => {
		const target = new EndlessTarget(beginning, repeated);
		const observer = new ReleasingObserver(false);
		send(await target.open(), observer);
		await observer.ended;
		await target.closed;
		expect(observer.events.at(-1)).toBe('failed');
	});

	it('after an answer are not read as another one, and the connection is closed', async () => {
		const target = new EndlessTarget('HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok', filling);
		const observer = new ReleasingObserver(false);
		send(await target.open(), observer);
		await observer.ended;
		await target.closed;
		expect(observer.events).toEqual(['handed over', 'head', 'completed']);
	});

	// Guards against reading on for ever from a target whose answer is not used, as after an error that is retried.
	it.each([
		{ name: 'without a length', beginning: 'HTTP/1.1 503 Busy\r\n\r\n', repeated: filling },
		{
			name: 'in chunks of one byte',
			beginning: 'HTTP/1.1 503 Busy\r\ntransfer-encoding: chunked\r\n\r\n',
			repeated: '1\r\nx\r\n'.repeat(200),
		},
	])('in the body of a discarded answer, $name, are not read on', async ({ beginning, repeated }) => {
		const target = new EndlessTarget(beginning, repeated);
		send(await target.open(), new ReleasingObserver(true));
		await target.closed;
	});
});
