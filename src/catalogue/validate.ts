import type { z } from "zod";
import type { ChangeOperation, Declarations } from "../control/operatorApi.js";
import { type FieldPath, formatPath } from "../settings/document.js";
import type { Catalogue, EntryVm, RunbookCommand, Service } from "./model.js";
import { ArgumentKind, countCommandArguments, hasPlaceholder, runbookOperations } from "./operations.js";
import {
    changeOperationSchema,
    entryVmSchema,
    runbookCommandSchema,
    serviceLimitsSchema,
    serviceSchema,
} from "./schema.js";

/** An invalid field of the catalogue. */
export interface CatalogueProblem {
    readonly path: FieldPath;
    readonly expected: string;
    readonly actual: string;
}

/** Formats a problem as one line. */
export function formatCatalogueProblem({ path, expected, actual }: CatalogueProblem): string {
    return `${formatPath(path)}: expected ${expected}, got ${actual}`;
}

/** Returns the invalid fields and references of a catalogue; it can be applied when there are none. */
export function validateCatalogue(catalogue: Catalogue): CatalogueProblem[] {
    return [
        ...Object.entries(catalogue.services).flatMap(([name, service]) => checkService(name, service)),
        ...Object.entries(catalogue.entryVms).flatMap(([id, entryVm]) => checkEntryVm(id, entryVm)),
        ...checkAddresses(Object.values(catalogue.entryVms)),
        ...Object.entries(catalogue.runbookCommands).flatMap(([name, command]) =>
            checkCommand(name, command, catalogue)
        ),
    ];
}

/**
 * Checks an operation against the catalogue that it changes: its schema, duplicate ids in the declarations, and
 * references to unknown names. The changed catalogue is checked by `validateCatalogue`.
 */
export function validateOperation(catalogue: Catalogue, operation: ChangeOperation): CatalogueProblem[] {
    const schemaProblems = checkSchema(["operation"], changeOperationSchema, operation);
    if (schemaProblems.length > 0) {
        return schemaProblems;
    }
    switch (operation.kind) {
        case "declare":
            return checkDuplicates(operation.declarations);
        case "set-upstream-override":
            return checkKnown(["override", "service"], catalogue.services, operation.override.service, "service");
        case "set-entry-vm-state":
            return checkKnown(["entryId"], catalogue.entryVms, operation.entryId, "entry VM");
        case "set-service-limit":
            return [
                ...checkKnown(["service"], catalogue.services, operation.service, "service"),
                ...checkKnown(["limit"], serviceLimitsSchema.shape, operation.limit, "limit"),
            ];
        case "clear-upstream-override":
            return [];
    }
}

/** Returns a problem for each duplicate id in the declarations. */
export function checkDuplicates(declarations: Declarations): CatalogueProblem[] {
    return [
        ...findDuplicates("services", "name", declarations.services.map(service => service.name)),
        ...findDuplicates("entryVms", "id", declarations.entryVms.map(entryVm => entryVm.id)),
        ...findDuplicates("runbookCommands", "name", declarations.runbookCommands.map(command => command.name)),
    ];
}

function findDuplicates(collection: string, field: string, ids: readonly string[]): CatalogueProblem[] {
    return ids.flatMap((id, index) =>
        ids.indexOf(id) === index ?
            [] :
            [{
                path: [collection, index, field],
                expected: `each ${field} once`,
                actual: `a second ${JSON.stringify(id)}`,
            }]
    );
}

function checkSchema(path: FieldPath, schema: z.ZodType, value: unknown): CatalogueProblem[] {
    const result = schema.safeParse(value);
    return result.success ? [] : result.error.issues.map(issue => ({
        path: [...path, ...issue.path],
        expected: issue.message,
        actual: describeActual(issue, value),
    }));
}

function describeActual(issue: z.core.$ZodIssue, value: unknown): string {
    if (issue.code === "unrecognized_keys") {
        return `the key ${issue.keys[0]}`;
    }
    const actual = issue.path.reduce<unknown>((parent, key) => (parent as Record<PropertyKey, unknown>)?.[key], value);
    return actual === undefined ? "nothing" : JSON.stringify(actual);
}

function checkService(name: string, service: Service): CatalogueProblem[] {
    const path = ["services", name];
    const problems = [
        ...checkSchema(path, serviceSchema, service),
        ...checkKey([...path, "name"], name, service.name),
    ];
    if (problems.length === 0 && service.hedging.enabled && service.retryRatio === 0) {
        problems.push({
            path: [...path, "hedging", "enabled"],
            expected: "false, because retryRatio is 0",
            actual: "true",
        });
    }
    return problems;
}

function checkEntryVm(id: string, entryVm: EntryVm): CatalogueProblem[] {
    const path = ["entryVms", id];
    return [...checkSchema(path, entryVmSchema, entryVm), ...checkKey([...path, "id"], id, entryVm.id)];
}

function checkKey(path: FieldPath, key: string, value: string): CatalogueProblem[] {
    return key === value ? [] : [{ path, expected: JSON.stringify(key), actual: JSON.stringify(value) }];
}

/** Checks that each address occurs once, over both address fields of all entry VMs. */
function checkAddresses(entryVms: readonly EntryVm[]): CatalogueProblem[] {
    const usesByAddress = new Map<string, string>();
    const problems: CatalogueProblem[] = [];
    for (const entryVm of entryVms) {
        for (const field of ["address", "peerAddress"] as const) {
            const otherUse = usesByAddress.get(entryVm[field]);
            if (otherUse !== undefined) {
                problems.push({
                    path: ["entryVms", entryVm.id, field],
                    expected: "an address that no other field has",
                    actual: `${entryVm[field]}, which is also ${otherUse}`,
                });
            }
            usesByAddress.set(entryVm[field], `${field} of ${entryVm.id}`);
        }
    }
    return problems;
}

function checkCommand(name: string, command: RunbookCommand, catalogue: Catalogue): CatalogueProblem[] {
    const path = ["runbookCommands", name];
    const schemaProblems = [
        ...checkSchema(path, runbookCommandSchema, command),
        ...checkKey([...path, "name"], name, command.name),
    ];
    if (schemaProblems.length > 0) {
        return schemaProblems;
    }
    const operationProblems = checkKnown([...path, "operation"], runbookOperations, command.operation, "operation");
    return operationProblems.length > 0 ? operationProblems : checkArguments(path, command, catalogue);
}

function checkArguments(path: FieldPath, command: RunbookCommand, catalogue: Catalogue): CatalogueProblem[] {
    const kinds = runbookOperations[command.operation];
    const templates = command.arguments;
    if (templates.length !== kinds.length) {
        const expected = `${kinds.length} arguments of ${command.operation}${kinds.map(kind => `, ${kind}`).join("")}`;
        return [{ path: [...path, "arguments"], expected, actual: String(templates.length) }];
    }
    return [
        ...checkPlaceholders([...path, "arguments"], templates),
        ...templates.flatMap((template, index) =>
            hasPlaceholder(template) ?
                [] :
                checkArgument([...path, "arguments", index], kinds[index], template, catalogue)
        ),
    ];
}

function checkPlaceholders(path: FieldPath, templates: readonly string[]): CatalogueProblem[] {
    const joinedTemplates = templates.join(" ");
    const problems: CatalogueProblem[] = [];
    for (let number = 1; number <= countCommandArguments(templates); number++) {
        if (!joinedTemplates.includes(`{${number}}`)) {
            problems.push({ path, expected: `a use of {${number}}`, actual: JSON.stringify(templates) });
        }
    }
    return problems;
}

function checkArgument(path: FieldPath, kind: ArgumentKind, value: string, catalogue: Catalogue): CatalogueProblem[] {
    switch (kind) {
        case ArgumentKind.service:
            return checkKnown(path, catalogue.services, value, kind);
        case ArgumentKind.entryVm:
            return checkKnown(path, catalogue.entryVms, value, kind);
        case ArgumentKind.limit:
            return checkKnown(path, serviceLimitsSchema.shape, value, kind);
        case ArgumentKind.value:
            return Number.isFinite(Number(value)) ? [] : [{ path, expected: kind, actual: JSON.stringify(value) }];
        case ArgumentKind.upstream:
            return [];
    }
}

function checkKnown(path: FieldPath, collection: object, name: string, kind: string): CatalogueProblem[] {
    const knownNames = Object.keys(collection);
    if (knownNames.includes(name)) {
        return [];
    }
    const expected = knownNames.length === 0
        ? `a known ${kind}; there is none`
        : `a known ${kind} (${knownNames.join(", ")})`;
    return [{ path, expected, actual: JSON.stringify(name) }];
}
