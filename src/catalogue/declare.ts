import type { ChangeOperation } from "../control/operatorApi.js";
import type { Catalogue, EntryVm } from "./model.js";

/** Operation that replaces all declarations of the catalogue. */
export type DeclareOperation = Extract<ChangeOperation, { kind: "declare"; }>;

/** Applies an operation to `base` and returns the new catalogue; the revision stays the same. */
export function applyDeclareOperation(base: Catalogue, { declarations, keepStateOf }: DeclareOperation): Catalogue {
    const idsKeepingState = new Set(keepStateOf ?? []);
    const entryVms = declarations.entryVms.map((entryVm): EntryVm => {
        const existing = Object.hasOwn(base.entryVms, entryVm.id) ? base.entryVms[entryVm.id] : undefined;
        return idsKeepingState.has(entryVm.id) && existing !== undefined
            ? { ...entryVm, state: existing.state }
            : entryVm;
    });
    return {
        ...base,
        services: Object.fromEntries(declarations.services.map(service => [service.name, service])),
        entryVms: Object.fromEntries(entryVms.map(entryVm => [entryVm.id, entryVm])),
        runbookCommands: Object.fromEntries(declarations.runbookCommands.map(command => [command.name, command])),
    };
}
