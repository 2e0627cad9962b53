/**
 * Decides which requests an entry still accepts while it is being stopped. Entries are stopped under load, and
 * callers keep sending to them until their directory information is renewed. A long answer that begins in the
 * last seconds is cut off when the platform ends the process, and its caller has neither the answer nor the time
 * for another one. If the request is refused at once, without being run, it is sent to another entry. Requests
 * with short answers are still served.
 */

import type { PromptShape } from '../prompts/promptShape';

/** Time that an answer may take to begin, for queueing and reading the prompt: a second at busy targets. */
const maxFirstTokenMs = 1_000;
/** Time per token of a busy engine: about twice the 9 ms that a full batch takes. */
const msPerToken = 20;

/** Whether the answer can be expected to complete within `timeLeftMs`. */
export function isFinishable(prompt: PromptShape | undefined, timeLeftMs: number): boolean {
	const tokens = prompt === undefined ? 0 : (prompt.hintedOutputTokens ?? prompt.maxOutputTokens);
	return maxFirstTokenMs + tokens * msPerToken <= timeLeftMs;
}
