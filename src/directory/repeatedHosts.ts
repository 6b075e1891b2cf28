import type { RouteChange } from "./directoryState.js";
import type { RouteTable } from "./model.js";
import { digestRouteChange } from "./routeChangeDigest.js";
import { updateRoutes } from "./updateRoutes.js";

/** Returns whether a table lists a host more than once. */
export function hasRepeatedHost({ hosts }: RouteTable): boolean {
    return new Set(hosts.map(({ host }) => host)).size < hosts.length;
}

/** Returns the table with the last entry of each host alone. */
export function keepLastEntries(table: RouteTable): RouteTable {
    const routesByHost = new Map(table.hosts.map(({ host, routes }) => [host, routes]));
    return { ...table, hosts: [...routesByHost].map(([host, routes]) => ({ host, routes })) };
}

/**
 * Replaces the update of a table with repeated hosts by the resulting table. Earlier versions drop routes when they apply
 * such an update, and all replicas must apply a record with the same result.
 */
export function resolveUpdate(current: RouteTable, change: RouteChange): RouteChange {
    const { update, baseVersion } = change;
    if (update === undefined || baseVersion !== current.version || !hasRepeatedHost(current)) {
        return change;
    }
    const table = updateRoutes(current, update);
    return { ...change, table, update: undefined, sentDigest: digestRouteChange(change) };
}
