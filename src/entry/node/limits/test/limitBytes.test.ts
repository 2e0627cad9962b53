import { toBinary } from '@bufbuild/protobuf';
import type { OrganisationName } from '../../../../core/ids/common/ids';
import {
	ShareDemandRequestSchema,
	ShareDemandResponseSchema,
} from '../../../../gen/anvilroad/peer/v1/peer_pb';
import type { SharedLimits } from '../../../common/limits/sharedLimits';
import { createLimit, LimitSite } from '../../../common/limits/test/limitSimulation';
import { encodeAnswer, encodeReport, encodeSums } from '../demandCodec';

const organisations = 540;
const entries = 360;
const requestsPerSecond = 8_600;
/** Organisations beyond their limit, and the demand of the others as a part of theirs. */
const overloading = 30;
const usualFactor = 0.5;
const overloadFactor = 5;

/** Control traffic of an entry in both directions, of which views use some too. */
const maxBytesPerSecond = 2_000;
/** Headers and framing of a call with its answer, above what `reportBytes.test.ts` measures for a similar call. */
const callBytes = 150;
/** As long as the longest interval of any message. */
const measuredMs = 4_000;

describe('messages that share limits', () => {
	// Guards against control traffic that grows with organisations times entries.
	it('stay within the bytes of a node at 540 organisations and 360 entries', () => {
		const rate = requestsPerSecond / (organisations - overloading + overloading * overloadFactor * 2);
		const names = Array.from({ length: organisations }, (_, index) => `organisation-${index}`);
		const limits = Object.fromEntries(names.map(name => [name, createLimit(rate / usualFactor, rate)]));
		const site = new LimitSite({ entries, seed: 1, isShared: true, limits });
		// By then, entries that chose others while the first ones were starting have returned to the first in the order.
		site.run(6_000);
		for (const [index, name] of names.entries()) {
			const factor = index < overloading ? overloadFactor / usualFactor : 1;
			site.addLoad({
				organisation: name as OrganisationName,
				getRate: () => rate * factor,
				pickCost: () => 1,
				isReached: () => true,
			});
		}
		site.run(2_000);
		let bytes = 0;
		site.observeMessage = message => {
			const request = 'items' in message ? encodeReport(message) : encodeSums(message);
			bytes += callBytes + toBinary(ShareDemandRequestSchema, request).byteLength;
		};
		site.observeAnswer = answer => {
			bytes += toBinary(ShareDemandResponseSchema, encodeAnswer(answer)).byteLength;
		};
		site.run(measuredMs);
		const directions = 2;
		const perEntry = (bytes * directions * 1_000) / measuredMs / entries;
		expect(Math.round(perEntry)).toBeLessThanOrEqual(maxBytesPerSecond);
		expect((site.entries[0]!.limits as SharedLimits).countLimited()).toBeGreaterThan(overloading / 2);
	}, 60_000);
});
