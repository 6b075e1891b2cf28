import test from "ava";
import { OrganisationIndex } from "../organisations/organisationIndex.js";
import { diffRoutes } from "./diffRoutes.js";
import { type DirectoryResult, DirectoryState, type RouteChange } from "./directoryState.js";
import { isDirectoryChange } from "./messageChecks.js";
import type { Organisation, RouteTable, RouteUpdate } from "./model.js";
import { makeTable } from "./testing.js";
import { updateRoutes } from "./updateRoutes.js";

const acme: Organisation = { name: "acme", keys: ["s3cret-a"], ratePerSecond: 3, burst: 3 };
const other: Organisation = { name: "other", keys: ["s3cret-o"], priority: 2 };

function change(baseVersion: number, content: Partial<Pick<RouteChange, "table" | "update">>): RouteChange {
    return { kind: "routes", baseVersion, proposedAtMs: 1, table: undefined, update: undefined, ...content };
}

function makeUpdate(version: number, content: Partial<RouteUpdate>): RouteUpdate {
    return { version, limits: undefined, hosts: [], services: [], removedRoutes: [], removedServices: [], ...content };
}

function makeState(organisations: readonly Organisation[]): DirectoryState {
    const state = new DirectoryState();
    state.apply(change(0, { table: { ...makeTable(1), organisations } }));
    return state;
}

test("guards against an update that changes organisations which it does not name", t => {
    const state = makeState([acme, other]);
    const changedAcme = { name: "acme", keys: ["s3cret-b"] };
    const newcomer = { name: "newcomer", keys: ["s3cret-n"] };
    state.apply(change(1, {
        update: makeUpdate(2, { organisations: [changedAcme, newcomer], removedOrganisations: ["other", "unknown"] }),
    }));
    t.deepEqual(state.routes.organisations, [changedAcme, newcomer]);
    state.apply(change(2, { update: makeUpdate(3, {}) }));
    t.deepEqual(state.routes.organisations, [changedAcme, newcomer]);
    state.apply(change(3, { update: makeUpdate(4, { removedOrganisations: ["acme", "newcomer"] }) }));
    t.deepEqual(state.routes.organisations, []);
});

test("guards against accepting a key that another organisation holds, and against naming it in the audit trail", t => {
    const state = makeState([acme, other]);
    const expected: DirectoryResult = {
        outcome: "invalid",
        detail: "a key is also held by the organisation acme",
        organisationField: "keys",
    };
    const conflicting = makeUpdate(2, { organisations: [{ name: "third", keys: ["s3cret-a"] }] });
    t.deepEqual(state.apply(change(1, { update: conflicting })), expected);
    t.deepEqual(state.routes.organisations, [acme, other]);
    t.false(JSON.stringify(state.audit).includes("s3cret"));
});

test("guards against keys in messages to entries, and against an entry that misses a change of keys", t => {
    const state = makeState([acme, other]);
    const first = state.diffSince(0);
    const revision = state.revision;
    state.apply(change(1, { update: makeUpdate(2, { organisations: [{ ...acme, keys: ["s3cret-b"] }] }) }));
    const second = state.diffSince(revision, true);
    const third = state.diffSince(revision, false);
    for (const delta of [first, second, third]) {
        t.false(JSON.stringify(delta).includes("s3cret"));
    }
    const entryTable = updateRoutes(first.table as RouteTable, second.tableUpdate?.update as RouteUpdate);
    for (const table of [entryTable, third.table]) {
        const index = new OrganisationIndex(table?.organisations);
        t.is(index.find("s3cret-a"), undefined);
        t.is(index.find("s3cret-b")?.name, "acme");
        t.is(index.find("s3cret-o")?.priority, 2);
    }
});

test("guards against organisations that a restored replica has lost", t => {
    const state = makeState([acme, other]);
    const restored = new DirectoryState();
    restored.diffSince(0);
    restored.restore(state.toBytes());
    t.deepEqual(restored.routes.organisations, [acme, other]);
    t.is(new OrganisationIndex(restored.diffSince(0).table?.organisations).find("s3cret-a")?.name, "acme");
});

test("guards against tables and updates that differ although no organisation is configured", t => {
    const before = makeTable(1);
    const update = diffRoutes(before, makeTable(2));
    t.false("organisations" in update || "removedOrganisations" in update);
    t.false("organisations" in updateRoutes(before, update));
    const added = diffRoutes(before, { ...makeTable(2), organisations: [acme] });
    t.deepEqual(updateRoutes(before, added).organisations, [acme]);
    const removed = diffRoutes({ ...makeTable(2), organisations: [acme, other] }, makeTable(3));
    t.deepEqual(updateRoutes({ ...makeTable(2), organisations: [acme, other] }, removed).organisations, []);
});

test("guards against a malformed list of organisations that crashes replicas", t => {
    t.true(isDirectoryChange(change(0, { table: { ...makeTable(1), organisations: [acme] } })));
    for (const organisations of [[{ name: "acme" }], [{ ...acme, keys: [7] }], [null], "acme"]) {
        const table = { ...makeTable(1), organisations } as unknown as RouteTable;
        t.false(isDirectoryChange(change(0, { table })));
        t.false(isDirectoryChange(change(0, { update: { ...makeUpdate(1, {}), organisations } as never })));
    }
    t.false(isDirectoryChange(change(0, { update: makeUpdate(1, { removedOrganisations: [7] as never }) })));
});
