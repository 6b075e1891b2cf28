import type { HostRoutes, Route, RoutedService, RouteTable, RouteUpdate } from "./model.js";

/** Returns a table with an update made. A route that the update places under another host moves there. */
export function updateRoutes(table: RouteTable, update: RouteUpdate): RouteTable {
    const replaced = new Map<string, { readonly host: string; readonly route: Route; }>();
    update.hosts.forEach(({ host, routes }) => routes.forEach(route => replaced.set(route.name, { host, route })));
    const removed = new Set(update.removedRoutes);
    const placed = new Set<string>();
    const keepRoute = (host: string, route: Route): readonly Route[] => {
        const next = replaced.get(route.name);
        if (next === undefined) {
            return removed.has(route.name) ? [] : [route];
        }
        if (next.host !== host) {
            return [];
        }
        placed.add(route.name);
        return [next.route];
    };
    const kept = table.hosts.map(({ host, routes }) => ({
        host,
        routes: routes.flatMap(route => keepRoute(host, route)),
    }));
    return {
        version: update.version,
        limits: update.limits ?? table.limits,
        hosts: addRoutes(kept, update.hosts, placed),
        services: updateServices(table.services, update),
    };
}

function addRoutes(
    kept: readonly HostRoutes[],
    added: readonly HostRoutes[],
    placed: ReadonlySet<string>,
): readonly HostRoutes[] {
    const hosts = new Map(kept.map(row => [row.host, row.routes]));
    for (const { host, routes } of added) {
        const fresh = routes.filter(route => !placed.has(route.name));
        hosts.set(host, [...hosts.get(host) ?? [], ...fresh]);
    }
    return [...hosts].map(([host, routes]) => ({ host, routes }));
}

function updateServices(services: readonly RoutedService[], update: RouteUpdate): readonly RoutedService[] {
    const rows = new Map(services.map(row => [row.name, row]));
    update.removedServices.forEach(name => rows.delete(name));
    update.services.forEach(row => rows.set(row.name, row));
    return [...rows.values()];
}
