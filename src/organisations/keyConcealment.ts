import type { Organisation, RouteTable, RouteUpdate } from "../directory/model.js";
import { digestKey } from "./keyDigest.js";

/** Returns the table as entries get it: with digests instead of keys. */
export function concealKeysInTable(table: RouteTable): RouteTable {
    return table.organisations === undefined
        ? table
        : { ...table, organisations: table.organisations.map(concealKeys) };
}

/** Returns the update as entries get it: with digests instead of keys. */
export function concealKeysInUpdate(update: RouteUpdate): RouteUpdate {
    return update.organisations === undefined
        ? update
        : { ...update, organisations: update.organisations.map(concealKeys) };
}

function concealKeys(organisation: Organisation): Organisation {
    return { ...organisation, keys: [], keyDigests: organisation.keys.map(digestKey) };
}
