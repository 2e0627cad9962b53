/**
 * Counts how often each kind of document was read from the platform.
 */

/** The kinds of reads from the platform. */
export enum PlatformReadKind {
	Manifest = 'manifest',
	Instances = 'instances',
	Directory = 'directory',
}

/** Counts reads by kind since the start. */
export class PlatformReadCounts {
	private readonly counts: Record<PlatformReadKind, number> = {
		[PlatformReadKind.Manifest]: 0,
		[PlatformReadKind.Instances]: 0,
		[PlatformReadKind.Directory]: 0,
	};

	record(kind: PlatformReadKind): void {
		this.counts[kind]++;
	}

	get(): Readonly<Record<PlatformReadKind, number>> {
		return { ...this.counts };
	}
}
