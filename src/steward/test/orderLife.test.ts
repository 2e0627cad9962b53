import fc from 'fast-check';
import { err, ok } from 'neverthrow';
import { SeededRandom } from '../../base/common/random';
import type { EngineOrder } from '../common/engineOrder';
import { LifeStepKind } from '../common/lifeStep';
import { longestConfirmationMs, OrderLife } from '../common/orderLife';
import { VersionWatermark } from '../common/versionWatermark';
import type { OrderEvent } from '../common/orderEvents';
import { createOrder, createTarget, FakeEngine, fault } from './stewardFixtures';

const times = { settledMs: 5_000, pollMs: 2_000, slowLoadMs: 600_000 };

/** Several stewards around one engine; each call is one event, and an order travels as long as it is told to. */
class Scene {
	nowMs = 0;
	newest = 1;
	readonly stewards: SceneSteward[] = [];
	readonly travelling: EngineOrder[] = [];

	constructor(
		readonly engine: FakeEngine,
		stewards: number,
	) {
		for (let index = 0; index < stewards; index++) {
			this.stewards.push(new SceneSteward(this, index));
		}
	}

	receiveOrder(): void {
		const order = this.travelling.shift();
		if (order !== undefined) {
			this.engine.answerOrder(order);
		}
	}

	/** Lets everything that is connected go on for some minutes. */
	runOn(): void {
		for (let round = 0; round < 40; round++) {
			this.nowMs += 10_000;
			for (const steward of this.stewards) {
				steward.follow();
				for (let step = 0; step < 8; step++) {
					steward.runStep(false);
				}
			}
		}
	}
}

/** One steward of a scene, connected to the platform or cut off from it. */
class SceneSteward {
	isCut = false;
	private readonly watermark = new VersionWatermark();
	private readonly life: OrderLife;
	private version = 1;
	private confirmedAtMs = Number.NEGATIVE_INFINITY;
	private confirmedVersion: number | undefined;
	private wasEmpty = false;

	constructor(
		private readonly scene: Scene,
		seed: number,
	) {
		const target = createTarget(1, scene.engine.checksFencing);
		const random = new SeededRandom(seed);
		this.life = new OrderLife(
			target,
			this.watermark,
			() => times,
			() => undefined,
			random,
		);
	}

	follow(): void {
		if (!this.isCut && this.scene.newest > this.version) {
			this.version = this.scene.newest;
			this.watermark.note(this.version);
			this.life.setTarget(createTarget(this.version, this.scene.engine.checksFencing));
		}
	}

	markWoken(): void {
		this.life.markStale();
	}

	runStep(isOrderSlow: boolean): void {
		const { engine, nowMs } = this.scene;
		if (this.life.isQueued()) {
			this.life.noteGranted();
		}
		const { kind, round } = this.life.getStep(nowMs);
		switch (kind) {
			case LifeStepKind.ReadState:
				this.wasEmpty = engine.state.model === undefined;
				this.life.noteState(round, engine.read(), nowMs);
				return;
			case LifeStepKind.Confirm:
				this.confirmedAtMs = nowMs;
				this.confirmedVersion = this.isCut ? undefined : this.scene.newest;
				this.life.noteNewest(round, this.isCut ? err(fault) : ok(this.scene.newest), nowMs);
				return;
			case LifeStepKind.SendOrder:
				this.sendOrder(round, isOrderSlow);
				return;
			case LifeStepKind.Wait:
		}
	}

	private sendOrder(round: number, isOrderSlow: boolean): void {
		const { engine, nowMs, travelling } = this.scene;
		const order = createOrder(this.version);
		if (!engine.checksFencing) {
			expect(nowMs - this.confirmedAtMs).toBeLessThanOrEqual(longestConfirmationMs);
			expect(this.wasEmpty || this.confirmedVersion === order.fence).toBe(true);
		}
		if (isOrderSlow) {
			travelling.push(order);
			this.life.noteAnswer(round, err(fault), nowMs);
			return;
		}
		this.life.noteAnswer(round, engine.answerOrder(order), nowMs);
	}
}

type SceneEvent = (scene: Scene) => void;

/** Picks events: most are steps, with everything that can come between them. */
function createEvents(): fc.Arbitrary<SceneEvent[]> {
	const withSteward = (act: (steward: SceneSteward) => void): fc.Arbitrary<SceneEvent> =>
		fc.nat(9).map(index => scene => {
			const steward = scene.stewards[index % Math.max(1, scene.stewards.length)];
			if (steward !== undefined) {
				act(steward);
			}
		});
	const event = fc.oneof(
		{
			weight: 12,
			arbitrary: withSteward(steward => {
				steward.runStep(false);
			}),
		},
		{
			weight: 3,
			arbitrary: withSteward(steward => {
				steward.runStep(true);
			}),
		},
		{
			weight: 3,
			arbitrary: withSteward(steward => {
				steward.follow();
			}),
		},
		{
			weight: 1,
			arbitrary: withSteward(steward => {
				steward.isCut = !steward.isCut;
			}),
		},
		{
			weight: 1,
			arbitrary: withSteward(steward => {
				steward.markWoken();
			}),
		},
		{
			weight: 2,
			arbitrary: fc.constant<SceneEvent>(scene => {
				scene.newest++;
			}),
		},
		{
			weight: 3,
			arbitrary: fc.nat(3_000).map<SceneEvent>(ms => scene => {
				scene.nowMs += ms;
			}),
		},
		{
			weight: 2,
			arbitrary: fc.constant<SceneEvent>(scene => {
				scene.receiveOrder();
			}),
		},
	);
	return fc.array(event, { maxLength: 120 });
}

function runEvents(scene: Scene, events: readonly SceneEvent[]): void {
	for (const event of events) {
		event(scene);
	}
	for (const [index, steward] of scene.stewards.entries()) {
		steward.isCut = steward.isCut && index > 0;
	}
	scene.runOn();
}

function isNewestHeld({ engine, newest }: Scene): boolean {
	return engine.state.model !== undefined && engine.state.version === createOrder(newest).version;
}

const stewardCount = fc.integer({ min: 1, max: 3 });

describe('OrderLife', () => {
	it('brings an engine that checks fencing numbers to the newest manifest, for good', () => {
		// Stewards are cut off, sleep, and follow the manifest at different times, and an order may travel for
		// as long as it likes. Were an old one obeyed after a new one, callers would get an older model.
		fc.assert(
			fc.property(createEvents(), stewardCount, (events, stewards) => {
				const scene = new Scene(new FakeEngine(true), stewards);
				runEvents(scene, events);
				expect(isNewestHeld(scene)).toBe(true);
				while (scene.travelling.length > 0) {
					scene.receiveOrder();
				}
				expect(isNewestHeld(scene)).toBe(true);
			}),
			{ seed: 3, numRuns: 400 },
		);
	});

	it('brings an engine that obeys anything to the newest manifest, each order freshly confirmed', () => {
		// The same, before an engine that obeys old orders too. One that arrives late undoes a newer one, and
		// callers get the older model until a steward that can reach the platform looks again.
		fc.assert(
			fc.property(createEvents(), stewardCount, fc.boolean(), (events, stewards, showsFence) => {
				const scene = new Scene(new FakeEngine(false, showsFence), stewards);
				runEvents(scene, events);
				while (scene.travelling.length > 0) {
					scene.receiveOrder();
				}
				scene.runOn();
				expect(isNewestHeld(scene)).toBe(true);
			}),
			{ seed: 4, numRuns: 400 },
		);
	});

	it('raises the fencing number of an engine that happens to hold what it should', () => {
		// Version 3 takes version 2 back, while an order of version 2 is still on its way. The engine holds the
		// right model, so nothing seems to be left to do; then the old order arrives and passes its check.
		const scene = new Scene(new FakeEngine(true), 1);
		scene.engine.answerOrder(createOrder(1));
		scene.newest = 3;
		scene.runOn();
		scene.engine.answerOrder(createOrder(2));
		expect(isNewestHeld(scene)).toBe(true);
	});

	it('leaves an engine as it is when there is no steward', () => {
		const scene = new Scene(new FakeEngine(true), 0);
		scene.runOn();
		expect(scene.engine.orders).toBe(0);
	});

	it('serves a cut-off zone: orders an engine that holds nothing, and no other that would obey anything', () => {
		// The zone has lost the platform, and an engine restarts there with no model. Left alone it would refuse
		// its callers until the platform is back; nothing newer can be undone on an engine that holds nothing.
		const scene = new Scene(new FakeEngine(false), 1);
		scene.stewards[0]!.isCut = true;
		scene.runOn();
		expect(scene.engine.state.version).toBe('r1');
		scene.engine.state = { ...scene.engine.state, version: 'by-hand' };
		scene.runOn();
		expect(scene.engine.orders).toBe(1);
	});

	it('orders nothing from a version older than the one that the engine shows', () => {
		// A steward was cut off while another brought the engine to version 4. It would undo that with what it
		// still believes.
		const scene = new Scene(new FakeEngine(false), 1);
		scene.engine.answerOrder(createOrder(4));
		scene.runOn();
		expect(scene.engine.state.fence).toBe(4);
		scene.newest = 5;
		scene.runOn();
		expect(scene.engine.state.fence).toBe(5);
	});

	it('does not take a platform that has fallen back for a confirmation', () => {
		// A replica of the configuration service serves what was replaced long ago. It cannot say whether there
		// is something newer than what the steward holds, so an engine that obeys anything is left as it is.
		const scene = new Scene(new FakeEngine(false), 1);
		scene.newest = 3;
		scene.runOn();
		scene.newest = 2;
		scene.engine.state = { ...scene.engine.state, version: 'by-hand' };
		scene.runOn();
		expect(scene.engine.orders).toBe(1);
	});

	it('drops what it is told on a question from before it slept', () => {
		// The process wakes, and the answer to a question of ten minutes ago lies in its socket. The engine has
		// changed since, in whatever way.
		const events: OrderEvent[] = [];
		const life = new OrderLife(
			createTarget(1, true),
			new VersionWatermark(),
			() => times,
			event => events.push(event),
			new SeededRandom(1),
		);
		const before = life.getStep(0);
		life.markStale();
		life.noteState(before.round, err(fault), 0);
		expect(life.getChartState()).toBe('reading');
		expect(events).toEqual([]);
	});
});
