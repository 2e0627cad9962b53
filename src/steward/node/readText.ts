/**
 * Reads the text of an answer, up to a size.
 */

/** The configuration service holds values up to a mebibyte; nothing else that the steward reads is larger. */
const largestText = 1_048_576;

/** Thrown for an answer that is larger than anything that is expected. */
export class TextTooLargeError extends Error {}

export async function readText(body: AsyncIterable<Buffer>): Promise<string> {
	const pieces: Buffer[] = [];
	let length = 0;
	for await (const piece of body) {
		length += piece.length;
		if (length > largestText) {
			throw new TextTooLargeError(`the answer is larger than ${largestText} bytes`);
		}
		pieces.push(piece);
	}
	return Buffer.concat(pieces).toString('utf8');
}
