import type { FieldDifference } from "../control/operatorApi.js";
import type { Catalogue } from "./model.js";

/**
 * Returns the fields that differ between two catalogues, by path. Revisions and entry lists are left out, because they
 * follow from the other fields.
 */
export function diffCatalogues(before: Catalogue, after: Catalogue): FieldDifference[] {
    const beforeFields = flattenFields(comparableParts(before));
    const afterFields = flattenFields(comparableParts(after));
    const paths = [...new Set([...beforeFields.keys(), ...afterFields.keys()])].sort();
    return paths
        .map(path => ({ path, before: beforeFields.get(path), after: afterFields.get(path) }))
        .filter(difference => difference.before !== difference.after);
}

function comparableParts(catalogue: Catalogue): unknown {
    const { services, entryVms, upstreamOverrides, runbookCommands } = catalogue;
    const overrides = upstreamOverrides.map(override => [`${override.service}/${override.upstreamId}`, override.state]);
    return { services, entryVms, upstreamOverrides: Object.fromEntries(overrides), runbookCommands };
}

/** Lists the leaves of a value by path. Lists of plain values are leaves, so that one changed item reads as a whole. */
function flattenFields(value: unknown): Map<string, string> {
    const fields = new Map<string, string>();
    collectFields(value, "", fields);
    return fields;
}

function collectFields(value: unknown, path: string, fields: Map<string, string>): void {
    if (typeof value !== "object" || value === null || Array.isArray(value)) {
        fields.set(path, JSON.stringify(value));
        return;
    }
    for (const [key, child] of Object.entries(value)) {
        collectFields(child, path === "" ? key : `${path}.${key}`, fields);
    }
}
