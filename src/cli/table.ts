const columnGap = "  ";

/** Returns rows as lines with aligned columns; the first row is the header. */
export function formatTable(rows: readonly (readonly string[])[]): string[] {
    const widths = rows[0].map((_, column) => Math.max(...rows.map(row => row[column].length)));
    return rows.map(row => row.map((cell, column) => cell.padEnd(widths[column])).join(columnGap).trimEnd());
}

/** Returns a count with its noun, such as `1 field` or `2 fields`. */
export function formatCount(count: number, noun: string): string {
    return `${count} ${noun}${count === 1 ? "" : "s"}`;
}
