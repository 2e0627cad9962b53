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

	// Guards against memory that grows with each target that was ever in use.
	it('drops targets that are no longer in use', () => {
		const framing = new TargetFraming();
		framing.noteHead(engine, false);
		framing.noteHead(other, false);
		framing.setTargets([other]);
		expect([framing.isFramed(engine), framing.isFramed(other)]).toEqual([true, false]);
	});
});
