import type { Organisation, RouteTable, RouteUpdate } from "../directory/model.js";

/**
 * Returns the field `organisations` of a table after an update; without the field if neither has it, so that tables
 * without organisations stay the same.
 */
export function updateOrganisations(table: RouteTable, update: RouteUpdate): Pick<RouteTable, "organisations"> {
    // The codec between processes may decode an undefined field as null.
    const before = table.organisations ?? undefined;
    if (before === undefined && (update.organisations ?? []).length === 0) {
        return {};
    }
    const organisationsByName = new Map((before ?? []).map(organisation => [organisation.name, organisation]));
    (update.removedOrganisations ?? []).forEach(name => organisationsByName.delete(name));
    (update.organisations ?? []).forEach(organisation => organisationsByName.set(organisation.name, organisation));
    return { organisations: [...organisationsByName.values()] };
}

/** Returns the fields for organisations of the update that turns `before` into `after`; none if nothing changes. */
export function diffOrganisations(
    before: RouteTable,
    after: RouteTable,
): Pick<RouteUpdate, "organisations" | "removedOrganisations"> {
    const listBefore: readonly Organisation[] = before.organisations ?? [];
    const listAfter: readonly Organisation[] = after.organisations ?? [];
    const textsBefore = new Map(
        listBefore.map(organisation => [organisation.name, JSON.stringify(organisation)]),
    );
    const namesAfter = new Set(listAfter.map(organisation => organisation.name));
    const changed = listAfter.filter(organisation =>
        textsBefore.get(organisation.name) !== JSON.stringify(organisation)
    );
    const removed = [...textsBefore.keys()].filter(name => !namesAfter.has(name));
    return {
        ...changed.length > 0 ? { organisations: changed } : {},
        ...removed.length > 0 ? { removedOrganisations: removed } : {},
    };
}
