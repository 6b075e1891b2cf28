import type { Catalogue } from "../catalogue/model.js";
import type { FieldDifference } from "./operatorApi.js";

const maxDifferences = 200;

/** Returns the fields that differ between two catalogues, without the revision and the entry lists; at most `limit`. */
export function listDifferences(
    before: Catalogue,
    after: Catalogue,
    limit = maxDifferences,
): readonly FieldDifference[] {
    const found: FieldDifference[] = [];
    const keys = ["services", "entryVms", "upstreamOverrides", "runbookCommands"] as const;
    for (const key of keys) {
        compareValues(key, before[key], after[key], found, limit);
    }
    return found.slice(0, limit);
}

function compareValues(
    path: string,
    before: unknown,
    after: unknown,
    found: FieldDifference[],
    limit: number,
): void {
    if (Object.is(before, after) || found.length >= limit) {
        return;
    }
    if (isObject(before) && isObject(after)) {
        const names = [...new Set([...Object.keys(before), ...Object.keys(after)])].sort();
        names.forEach(name => compareValues(`${path}.${name}`, before[name], after[name], found, limit));
        return;
    }
    const texts = { before: toText(before), after: toText(after) };
    if (texts.before !== texts.after) {
        found.push({ path, ...texts });
    }
}

function isObject(value: unknown): value is Record<string, unknown> {
    return typeof value === "object" && value !== null && !Array.isArray(value);
}

function toText(value: unknown): string | undefined {
    return value === undefined ? undefined : JSON.stringify(value);
}
