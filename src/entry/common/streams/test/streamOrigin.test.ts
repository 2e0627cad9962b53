import type { BootId, ServiceName, SoftwareVersion, StreamId } from '../../../../core/ids/common/ids';
import type { Continuation, KnownOrigin } from '../streamOrigin';
import { describeContinuation, describeSoftware, ownSource } from '../streamOrigin';

function createContinuation(origin: KnownOrigin | undefined): Continuation {
	return { stream: '8664' as StreamId, afterEvent: '7', origin };
}

describe('the description of a stream that goes on', () => {
	it('names the version that began it, who reported it and how long ago', () => {
		const origin = {
			service: 'writer' as ServiceName,
			version: 'v1' as SoftwareVersion,
			source: ownSource,
			learnedMs: 1_000,
		};
		expect(describeContinuation(createContinuation(origin), 1_250)).toBe(
			'continues stream 8664 after event 7, begun at writer v1, known from this entry for 250 ms',
		);
	});

	it('says that the version is unknown', () => {
		expect(describeContinuation(createContinuation(undefined), 0)).toBe(
			'continues stream 8664 after event 7, begun at an unknown version',
		);
	});

	it('names the version and the boot of the target', () => {
		const software = { version: 'v1.2' as SoftwareVersion, boot: '1764' as BootId };
		expect(describeSoftware(software)).toBe('target runs version v1.2, boot 1764');
		expect(describeSoftware({ version: undefined, boot: undefined })).toBe(
			'target runs version unknown, boot unknown',
		);
	});
});
