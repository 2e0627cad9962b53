/**
 * Fills in a settings template as the users' page on deployment says, as far as the template of the entry needs it:
 * values, sections over lists, tables and values, and commas between the entries of a list.
 */

/** Values of a section's entry, by name. */
type Scope = Readonly<Record<string, unknown>>;

const sectionPattern = /\{\{([#^])([\w.]+)\}\}([^]*?)\{\{\/\2\}\}/g;
const valuePattern = /\{\{([\w.]+|@)\}\}/g;

function findValue(scope: Scope, name: string): unknown {
	if (name in scope) {
		return scope[name];
	}
	return name
		.split('.')
		.reduce<unknown>(
			(value, part) => (typeof value === 'object' && value !== null ? (value as Scope)[part] : undefined),
			scope,
		);
}

function formatValue(value: unknown): string {
	if (value === undefined || value === null) {
		return '';
	}
	return typeof value === 'string' ? value : JSON.stringify(value);
}

function listScopes(scope: Scope, value: unknown): readonly Scope[] {
	if (Array.isArray(value)) {
		return value.map((entry: unknown, index) => ({ ...scope, '.': entry, '@': index }));
	}
	if (typeof value === 'object' && value !== null) {
		return Object.entries(value).map(([key, entry]) => ({ ...scope, '.': entry as unknown, '@': key }));
	}
	return value === undefined || value === false ? [] : [scope];
}

export function renderTemplate(template: string, scope: Scope): string {
	return template
		.replace(sectionPattern, (_, mark: string, name: string, inner: string) => {
			const scopes = listScopes(scope, findValue(scope, name));
			if (mark === '^') {
				return scopes.length === 0 ? renderTemplate(inner, scope) : '';
			}
			return scopes
				.map((entry, index) =>
					renderTemplate(inner.replaceAll('{{,}}', index + 1 < scopes.length ? ',' : ''), entry),
				)
				.join('');
		})
		.replace(valuePattern, (_, name: string) => formatValue(findValue(scope, name)));
}
