import type { SlopeRow } from "./requests.js";

/** Least-squares line through the rows of one name. */
export interface FittedLine {
    readonly name: string;
    readonly unit: SlopeRow["unit"];
    readonly sizes: readonly number[];
    readonly slope: number;
    /** Standard error of the slope. */
    readonly standardError: number;
    /** Cost at size 0. */
    readonly intercept: number;
}

/** Fits a line to the rows of each name; throws RangeError when a name has fewer than four sizes. */
export function fitLines(rows: readonly SlopeRow[]): FittedLine[] {
    const names = [...new Set(rows.map(row => row.name))];
    return names.map(name => fitLine(name, rows.filter(row => row.name === name)));
}

function fitLine(name: string, rows: readonly SlopeRow[]): FittedLine {
    const sizes = rows.map(row => row.size);
    if (new Set(sizes).size < 4) {
        throw new RangeError(`${name} has ${sizes.length} sizes; a fit needs four different ones`);
    }
    const meanSize = mean(sizes);
    const meanCost = mean(rows.map(row => row.cost));
    const sizeSumOfSquares = sum(rows.map(row => (row.size - meanSize) ** 2));
    const slope = sum(rows.map(row => (row.size - meanSize) * (row.cost - meanCost))) / sizeSumOfSquares;
    const intercept = meanCost - slope * meanSize;
    const residualSumOfSquares = sum(rows.map(row => (row.cost - intercept - slope * row.size) ** 2));
    const standardError = Math.sqrt(residualSumOfSquares / (rows.length - 2) / sizeSumOfSquares);
    return { name, unit: rows[0].unit, sizes, slope, standardError, intercept };
}

function sum(values: readonly number[]): number {
    return values.reduce((total, value) => total + value, 0);
}

function mean(values: readonly number[]): number {
    return sum(values) / values.length;
}
