import test from "ava";
import { ManualClock } from "../core/clock.js";
import { encodeFrame, FrameDecoder } from "../transport/framing.js";
import { DirectoryService, type DirectoryServiceOptions } from "./directoryService.js";
import { DirectoryState } from "./directoryState.js";
import { areParametersValid } from "./messageChecks.js";
import { DirectoryMethod, type WatchAnswer, type WatchParams } from "./messages.js";
import type { RouteTable } from "./model.js";
import { unpackRoutes } from "./packedRoutes.js";
import { digestRouteTable } from "./routeDigest.js";
import { makeRoute, makeTable } from "./testing.js";
import { updateRoutes } from "./updateRoutes.js";

const routeCount = 1400;
/** What a link of 2 Mbit/s carries in a quarter of the time within which a change must be in force (2 s). */
const maxAnswerBytes = 2_000_000 / 8 * 2 / 4;

function makeLargeTable(version: number): RouteTable {
    const routes = Array.from(
        { length: routeCount },
        (_value, index) =>
            makeRoute({
                name: `r-${index}x${(index * 7919).toString(36)}`,
                pathPrefix: `/p${(index * 104729).toString(36)}/`,
                timeoutMs: 1500 + (index === version ? version : 0),
            }),
    );
    return makeTable(version, routes);
}

function makeService() {
    const state = new DirectoryState();
    const log = {
        isLeader: true,
        isLed: true,
        confirmedAtMs: 0,
        onContactChange: () => undefined,
        state,
        members: { voters: [], learners: [] },
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
    const apply = (table: RouteTable) =>
        state.apply({ kind: "routes", baseVersion: state.routes.version, table, update: undefined, proposedAtMs: 0 });
    return { service, state, apply };
}

function makeParams(index: number, overrides: Partial<WatchParams> = {}): WatchParams {
    const entry = { id: `e-${index}`, address: "10.0.0.1:80", availabilityZone: "az-1", isServing: true };
    return { entry, version: 0, canUpdate: true, waitMs: 0, ...overrides };
}

/** Returns an answer as it arrives at another process. */
function transfer(answer: WatchAnswer): WatchAnswer {
    return new FrameDecoder().push(encodeFrame(answer))[0] as WatchAnswer;
}

test("guards against routes that take longer on a slow link than a change may take to be in force", async t => {
    const { service, state, apply } = makeService();
    apply(makeTable(1));
    const heldRevision = state.revision;
    apply(makeLargeTable(2));
    for (const version of [0, heldRevision]) {
        const answer = await service.watch(makeParams(1, { version, canUnpack: true }));
        const sizeBytes = encodeFrame(answer).length;
        t.true(sizeBytes <= maxAnswerBytes, `${sizeBytes} bytes for an entry with version ${version}`);
        const delta = unpackRoutes(transfer(answer).delta!);
        const table = delta.tableUpdate ? updateRoutes(makeTable(1), delta.tableUpdate.update) : delta.table;
        t.is(digestRouteTable(table!), digestRouteTable(state.entryRoutes));
    }
});

for (const entryCount of [17, 117, 312]) {
    test(`guards against routes that are compressed for each entry again: ${entryCount} entries`, async t => {
        const { service, state, apply } = makeService();
        apply(makeTable(1));
        const version = state.revision;
        apply(makeLargeTable(2));
        const packed = new Set<unknown>();
        for (let index = 0; index < entryCount; index++) {
            const { delta } = await service.watch(makeParams(index, { version, canUnpack: true }));
            packed.add(delta?.packedRoutes);
        }
        t.is(packed.size, 1);
    });
}

test("guards against entries of the version before that get compressed routes, or none", async t => {
    const { service, apply } = makeService();
    apply(makeLargeTable(1));
    const params = makeParams(1);
    t.true(areParametersValid(DirectoryMethod.watch, params));
    const { delta } = transfer(await service.watch(params));
    t.is(delta?.packedRoutes ?? undefined, undefined);
    t.is(delta?.table?.hosts[0].routes.length, routeCount);
});

test("guards against control VMs of the version before whose routes an entry cannot read", async t => {
    const { service, apply } = makeService();
    apply(makeLargeTable(1));
    t.true(areParametersValid(DirectoryMethod.watch, makeParams(1, { canUnpack: true })));
    const { delta } = transfer(await service.watch(makeParams(1)));
    t.is(unpackRoutes(delta!).table?.hosts[0].routes.length, routeCount);
});

test("guards against small changes that grow, and against routes that change while they are compressed", async t => {
    const { service, state, apply } = makeService();
    apply(makeLargeTable(1));
    const version = state.revision;
    apply(makeLargeTable(2));
    const { delta } = await service.watch(makeParams(1, { version, canUnpack: true }));
    t.is(delta?.packedRoutes, undefined, "an update of two routes is small");
    t.is(delta?.tableUpdate?.update.hosts[0].routes.length, 2);
});
