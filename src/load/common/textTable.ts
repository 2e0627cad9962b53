/**
 * Renders rows as a table for a terminal.
 */

const columnGap = '  ';
const numeric = /^[-+]?[\d.,]+( ?(ms|%|x))?$/;

/** Renders a head and rows in columns; figures are set to the right, words to the left. */
export function renderTable(head: readonly string[], rows: readonly (readonly string[])[]): string {
	const widths = head.map((title, column) =>
		Math.max(title.length, ...rows.map(row => (row[column] ?? '').length)),
	);
	const rule = widths.map(width => '-'.repeat(width));
	return [head, rule, ...rows]
		.map(cells => widths.map((width, column) => renderCell(cells[column] ?? '', width)))
		.map(cells => cells.join(columnGap).trimEnd())
		.join('\n');
}

function renderCell(cell: string, width: number): string {
	return numeric.test(cell) ? cell.padStart(width) : cell.padEnd(width);
}
