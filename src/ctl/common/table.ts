/**
 * Aligned tables for a terminal.
 */

import { formatText } from './formatting';

/** One column: its heading and the cell of a row. */
export interface Column<TRow> {
	readonly heading: string;
	readonly render: (row: TRow) => string | number;
	/** Numbers stand at the right. */
	readonly isNumber?: boolean;
}

const gap = '  ';

/** One line for the headings and one for each row; no trailing blanks. */
export function renderTable<TRow>(columns: readonly Column<TRow>[], rows: readonly TRow[]): string[] {
	const lines = [
		columns.map(column => column.heading),
		...rows.map(row => columns.map(column => formatText(String(column.render(row))))),
	];
	const widths = columns.map((_, index) => Math.max(...lines.map(cells => cells[index]?.length ?? 0)));
	return lines.map(cells =>
		cells
			.map((cell, index) => {
				const width = widths[index] ?? 0;
				return columns[index]?.isNumber === true ? cell.padStart(width) : cell.padEnd(width);
			})
			.join(gap)
			.trimEnd(),
	);
}
