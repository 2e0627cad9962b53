/**
 * Formats tables with aligned columns for a terminal. All commands use it for their output.
 */

const columnSeparator = '  ';
const numericCellPattern = /^[-+]?[\d.,]+( ?(ms|%|x))?$/;

type Cells = readonly string[];

/** Decides whether a cell is aligned to the right. */
export type IsRightAligned = (cell: string, column: number) => boolean;

/** Returns one text per row, in columns as wide as their widest cell and without trailing spaces. */
export function formatColumns(lines: readonly Cells[], isRightAligned: IsRightAligned): string[] {
	const widths = measureColumns(lines);
	return lines.map(cells =>
		widths
			.map((width, column) => {
				const cell = cells[column] ?? '';
				return isRightAligned(cell, column) ? cell.padStart(width) : cell.padEnd(width);
			})
			.join(columnSeparator)
			.trimEnd(),
	);
}

/** Formats a header, a rule and rows. Numeric cells are aligned to the right, other cells to the left. */
export function renderTable(head: Cells, rows: readonly Cells[]): string {
	const rule = measureColumns([head, ...rows]).map(width => '-'.repeat(width));
	return formatColumns([head, rule, ...rows], cell => numericCellPattern.test(cell)).join('\n');
}

function measureColumns(lines: readonly Cells[]): number[] {
	const columns = Math.max(0, ...lines.map(cells => cells.length));
	return Array.from({ length: columns }, (_, column) =>
		Math.max(...lines.map(cells => cells[column]?.length ?? 0)),
	);
}
