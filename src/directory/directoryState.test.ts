import test from "ava";
import { DirectoryState, type RouteChange } from "./directoryState.js";
import type { Route, RouteTable, RouteUpdate } from "./model.js";
import { makeRegistration, makeRoute, makeTable } from "./testing.js";

function replaceRoutes(baseVersion: number, table: RouteTable): RouteChange {
    return { kind: "routes", baseVersion, table, update: undefined, proposedAtMs: 0 };
}

function updateItems(baseVersion: number, update: Partial<RouteUpdate> & { readonly version: number; }): RouteChange {
    const empty = { limits: undefined, hosts: [], services: [], removedRoutes: [], removedServices: [] };
    return { kind: "routes", baseVersion, table: undefined, update: { ...empty, ...update }, proposedAtMs: 0 };
}

test("guards against accepting two different changes with the same base version", t => {
    const state = new DirectoryState();
    t.is(state.apply(replaceRoutes(0, makeTable(5))).outcome, "accepted");
    t.is(state.apply(replaceRoutes(0, makeTable(5, [makeRoute({ timeoutMs: 900 })]))).outcome, "conflict");
    t.is(state.routes.hosts[0].routes[0].timeoutMs, 1200);
});

test("guards against rejecting a resend of an accepted change, also after a restore", t => {
    const state = new DirectoryState();
    state.apply(replaceRoutes(0, makeTable(5)));
    state.apply(updateItems(5, { version: 9, removedRoutes: ["stock"] }));
    const restored = new DirectoryState();
    restored.restore(state.toBytes());
    for (const replica of [state, restored]) {
        t.is(replica.apply(replaceRoutes(0, makeTable(5))).outcome, "accepted");
        t.is(replica.apply(updateItems(5, { version: 9, removedRoutes: ["stock"] })).outcome, "accepted");
        t.is(replica.routes.version, 9, "a resend changes nothing");
    }
});

const invalid: readonly { readonly name: string; readonly route: Partial<Route>; }[] = [
    { name: "an unknown service", route: { targets: [{ service: "nobody", weight: 1 }] } },
    { name: "weights that add up to 0", route: { targets: [{ service: "orders", weight: 0 }] } },
    {
        name: "a weight below 0",
        route: { targets: [{ service: "orders", weight: 5 }, { service: "moulds", weight: -1 }] },
    },
    { name: "a timeout over ten minutes", route: { timeoutMs: 600_001 } },
    { name: "a target latency a minute above the timeout", route: { timeoutMs: 1000, targetLatencyMs: 61_000 } },
    { name: "a prefix without a slash at its end", route: { pathPrefix: "/stock" } },
    { name: "no attempts", route: { maxAttempts: 0 } },
];

for (const { name, route } of invalid) {
    test(`guards against accepting an invalid configuration: ${name}`, t => {
        const state = new DirectoryState();
        const result = state.apply(replaceRoutes(0, makeTable(1, [makeRoute(route)])));
        t.is(result.outcome, "invalid");
        t.not(result.detail, "");
        t.is(state.routes.version, 0);
    });
}

for (const healthPath of ["healthz", "/health z", "/h\r\nX: y"]) {
    test(`guards against accepting an invalid health path: ${JSON.stringify(healthPath)}`, t => {
        const table = makeTable(1);
        const services = table.services.map(routedService => ({ ...routedService, healthPath }));
        t.is(new DirectoryState().apply(replaceRoutes(0, { ...table, services })).outcome, "invalid");
    });
}

test("guards against accepting a version that does not increase", t => {
    const state = new DirectoryState();
    state.apply(replaceRoutes(0, makeTable(5)));
    t.is(state.apply(replaceRoutes(5, makeTable(5, []))).outcome, "invalid");
    t.is(state.apply(replaceRoutes(5, makeTable(4, []))).outcome, "invalid");
});

test("guards against an update that removes items which it does not name", t => {
    const state = new DirectoryState();
    const cast = makeRoute({ name: "cast", pathPrefix: "/cast/" });
    state.apply(replaceRoutes(0, makeTable(1, [makeRoute(), cast])));
    const changed = makeRoute({ timeoutMs: 700 });
    const added = makeRoute({ name: "pour", pathPrefix: "/pour/" });
    const update = updateItems(1, { version: 2, hosts: [{ host: "shop.example", routes: [changed, added] }] });
    t.is(state.apply(update).outcome, "accepted");
    t.deepEqual(state.routes.hosts, [{ host: "shop.example", routes: [changed, cast, added] }]);
    t.is(state.apply(updateItems(2, { version: 3, removedServices: ["orders"] })).outcome, "invalid");
    t.is(state.apply(updateItems(2, { version: 3, removedRoutes: ["cast"] })).outcome, "accepted");
    t.deepEqual(state.routes.hosts[0].routes.map(route => route.name), ["stock", "pour"]);
});

test("guards against a delta that omits a change or a removal", t => {
    const state = new DirectoryState();
    state.apply(replaceRoutes(0, makeTable(1)));
    state.apply({ kind: "register", registration: makeRegistration() });
    const first = state.diffSince(0);
    t.true(first.isFull);
    t.deepEqual(first.registrations.map(registered => registered.id), ["i-1"]);
    state.apply({ kind: "register", registration: makeRegistration({ id: "i-2", address: "10.0.0.2:80" }) });
    state.apply({ kind: "end", id: "i-1", bornAtMs: undefined });
    const second = state.diffSince(first.version);
    t.false(second.isFull);
    t.is(second.table, undefined);
    t.deepEqual(second.registrations.map(registered => registered.id), ["i-2"]);
    t.deepEqual(second.ended, ["i-1"]);
});

test("guards against a delta of a restored replica that omits earlier removals", t => {
    const state = new DirectoryState();
    state.apply({ kind: "register", registration: makeRegistration() });
    const { version } = state.diffSince(0);
    state.apply({ kind: "end", id: "i-1", bornAtMs: undefined });
    const restored = new DirectoryState();
    restored.restore(state.toBytes());
    t.true(restored.diffSince(version).isFull);
    t.is(restored.revision, state.revision);
});

for (const host of ["shop.example", "Shop.Example"]) {
    test(`guards against accepting two routes for the same requests: ${host} is listed beside shop.example`, t => {
        const table = makeTable(2, []);
        const hosts = ["shop.example", host].map((name, position) => ({
            host: name,
            routes: [makeRoute({ name: `route-${position}` })],
        }));
        t.is(new DirectoryState().apply(replaceRoutes(0, { ...table, hosts })).outcome, "invalid");
    });
}
