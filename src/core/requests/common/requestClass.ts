/**
 * The request classes: the urgency that a caller sets for a request.
 */

export enum RequestClass {
	/** A person is waiting for the answer. */
	Urgent = 'urgent',
	Normal = 'normal',
	/** Long-running work that can wait for capacity. */
	Draft = 'draft',
}

/** All classes, most urgent first. */
export const requestClasses: readonly RequestClass[] = [
	RequestClass.Urgent,
	RequestClass.Normal,
	RequestClass.Draft,
];

const classesByName: ReadonlyMap<string, RequestClass> = new Map(requestClasses.map(name => [name, name]));

/** Returns the class with a name, or undefined if there is none. */
export function findRequestClass(name: string): RequestClass | undefined {
	return classesByName.get(name);
}
