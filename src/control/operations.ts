import { applyDeclareOperation, type DeclareOperation } from "../catalogue/declare.js";
import type { Catalogue, EntryList, EntryVm, UpstreamOverride } from "../catalogue/model.js";
import type { EntryId } from "../core/ids.js";
import type { ChangeOperation } from "./operatorApi.js";

/** Why an operation cannot be applied to the catalogue. */
export interface OperationProblem {
    readonly problem: string;
}

/** Applies an operation without changing the revision; returns the problem if it cannot be applied. */
export function applyOperation(catalogue: Catalogue, operation: ChangeOperation): Catalogue | OperationProblem {
    switch (operation.kind) {
        case "declare":
            return declare(catalogue, operation);
        case "set-upstream-override":
            return setOverride(catalogue, operation.override);
        case "clear-upstream-override":
            return {
                ...catalogue,
                upstreamOverrides: catalogue.upstreamOverrides.filter(existing => !isSameUpstream(existing, operation)),
            };
        case "set-entry-vm-state":
            return setEntryVmState(catalogue, operation.entryId, operation.state);
        case "set-service-limit":
            return setServiceLimit(catalogue, operation.service, operation.limit, operation.value);
        default:
            return { problem: `unknown operation ${(operation as { kind: string; }).kind}` };
    }
}

/** Returns the current entry list of a catalogue. */
export function currentEntryList(catalogue: Catalogue): EntryList | undefined {
    return catalogue.entryLists.at(-1);
}

/** Returns the entry list for the entry VMs of a catalogue, or undefined when it equals the current one. */
export function changedEntryList(catalogue: Catalogue, revision: number): EntryList | undefined {
    const vms = Object.values(catalogue.entryVms).sort((a, b) => a.id < b.id ? -1 : 1);
    const current = currentEntryList(catalogue);
    const list = { revision, entryIds: vms.map(vm => vm.id), availabilityZones: vms.map(vm => vm.availabilityZone) };
    const isSame = current !== undefined
        ? isSameList(current.entryIds, list.entryIds) && isSameList(current.availabilityZones, list.availabilityZones)
        : vms.length === 0;
    return isSame ? undefined : list;
}

function isSameList(first: readonly string[], second: readonly string[]): boolean {
    return first.length === second.length && first.every((value, position) => value === second[position]);
}

function declare(catalogue: Catalogue, operation: DeclareOperation): Catalogue | OperationProblem {
    const { services, entryVms, runbookCommands } = operation.declarations;
    const duplicate = findDuplicate(services.map(declared => declared.name)) ??
        findDuplicate(entryVms.map(declared => declared.id)) ??
        findDuplicate(runbookCommands.map(declared => declared.name));
    return duplicate === undefined ?
        applyDeclareOperation(catalogue, operation) :
        { problem: `${duplicate} is declared twice` };
}

function findDuplicate(names: readonly string[]): string | undefined {
    return names.find((name, position) => names.indexOf(name) !== position);
}

function setOverride(catalogue: Catalogue, override: UpstreamOverride): Catalogue | OperationProblem {
    if (!Object.hasOwn(catalogue.services, override.service)) {
        return { problem: `there is no service ${override.service}` };
    }
    const others = catalogue.upstreamOverrides.filter(existing => !isSameUpstream(existing, override));
    return { ...catalogue, upstreamOverrides: [...others, override] };
}

function isSameUpstream(existing: UpstreamOverride, other: { service: string; upstreamId: string; }): boolean {
    return existing.service === other.service && existing.upstreamId === other.upstreamId;
}

function setEntryVmState(
    catalogue: Catalogue,
    entryId: EntryId,
    state: EntryVm["state"],
): Catalogue | OperationProblem {
    if (!Object.hasOwn(catalogue.entryVms, entryId)) {
        return { problem: `there is no entry VM ${entryId}` };
    }
    const changed = { ...catalogue.entryVms[entryId], state };
    return { ...catalogue, entryVms: { ...catalogue.entryVms, [entryId]: changed } };
}

function setServiceLimit(
    catalogue: Catalogue,
    service: string,
    limit: string,
    value: number,
): Catalogue | OperationProblem {
    if (!Object.hasOwn(catalogue.services, service)) {
        return { problem: `there is no service ${service}` };
    }
    const currentService = catalogue.services[service];
    if (!Object.hasOwn(currentService.limits, limit)) {
        return { problem: `there is no limit ${limit}` };
    }
    const changed = { ...currentService, limits: { ...currentService.limits, [limit]: value } };
    return { ...catalogue, services: { ...catalogue.services, [service]: changed } };
}
