import test from "ava";
import fc from "fast-check";
import { RouteLookup } from "../gateway/routeLookup.js";
import { diffRoutes } from "./diffRoutes.js";
import { type DirectoryChange, DirectoryState, type RouteChange } from "./directoryState.js";
import type { HostRoutes, Route, RouteTable, RouteUpdate } from "./model.js";
import { hasRepeatedHost, resolveUpdate } from "./repeatedHosts.js";
import { makeRoute, makeTable } from "./testing.js";
import { updateRoutes } from "./updateRoutes.js";

const host = "shop.example";
const stock = makeRoute();
const pour = makeRoute({ name: "pour", pathPrefix: "/pour/" });
const cast = makeRoute({ name: "cast", pathPrefix: "/cast/" });

function makeTableOf(version: number, entries: readonly (readonly Route[])[]): RouteTable {
    return { ...makeTable(version), hosts: entries.map(routes => ({ host, routes })) };
}

function makeUpdate(version: number, hosts: readonly HostRoutes[], removedRoutes: readonly string[] = []): RouteUpdate {
    return { version, limits: undefined, hosts, services: [], removedRoutes, removedServices: [] };
}

function changeOf(baseVersion: number, content: Pick<RouteChange, "table"> | Pick<RouteChange, "update">): RouteChange {
    return { kind: "routes", baseVersion, table: undefined, update: undefined, proposedAtMs: 0, ...content };
}

function listNames({ hosts }: RouteTable): readonly string[] {
    return hosts.flatMap(({ routes }) => routes.map(route => route.name)).sort();
}

interface UpdateCase {
    readonly what: string;
    readonly update: RouteUpdate;
    /** Names and timeouts of the routes after the update. */
    readonly expected: Readonly<Record<string, number | undefined>>;
}

const changedStock = { ...stock, timeoutMs: 700 };
const changedPour = { ...pour, timeoutMs: 800 };
const { timeoutMs } = stock;
const updateCases: readonly UpdateCase[] = [
    {
        what: "a route of the first entry changes",
        update: makeUpdate(2, [{ host, routes: [changedStock] }]),
        expected: { cast: timeoutMs, pour: timeoutMs, stock: 700 },
    },
    {
        what: "a route of the last entry changes",
        update: makeUpdate(2, [{ host, routes: [changedPour] }]),
        expected: { cast: timeoutMs, pour: 800, stock: timeoutMs },
    },
    {
        what: "the update lists the host twice too",
        update: makeUpdate(2, [{ host, routes: [changedStock] }, { host, routes: [changedPour] }]),
        expected: { cast: timeoutMs, pour: 800, stock: 700 },
    },
    {
        what: "a route is added",
        update: makeUpdate(2, [{ host, routes: [makeRoute({ name: "new", pathPrefix: "/new/" })] }]),
        expected: { cast: timeoutMs, new: timeoutMs, pour: timeoutMs, stock: timeoutMs },
    },
    {
        what: "a route of the first entry is removed",
        update: makeUpdate(2, [], ["stock"]),
        expected: { cast: timeoutMs, pour: timeoutMs },
    },
    {
        what: "a route moves to another host",
        update: makeUpdate(2, [{ host: "other.example", routes: [stock] }]),
        expected: { cast: timeoutMs, pour: timeoutMs, stock: timeoutMs },
    },
    {
        what: "only a service changes",
        update: { ...makeUpdate(2, []), services: [{ ...makeTable(1).services[0], maxConnections: 7 }] },
        expected: { cast: timeoutMs, pour: timeoutMs, stock: timeoutMs },
    },
];

for (const { what, update, expected } of updateCases) {
    const table = makeTableOf(1, [[stock], [cast], [pour]]);

    test(`guards against an update that drops routes of a host that is listed twice: ${what}`, t => {
        const updated = updateRoutes(table, update);
        const timeouts = updated.hosts.flatMap(({ routes }) => routes.map(route => [route.name, route.timeoutMs]));
        t.deepEqual(Object.fromEntries(timeouts), expected);
        t.is(timeouts.length, Object.keys(expected).length, "no route is listed twice");
        const lookup = new RouteLookup(updateRoutes(table, diffRoutes(table, updated)));
        for (const { host: name, routes } of updated.hosts) {
            routes.forEach(route => t.deepEqual(lookup.find(name, `${route.pathPrefix}1`), route));
        }
    });

    test(`guards against a leader that accepts an update and drops routes: ${what}`, t => {
        const state = new DirectoryState();
        state.apply(changeOf(0, { table }));
        const change = changeOf(1, { update });
        t.is(state.apply(resolveUpdate(state.routes, change)).outcome, "accepted");
        t.deepEqual(listNames(state.routes), Object.keys(expected));
        t.is(state.routes.version, 2);
        const restored = new DirectoryState();
        restored.restore(state.toBytes());
        for (const replica of [state, restored]) {
            t.is(replica.apply(resolveUpdate(replica.routes, change)).outcome, "accepted", "a resend is recognized");
            t.is(replica.routes.version, 2, "a resend changes nothing");
        }
    });
}

test("guards against an update of a table without repeated hosts that is replicated as a whole table", t => {
    const change = changeOf(1, { update: makeUpdate(2, [{ host, routes: [changedStock] }]) });
    t.is(resolveUpdate(makeTableOf(1, [[stock, pour]]), change), change);
    const onAnotherBase = { ...change, baseVersion: 7 };
    t.is(resolveUpdate(makeTableOf(1, [[stock], [pour]]), onAnotherBase), onAnotherBase);
});

test("guards against replicas of this version and of the one before that apply the same record differently", t => {
    const state = new DirectoryState();
    state.apply(changeOf(0, { table: makeTableOf(1, [[stock], [pour]]) }));
    const record: DirectoryChange = changeOf(1, { update: makeUpdate(2, [{ host, routes: [changedPour] }]) });
    t.is(state.apply(record).outcome, "accepted");
    t.deepEqual(listNames(state.routes), ["pour"], "as the version before, which kept only the last entry of a host");
});

test("guards against an update that an entry of the version before applies wrongly", t => {
    const state = new DirectoryState();
    state.apply(changeOf(0, { table: makeTableOf(1, [[stock], [pour]]) }));
    const { revision } = state;
    state.apply(changeOf(1, { table: makeTableOf(2, [[stock], [changedPour]]) }));
    const delta = state.diffSince(revision, true);
    t.is(delta.tableUpdate, undefined);
    t.deepEqual(listNames(delta.table ?? makeTable(0, [])), ["pour", "stock"]);
});

const generatedTables = fc.record({
    assignment: fc.array(fc.nat(4), { minLength: 6, maxLength: 6 }),
    timeouts: fc.array(fc.constantFrom(1000, 2000), { minLength: 6, maxLength: 6 }),
}).map(({ assignment, timeouts }) => {
    const entryHosts = ["a.example", "b.example", "a.example", "a.example"];
    const hosts = entryHosts.map((name, entry) => ({
        host: name,
        // Routes that are assigned to no entry are absent.
        routes: assignment.flatMap((assigned, index) =>
            assigned === entry
                ? [makeRoute({ name: `r-${index}`, pathPrefix: `/p${index}/`, timeoutMs: timeouts[index] })]
                : []
        ),
    }));
    return { ...makeTable(1), hosts };
});

test("guards against routes that differ from the operator's after an update between tables with repeated hosts", t => {
    const describe = ({ hosts }: RouteTable) =>
        hosts.flatMap(({ host: name, routes }) => routes.map(route => JSON.stringify([name, route]))).sort();
    fc.assert(
        fc.property(generatedTables, generatedTables, (before, after) => {
            t.true(hasRepeatedHost(before));
            t.deepEqual(describe(updateRoutes(before, diffRoutes(before, after))), describe(after));
        }),
        { seed: 43, numRuns: 500 },
    );
});
