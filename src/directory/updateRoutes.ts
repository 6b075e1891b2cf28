import { updateOrganisations } from "../organisations/organisationChanges.js";
import type { HostRoutes, Route, RoutedService, RouteTable, RouteUpdate } from "./model.js";

/**
 * Returns the table with an update applied. A route that the update lists under another host moves there; a route,
 * service or organisation that the update both lists and removes stays.
 */
export function updateRoutes(table: RouteTable, update: RouteUpdate): RouteTable {
    const changedRoutes = new Map<string, { readonly host: string; readonly route: Route; }>();
    update.hosts.forEach(({ host, routes }) => routes.forEach(route => changedRoutes.set(route.name, { host, route })));
    const removed = new Set(update.removedRoutes);
    const replacedNames = new Set<string>();
    const updateRoute = (host: string, route: Route): readonly Route[] => {
        const changedRoute = changedRoutes.get(route.name);
        if (changedRoute === undefined) {
            return removed.has(route.name) ? [] : [route];
        }
        if (changedRoute.host !== host) {
            return [];
        }
        replacedNames.add(route.name);
        return [changedRoute.route];
    };
    const updatedHosts = table.hosts.map(({ host, routes }) => ({
        host,
        routes: routes.flatMap(route => updateRoute(host, route)),
    }));
    return {
        version: update.version,
        limits: update.limits ?? table.limits,
        hosts: addRoutes(updatedHosts, update.hosts, replacedNames),
        services: updateServices(table.services, update),
        ...updateOrganisations(table, update),
    };
}

/** Adds routes to the last entry of their host, or to a new one. */
function addRoutes(
    updatedHosts: readonly HostRoutes[],
    hostsOfUpdate: readonly HostRoutes[],
    replacedNames: ReadonlySet<string>,
): readonly HostRoutes[] {
    const hosts = [...updatedHosts];
    for (const { host, routes } of hostsOfUpdate) {
        const newRoutes = routes.filter(route => !replacedNames.has(route.name));
        const position = hosts.findLastIndex(hostRoutes => hostRoutes.host === host);
        if (position === -1) {
            hosts.push({ host, routes: newRoutes });
        }
        else {
            hosts[position] = { host, routes: [...hosts[position].routes, ...newRoutes] };
        }
    }
    return hosts;
}

function updateServices(services: readonly RoutedService[], update: RouteUpdate): readonly RoutedService[] {
    const servicesByName = new Map(services.map(routedService => [routedService.name, routedService]));
    update.removedServices.forEach(name => servicesByName.delete(name));
    update.services.forEach(routedService => servicesByName.set(routedService.name, routedService));
    return [...servicesByName.values()];
}
