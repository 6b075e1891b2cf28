import test from "ava";
import fc from "fast-check";
import { diffRoutes } from "./diffRoutes.js";
import { DirectoryState } from "./directoryState.js";
import type { RouteTable } from "./model.js";
import { makeRoute, makeTable } from "./testing.js";
import { updateRoutes } from "./updateRoutes.js";

/** Returns a table in a form that ignores the order of routes and services, and hosts without routes. */
function normalize({ hosts, services, limits, version }: RouteTable): object {
    const routes = hosts.flatMap(({ host, routes: routesOfHost }) => routesOfHost.map(route => ({ host, ...route })));
    const byName = (first: { readonly name: string; }, second: { readonly name: string; }) =>
        first.name.localeCompare(second.name);
    return { version, limits, routes: routes.sort(byName), services: [...services].sort(byName) };
}

const routes = fc.uniqueArray(
    fc.record({
        name: fc.constantFrom("r-1", "r-2", "r-3", "r-4", "r-5"),
        host: fc.constantFrom("a.example", "b.example"),
        timeoutMs: fc.constantFrom(1000, 2000),
    }),
    { selector: generated => generated.name },
);
const tables = fc.record({
    generatedRoutes: routes,
    version: fc.integer({ min: 1, max: 9 }),
    idleTimeoutMs: fc.option(fc.constantFrom(1000, 2000), { nil: undefined }),
    healthPath: fc.constantFrom("/healthz", "/health"),
    hasMoulds: fc.boolean(),
}).map(({ generatedRoutes, version, idleTimeoutMs, healthPath, hasMoulds }): RouteTable => {
    const table = makeTable(version);
    return {
        version,
        limits: { ...table.limits, idleTimeoutMs },
        hosts: ["a.example", "b.example"].map(host => ({
            host,
            routes: generatedRoutes.filter(generated => generated.host === host).map(({ name, timeoutMs }) =>
                makeRoute({ name, timeoutMs })
            ),
        })),
        services: table.services.slice(0, hasMoulds ? 2 : 1).map(routedService => ({ ...routedService, healthPath })),
    };
});

test("guards against an update that does not turn an entry's routes into the current ones", t => {
    fc.assert(
        fc.property(tables, tables, (before, after) => {
            t.deepEqual(normalize(updateRoutes(before, diffRoutes(before, after))), normalize(after));
        }),
        { seed: 3, numRuns: 500 },
    );
});

function changeRoutes(state: DirectoryState, version: number, changedIndex: number): void {
    const manyRoutes = Array.from({ length: 1000 }, (_value, index) =>
        makeRoute({
            name: `r-${index}`,
            pathPrefix: `/p${index}/`,
            timeoutMs: index === changedIndex ? 1000 + version : 1000,
        }));
    const change = { baseVersion: state.routes.version, table: makeTable(version, manyRoutes), update: undefined };
    state.apply({ kind: "routes", ...change, proposedAtMs: 0 });
}

test("guards against a route change that sends the whole table to entries with a recent one", t => {
    const state = new DirectoryState();
    changeRoutes(state, 1, 0);
    const heldRevision = state.revision;
    changeRoutes(state, 2, 5);
    const delta = state.diffSince(heldRevision, true);
    t.is(delta.table, undefined);
    t.is(delta.tableUpdate?.baseVersion, 1);
    t.deepEqual(delta.tableUpdate?.update.hosts[0].routes.map(route => route.name), ["r-0", "r-5"]);
    t.is(
        state.diffSince(heldRevision).table?.version,
        2,
        "an entry that does not support updates gets the whole table",
    );
    t.is(state.diffSince(0, true).table?.version, 2, "an entry without routes gets the whole table");
    for (let version = 3; version < 20; version++) {
        changeRoutes(state, version, version);
    }
    t.is(state.diffSince(heldRevision, true).table?.version, 19, "an entry that is far behind gets the whole table");
    const restored = new DirectoryState();
    restored.restore(state.toBytes());
    t.is(restored.diffSince(state.revision - 1, true).table?.version, 19);
    t.is(restored.diffSince(state.revision, true).table, undefined);
});
