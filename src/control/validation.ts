import type { Catalogue } from "../catalogue/model.js";
import type { ApplyParams, ChangeOperation } from "./operatorApi.js";

const maxChangeIdLength = 200;

/** Returns why a catalogue cannot be put in force, or undefined. Must give the same result on all replicas. */
export function findCatalogueProblem(catalogue: Catalogue): string | undefined {
    const withoutLimits = Object.values(catalogue.services).find(service => typeof service.limits !== "object");
    return withoutLimits === undefined ? undefined : `service ${withoutLimits.name} has no limits`;
}

/** Returns why the parameters of `catalogue.apply` cannot be used, or undefined. */
export function findParamsProblem(params: unknown): string | undefined {
    if (!isObject(params)) {
        return "the parameters are not an object";
    }
    const { changeId, baseRevision, operation } = params as Partial<ApplyParams>;
    if (typeof changeId !== "string" || changeId === "" || changeId.length > maxChangeIdLength) {
        return "changeId must be a text of 1 to 200 characters";
    }
    if (!Number.isSafeInteger(baseRevision) || Number(baseRevision) < 0) {
        return "baseRevision must be a whole number of at least 0";
    }
    return isObject(operation) ? findOperationProblem(operation) : "operation must be an object";
}

function findOperationProblem(operation: ChangeOperation): string | undefined {
    switch (operation.kind) {
        case "declare":
            return findDeclarationsProblem(operation.declarations);
        case "set-upstream-override":
            return isObject(operation.override) && areTexts(operation.override.service, operation.override.upstreamId)
                ? undefined
                : "override must name a service and an upstream";
        case "clear-upstream-override":
            return areTexts(operation.service, operation.upstreamId)
                ? undefined
                : "service and upstreamId must be texts";
        case "set-entry-vm-state":
            return areTexts(operation.entryId) && ["active", "draining"].includes(operation.state)
                ? undefined
                : "entryId must be a text and state active or draining";
        case "set-service-limit":
            return areTexts(operation.service, operation.limit) && Number.isFinite(operation.value) &&
                    operation.value >= 0
                ? undefined
                : "service and limit must be texts and value a number of at least 0";
        default:
            return "the kind of operation is not known";
    }
}

function findDeclarationsProblem(declarations: unknown): string | undefined {
    if (!isObject(declarations)) {
        return "declarations must be an object";
    }
    const keys = [["services", "name"], ["entryVms", "id"], ["runbookCommands", "name"]];
    const wrong = keys.find(([table, key]) => {
        const rows = declarations[table];
        return !Array.isArray(rows) || rows.some(row => !isObject(row) || !areTexts(row[key]));
    });
    return wrong === undefined ? undefined : `declarations.${wrong[0]} must be a list of rows with a ${wrong[1]}`;
}

function areTexts(...values: readonly unknown[]): boolean {
    return values.every(value => typeof value === "string" && value !== "");
}

function isObject(value: unknown): value is Record<string, unknown> {
    return typeof value === "object" && value !== null && !Array.isArray(value);
}
