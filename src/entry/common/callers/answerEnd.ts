/**
 * What the end of an answer shows. A length or a last chunk is sent only with the whole answer. The close of the
 * connection ends an answer without either, and ends it as well when its sender crashes, so it proves nothing.
 */
export enum AnswerEnd {
	/** A length or a last chunk shows that the answer is whole. */
	Certain = 'certain',
	/** Only the close of the connection ended the answer, so that it may be incomplete. */
	Uncertain = 'uncertain',
	/** The answer was cut off, so that its reader knows that it is incomplete. */
	Cut = 'cut',
}

/** Names for the log what delimits the body of a target's answer. */
export function describeFraming(endsWithConnection: boolean): string {
	return endsWithConnection ? 'ends with its connection' : 'has a length or chunks';
}
