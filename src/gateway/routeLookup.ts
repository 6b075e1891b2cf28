import type { Route, RouteTable } from "../directory/model.js";

/** Finds routes by host and longest path prefix. */
export class RouteLookup {
    private readonly routesByHost = new Map<string, readonly Route[]>();

    constructor(readonly table: RouteTable) {
        for (const { host, routes } of table.hosts) {
            const name = host.toLowerCase();
            const hostRoutes = [...this.routesByHost.get(name) ?? [], ...routes];
            this.routesByHost.set(
                name,
                hostRoutes.sort((first, second) => second.pathPrefix.length - first.pathPrefix.length),
            );
        }
    }

    /** Returns the route with the longest prefix that `path` begins with. `host` may include a port. */
    find(host: string, path: string): Route | undefined {
        const name = host.replace(/:\d+$/, "").toLowerCase();
        return this.routesByHost.get(name)?.find(route => path.startsWith(route.pathPrefix));
    }
}
