/**
 * Tables whose columns say how a row is shown; texts from elsewhere are made safe for a terminal.
 */

import { formatColumns } from '../../base/common/textTable';
import { formatText } from './formatting';

/** One column: its heading and the cell of a row. */
export interface Column<TRow> {
	readonly heading: string;
	readonly render: (row: TRow) => string | number;
	/** Numbers stand at the right. */
	readonly isNumber?: boolean;
}

/** One line for the headings and one for each row; no trailing blanks. */
export function renderTable<TRow>(columns: readonly Column<TRow>[], rows: readonly TRow[]): string[] {
	const lines = [
		columns.map(column => column.heading),
		...rows.map(row => columns.map(column => formatText(String(column.render(row))))),
	];
	return formatColumns(lines, (_, column) => columns[column]?.isNumber === true);
}
