import type { Route, RouteTable } from "../directory/model.js";

/** Finds the route of a request. */
export class RouteLookup {
    private readonly byHost = new Map<string, readonly Route[]>();

    constructor(readonly table: RouteTable) {
        for (const { host, routes } of table.hosts) {
            const all = [...this.byHost.get(host) ?? [], ...routes];
            this.byHost.set(host, all.sort((first, second) => second.pathPrefix.length - first.pathPrefix.length));
        }
    }

    /** Returns the route with the longest prefix that begins the path. `host` may have a port. */
    find(host: string, path: string): Route | undefined {
        const name = host.replace(/:\d+$/, "").toLowerCase();
        return this.byHost.get(name)?.find(route => path.startsWith(route.pathPrefix));
    }
}
