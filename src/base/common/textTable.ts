/**
 * Aligned columns for a terminal, the one way in which every command prints a table.
 */

const gap = '  ';
const figure = /^[-+]?[\d.,]+( ?(ms|%|x))?$/;

type Cells = readonly string[];

/** Whether a cell stands at the right end of its column. */
export type IsAtRight = (cell: string, column: number) => boolean;

/** One text for each line of cells, in columns as wide as their widest cell; no trailing blanks. */
export function formatColumns(lines: readonly Cells[], isAtRight: IsAtRight): string[] {
	const widths = measureColumns(lines);
	return lines.map(cells =>
		widths
			.map((width, column) => {
				const cell = cells[column] ?? '';
				return isAtRight(cell, column) ? cell.padStart(width) : cell.padEnd(width);
			})
			.join(gap)
			.trimEnd(),
	);
}

/** A head, a rule and rows; figures stand at the right, words at the left. */
export function renderTable(head: Cells, rows: readonly Cells[]): string {
	const rule = measureColumns([head, ...rows]).map(width => '-'.repeat(width));
	return formatColumns([head, rule, ...rows], cell => figure.test(cell)).join('\n');
}

function measureColumns(lines: readonly Cells[]): number[] {
	const columns = Math.max(0, ...lines.map(cells => cells.length));
	return Array.from({ length: columns }, (_, column) =>
		Math.max(...lines.map(cells => cells[column]?.length ?? 0)),
	);
}
