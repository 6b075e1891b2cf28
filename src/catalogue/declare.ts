import type { ChangeOperation } from "../control/operatorApi.js";
import type { Catalogue, EntryVm } from "./model.js";

/** Operation that replaces all declarations. */
export type DeclareOperation = Extract<ChangeOperation, { kind: "declare"; }>;

/** Returns the catalogue that an operation makes of `base`, at the same revision. */
export function declareCatalogue(base: Catalogue, { declarations, keepStateOf }: DeclareOperation): Catalogue {
    const keptIds = new Set(keepStateOf ?? []);
    const entryVms = declarations.entryVms.map((entryVm): EntryVm => {
        const known = Object.hasOwn(base.entryVms, entryVm.id) ? base.entryVms[entryVm.id] : undefined;
        return keptIds.has(entryVm.id) && known !== undefined ? { ...entryVm, state: known.state } : entryVm;
    });
    return {
        ...base,
        services: Object.fromEntries(declarations.services.map(service => [service.name, service])),
        entryVms: Object.fromEntries(entryVms.map(entryVm => [entryVm.id, entryVm])),
        runbookCommands: Object.fromEntries(declarations.runbookCommands.map(command => [command.name, command])),
    };
}
