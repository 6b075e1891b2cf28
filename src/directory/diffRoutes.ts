import type { HostRoutes, Route, RouteTable, RouteUpdate } from "./model.js";

/** Returns the update that makes `after` of `before`. */
export function diffRoutes(before: RouteTable, after: RouteTable): RouteUpdate {
    const known = new Map(listRoutes(before).map(row => [row.route.name, JSON.stringify(row)]));
    const isNew = (host: string, route: Route) => known.get(route.name) !== JSON.stringify({ host, route });
    const hosts = after.hosts.map(({ host, routes }) => ({ host, routes: routes.filter(route => isNew(host, route)) }));
    const names = new Set(listRoutes(after).map(row => row.route.name));
    const services = new Map(before.services.map(row => [row.name, JSON.stringify(row)]));
    const serviceNames = new Set(after.services.map(row => row.name));
    return {
        version: after.version,
        limits: after.limits,
        hosts: hosts.filter(row => row.routes.length > 0),
        services: after.services.filter(row => services.get(row.name) !== JSON.stringify(row)),
        removedRoutes: [...known.keys()].filter(name => !names.has(name)),
        removedServices: [...services.keys()].filter(name => !serviceNames.has(name)),
    };
}

function listRoutes({ hosts }: { readonly hosts: readonly HostRoutes[]; }): { host: string; route: Route; }[] {
    return hosts.flatMap(({ host, routes }) => routes.map(route => ({ host, route })));
}
