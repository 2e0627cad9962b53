/**
 * How often each kind of document was read from the platform.
 */

/** The kinds of reads that count against the budget. */
export enum PlatformRead {
	Manifest = 'manifest',
	Instances = 'instances',
	Directory = 'directory',
}

/** Counts the reads of each kind since the start. */
export class PlatformReadCounts {
	private readonly counts: Record<PlatformRead, number> = {
		[PlatformRead.Manifest]: 0,
		[PlatformRead.Instances]: 0,
		[PlatformRead.Directory]: 0,
	};

	note(read: PlatformRead): void {
		this.counts[read]++;
	}

	get(): Readonly<Record<PlatformRead, number>> {
		return { ...this.counts };
	}
}
