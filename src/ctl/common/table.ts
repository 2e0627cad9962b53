/**
 * Renders text tables from column definitions. Control characters in cells are replaced.
 */

import { formatColumns } from '../../base/common/textTable';
import { formatForTerminal } from './formatting';

/** A column: its heading and the function that renders its cell of a row. */
export interface Column<TRow> {
	readonly heading: string;
	readonly render: (row: TRow) => string | number;
	/** Numbers are right-aligned. */
	readonly isNumber?: boolean;
}

/** Renders one line for the headings and one for each row, without trailing blanks. */
export function renderTable<TRow>(columns: readonly Column<TRow>[], rows: readonly TRow[]): string[] {
	const lines = [
		columns.map(column => column.heading),
		...rows.map(row => columns.map(column => formatForTerminal(String(column.render(row))))),
	];
	return formatColumns(lines, (_, column) => columns[column]?.isNumber === true);
}

/** Renders a table of at most `maxRows` rows after a blank line, and the number of rows left out. */
export function renderTruncated<TRow>(
	columns: readonly Column<TRow>[],
	rows: readonly TRow[],
	maxRows: number,
): string[] {
	if (rows.length === 0) {
		return [];
	}
	const hiddenRows = rows.length - maxRows;
	return [
		'',
		...renderTable(columns, rows.slice(0, maxRows)),
		...(hiddenRows > 0 ? [`... and ${hiddenRows} more: --all shows them`] : []),
	];
}
