/**
 * The settings for the certificates of a process.
 */

import { z } from 'zod';

/** Marks a setting as the name of an environment variable. */
export const environmentPrefix = 'env:';

/** A file path, or `env:NAME` for an environment variable that contains the PEM text. */
const pemSourceSchema = z
	.string()
	.regex(/^(env:[A-Za-z_][A-Za-z0-9_]*|(?!env:).+)$/, 'a file path, or env: and the name of a variable');

/** The section `[tls]`; `authorities` are the trusted certificate authorities. */
export const tlsSettingsSchema = z.strictObject({
	certificate: pemSourceSchema,
	private_key: pemSourceSchema,
	authorities: pemSourceSchema,
});

export type TlsSettings = z.output<typeof tlsSettingsSchema>;
