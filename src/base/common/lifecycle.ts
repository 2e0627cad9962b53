/**
 * Ownership of things that must be released: whoever makes a disposable either releases it or hands it to
 * a store that does. Releasing twice is harmless, so that a shutdown path may overlap with an error path.
 */

/** Something that holds a resource until it is disposed of. */
export interface IDisposable {
	dispose(): void;
}

/** Makes a disposable from a callback that runs once, on the first disposal. */
export function toDisposable(release: () => void): IDisposable {
	let isDisposed = false;
	return {
		dispose() {
			if (isDisposed) {
				return;
			}
			isDisposed = true;
			release();
		},
	};
}

/** Owns disposables and releases them in the reverse order of their arrival. */
export class DisposableStore implements IDisposable {
	private readonly members: IDisposable[] = [];
	private isDisposed = false;

	/** Takes ownership; a member that arrives after disposal is released at once. */
	add<TMember extends IDisposable>(member: TMember): TMember {
		if (this.isDisposed) {
			member.dispose();
			return member;
		}
		this.members.push(member);
		return member;
	}

	dispose(): void {
		this.isDisposed = true;
		while (this.members.length > 0) {
			this.members.pop()?.dispose();
		}
	}
}

/** Base of classes that own disposables: what they register is released with them. */
export abstract class Disposable implements IDisposable {
	private readonly store = new DisposableStore();

	protected register<TMember extends IDisposable>(member: TMember): TMember {
		return this.store.add(member);
	}

	dispose(): void {
		this.store.dispose();
	}
}
