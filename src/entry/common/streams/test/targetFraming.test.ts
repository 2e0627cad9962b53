import type { TargetId } from '../../../../core/ids/common/ids';
import { TargetFraming } from '../targetFraming';

const engine = 'engine-1' as TargetId;
const other = 'engine-2' as TargetId;

describe('TargetFraming', () => {
	it('expects framing of a target until it sends a stream without, and again once it sends one with it', () => {
		const framing = new TargetFraming();
		const seen = [framing.isFramed(engine)];
		for (const isFramed of [false, true]) {
			framing.noteHead(engine, isFramed);
			seen.push(framing.isFramed(engine));
		}
		expect(seen).toEqual([true, false, true]);
	});

	// Guards against passing on the ends of broken-off streams by habit where a resumed one would get a certain end.
	it.each([
		{ framed: 0, unframed: 0, isLikely: false },
		{ framed: 0, unframed: 2, isLikely: false },
		{ framed: 1, unframed: 3, isLikely: false },
		{ framed: 2, unframed: 2, isLikely: true },
	])('expects framing where $framed targets send it and $unframed do not: $isLikely', load => {
		const framing = new TargetFraming();
		for (let index = 0; index < load.framed + load.unframed; index++) {
			framing.noteHead(`engine-${index}` as TargetId, index < load.framed);
		}
		expect(framing.isLikely()).toBe(load.isLikely);
	});

	// Guards against memory that grows with each target that was ever in use.
	it('drops targets that are no longer in use', () => {
		const framing = new TargetFraming();
		framing.noteHead(engine, false);
		framing.noteHead(other, false);
		framing.setTargets([other]);
		expect([framing.isFramed(engine), framing.isFramed(other)]).toEqual([true, false]);
	});
});
