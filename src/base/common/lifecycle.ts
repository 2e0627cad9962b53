/**
 * Ownership of resources that must be released. The code that creates a disposable either disposes of it or adds it to a
 * store that does. Disposing twice is harmless, so that a shutdown path and an error path may overlap.
 */

/** An object that holds a resource until it is disposed of. */
export interface IDisposable {
	dispose(): void;
}

/** Creates a disposable from a callback that runs once, on the first disposal. */
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

/** Owns disposables and disposes of them in the reverse order in which they were added. */
export class DisposableStore implements IDisposable {
	private readonly members: IDisposable[] = [];
	private isDisposed = false;

	/** Takes ownership of a member. A member that is added after disposal is disposed of at once. */
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

/** Base class for owners of disposables. Registered members are disposed of together with the owner. */
export abstract class Disposable implements IDisposable {
	private readonly store = new DisposableStore();

	protected register<TMember extends IDisposable>(member: TMember): TMember {
		return this.store.add(member);
	}

	dispose(): void {
		this.store.dispose();
	}
}
