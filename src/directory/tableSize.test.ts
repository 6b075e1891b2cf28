import test from "ava";
import { ManualClock } from "../core/clock.js";
import { DirectoryService, type DirectoryServiceOptions } from "./directoryService.js";
import { type DirectoryChange, DirectoryState, RouteOutcome } from "./directoryState.js";
import type { RouteTable } from "./model.js";
import { maxTableBytes } from "./tableSize.js";
import { makeRoute, makeTable } from "./testing.js";

/** Makes a table of about `sizeBytes` whose routes have long names. */
function makeLargeTable(version: number, sizeBytes: number): RouteTable {
    const nameBytes = 10_000;
    const routes = Array.from(
        { length: Math.floor(sizeBytes / nameBytes) },
        (_value, index) =>
            makeRoute({ name: `${version}.${index}`.padEnd(nameBytes, "x"), pathPrefix: `/${version}/${index}/` }),
    );
    return makeTable(version, routes);
}

function makeService() {
    const state = new DirectoryState();
    const proposals: DirectoryChange[] = [];
    const log = {
        isLeader: true,
        state,
        members: { voters: [], learners: [] },
        propose: (change: DirectoryChange) => {
            proposals.push(change);
            return Promise.resolve({ kind: "applied", result: state.apply(change) });
        },
    };
    const service = new DirectoryService({
        log: log as unknown as DirectoryServiceOptions["log"],
        links: {
            isConnected: () => false,
            call: () => Promise.reject(new Error("no answer")),
            notify: () => undefined,
        },
        clock: new ManualClock(),
        logger: { info: () => 0, warn: () => 0, error: () => 0 },
        heartbeatIntervalMs: 1000,
    });
    return { service, state, proposals };
}

test("guards against a change that is acknowledged although the control VMs cannot hold it", async t => {
    const { service, state, proposals } = makeService();
    const table = makeLargeTable(1, maxTableBytes + 100_000);
    const result = await service.changeRoutes({ baseVersion: 0, table, update: undefined });
    t.is(result?.outcome, RouteOutcome.invalid);
    t.regex(result?.detail ?? "", new RegExp(`the limit is ${maxTableBytes} bytes`));
    t.is(state.routes.version, 0);
    t.deepEqual(proposals, [], "it is not replicated either");
});

test("guards against routes that outgrow the limit by updates", async t => {
    const { service, state } = makeService();
    const half = makeLargeTable(1, maxTableBytes * 0.6);
    t.is((await service.changeRoutes({ baseVersion: 0, table: half, update: undefined }))?.outcome, "accepted");
    const { limits, hosts } = makeLargeTable(2, maxTableBytes * 0.6);
    const update = { version: 2, limits, hosts, services: [], removedRoutes: [], removedServices: [] };
    const result = await service.changeRoutes({ baseVersion: 1, table: undefined, update });
    t.is(result?.outcome, RouteOutcome.invalid);
    t.is(state.routes.version, 1);
});

test("guards against a resend that is refused, of a change that an earlier version accepted beyond the limit", async t => {
    const { service, state } = makeService();
    const change = { baseVersion: 0, table: makeLargeTable(1, maxTableBytes + 100_000), update: undefined };
    state.apply({ kind: "routes", proposedAtMs: 0, ...change });
    t.is((await service.changeRoutes(change))?.outcome, RouteOutcome.accepted);
});

test("guards against earlier tables that fill the memory as bases of updates", t => {
    const state = new DirectoryState();
    const revisions: number[] = [];
    for (let version = 1; version <= 8; version++) {
        const table = makeLargeTable(version, maxTableBytes * 0.9);
        state.apply({ kind: "routes", baseVersion: version - 1, table, update: undefined, proposedAtMs: 0 });
        revisions.push(state.revision);
    }
    const hasBase = revisions.map(revision => state.diffSince(revision, true).tableUpdate !== undefined);
    t.deepEqual(hasBase.slice(0, 6), Array(6).fill(false));
    t.true(hasBase[6], "the version before is kept");
});
