import { diffOrganisations } from "../organisations/organisationChanges.js";
import type { HostRoutes, Route, RouteTable, RouteUpdate } from "./model.js";

/** Returns the update that turns `before` into `after`, except for the order of items and hosts without routes. */
export function diffRoutes(before: RouteTable, after: RouteTable): RouteUpdate {
    const routesBefore = new Map(
        listRoutes(before).map(hostedRoute => [hostedRoute.route.name, JSON.stringify(hostedRoute)]),
    );
    const isChanged = (host: string, route: Route) => routesBefore.get(route.name) !== JSON.stringify({ host, route });
    const hosts = after.hosts.map(({ host, routes }) => ({
        host,
        routes: routes.filter(route => isChanged(host, route)),
    }));
    const namesAfter = new Set(listRoutes(after).map(hostedRoute => hostedRoute.route.name));
    const servicesBefore = new Map(
        before.services.map(routedService => [routedService.name, JSON.stringify(routedService)]),
    );
    const serviceNamesAfter = new Set(after.services.map(routedService => routedService.name));
    return {
        version: after.version,
        limits: after.limits,
        hosts: hosts.filter(hostRoutes => hostRoutes.routes.length > 0),
        services: after.services.filter(routedService =>
            servicesBefore.get(routedService.name) !== JSON.stringify(routedService)
        ),
        removedRoutes: [...routesBefore.keys()].filter(name => !namesAfter.has(name)),
        removedServices: [...servicesBefore.keys()].filter(name => !serviceNamesAfter.has(name)),
        ...diffOrganisations(before, after),
    };
}

function listRoutes({ hosts }: { readonly hosts: readonly HostRoutes[]; }): { host: string; route: Route; }[] {
    return hosts.flatMap(({ host, routes }) => routes.map(route => ({ host, route })));
}
