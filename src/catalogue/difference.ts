import type { FieldDifference } from "../control/operatorApi.js";
import type { Catalogue } from "./model.js";

/**
 * Returns the fields that differ between two catalogues, by path. Revisions and entry lists are left out, because they
 * follow from the other fields.
 */
export function diffCatalogues(before: Catalogue, after: Catalogue): FieldDifference[] {
    const differences: FieldDifference[] = [];
    compareValues("", comparableParts(before), comparableParts(after), differences);
    return differences;
}

function comparableParts(catalogue: Catalogue): unknown {
    const { services, entryVms, upstreamOverrides, runbookCommands } = catalogue;
    const overrides = upstreamOverrides.map(override => [`${override.service}/${override.upstreamId}`, override.state]);
    return { services, entryVms, upstreamOverrides: Object.fromEntries(overrides), runbookCommands };
}

/** Compares field by field where both sides are objects; an object on one side only is one difference. */
function compareValues(path: string, before: unknown, after: unknown, differences: FieldDifference[]): void {
    if (isObject(before) && isObject(after)) {
        const keys = [...new Set([...Object.keys(before), ...Object.keys(after)])].sort();
        keys.forEach(key => compareValues(path === "" ? key : `${path}.${key}`, before[key], after[key], differences));
        return;
    }
    const difference = { path, before: formatValue(before), after: formatValue(after) };
    if (difference.before !== difference.after) {
        differences.push(difference);
    }
}

function isObject(value: unknown): value is Record<string, unknown> {
    return typeof value === "object" && value !== null && !Array.isArray(value);
}

function formatValue(value: unknown): string | undefined {
    return value === undefined ? undefined : JSON.stringify(value);
}
