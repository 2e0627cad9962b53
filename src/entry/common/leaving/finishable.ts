/**
 * Which requests an entry that is being stopped still takes. Load pattern: entries are stopped under load, and
 * callers go on sending to them for as long as they were told. A long answer that begins in the last seconds
 * is cut off when the platform ends the process, and its caller has neither the answer nor the time for
 * another one. Refused at once, and unrun, it is sent to another entry; short ones are served meanwhile.
 */

import type { PromptShape } from '../prompts/promptShape';

/** Waiting and reading before an answer begins, in milliseconds: a second where targets are busy. */
const beginsWithinMs = 1_000;
/** Time for a token of a busy engine, in milliseconds: twice the 9 ms that a full batch takes. */
const msPerToken = 20;

/** Whether an answer can be expected to be whole when `leftMs` have passed. */
export function isFinishable(prompt: PromptShape | undefined, leftMs: number): boolean {
	const tokens = prompt === undefined ? 0 : (prompt.hintedOutputTokens ?? prompt.mostOutputTokens);
	return beginsWithinMs + tokens * msPerToken <= leftMs;
}
