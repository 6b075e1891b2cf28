import { emptyRouteTable, type Registration, type Route, type RouteTable } from "./model.js";

/** Returns a route for tests. */
export function makeRoute(overrides: Partial<Route> = {}): Route {
    return {
        name: "stock",
        pathPrefix: "/stock/",
        isIdempotent: true,
        targetLatencyMs: 300,
        priority: 1,
        timeoutMs: 1200,
        maxAttempts: 2,
        targets: [{ service: "orders", weight: 1 }],
        isSplit: false,
        ...overrides,
    };
}

/** Returns a route table for tests, with the services `orders` and `moulds`. */
export function makeTable(version: number, routes: readonly Route[] = [makeRoute()]): RouteTable {
    const service = {
        healthPath: "/healthz",
        maxConnections: 260,
        isDeduplicating: undefined,
        protocol: "h1",
        isTls: false,
    };
    return {
        ...emptyRouteTable,
        version,
        hosts: [{ host: "shop.example", routes }],
        services: [{ name: "orders", ...service }, { name: "moulds", ...service }],
    };
}

/** Returns a registration for tests. */
export function makeRegistration(overrides: Partial<Registration> = {}): Registration {
    return {
        id: "i-1",
        bornAtMs: 1000,
        service: "orders",
        address: "10.0.0.1:80",
        availabilityZone: "az-1",
        slots: 3,
        state: "ready",
        sequence: 1,
        warmupMs: 0,
        ...overrides,
    };
}
