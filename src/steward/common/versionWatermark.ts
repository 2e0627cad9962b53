/**
 * The highest version of the manifest that this steward has seen anywhere: from the platform or as an
 * engine's fencing number. No order follows from a version below it. A platform replica that has fallen
 * back would otherwise make the steward undo, on engines that check nothing, what it did itself before.
 */
export class VersionWatermark {
	private highest = 0;

	note(version: number): void {
		this.highest = Math.max(this.highest, version);
	}

	get(): number {
		return this.highest;
	}
}
