import { diffRoutes } from "../../src/directory/diffRoutes.js";
import { DirectoryState } from "../../src/directory/directoryState.js";
import type { RouteTable } from "../../src/directory/model.js";
import { makeRegistration, makeRoute, makeTable } from "../../src/directory/testing.js";
import { updateRoutes } from "../../src/directory/updateRoutes.js";
import { RouteLookup } from "../../src/gateway/routeLookup.js";
import { encodeFrame } from "../../src/transport/framing.js";
import { measureBytes, measureMicros } from "./measure.js";
import type { SlopeRow } from "./requests.js";

const routeCounts = [10, 100, 300, 1000, 2400];
const upstreamCounts = [50, 500, 1000, 2250];

/** Measures the cost of a directory's routes and instances at control VMs and entries; takes a few seconds. */
export function measureDirectorySlopes(): SlopeRow[] {
    return [
        ...routeCounts.map(size => bytes("directory: all routes sent to an entry, per route", size, tableBytes(size))),
        ...routeCounts.map(size =>
            bytes("directory: one changed route sent to an entry, per route", size, updateBytes(size))
        ),
        ...routeCounts.map(size => micros("directory: update made at a control VM, per route", size, diffMicros(size))),
        ...routeCounts.map(size => micros("directory: update applied at an entry, per route", size, applyMicros(size))),
        ...upstreamCounts.map(size =>
            bytes("directory: all instances sent to an entry, per instance", size, instanceBytes(size))
        ),
        ...upstreamCounts.map(size =>
            bytes("directory: memory at a control VM, per instance", size, instanceMemory(size))
        ),
    ];
}

function bytes(name: string, size: number, cost: number): SlopeRow {
    return { name, size, cost, unit: "bytes" };
}

function micros(name: string, size: number, cost: number): SlopeRow {
    return { name, size, cost, unit: "us" };
}

function makeRoutes(version: number, size: number): RouteTable {
    const routes = Array.from({ length: size }, (_unused, index) =>
        makeRoute({
            name: `r-${index}`,
            pathPrefix: `/prefix-${index}/`,
            timeoutMs: index === 0 ? 1000 + version : 1000,
        }));
    return makeTable(version, routes);
}

function apply(state: DirectoryState, table: RouteTable): void {
    const { version: baseVersion } = state.routes;
    state.apply({ kind: "routes", baseVersion, table, update: undefined, proposedAtMs: 0 });
}

function tableBytes(size: number): number {
    const state = new DirectoryState();
    apply(state, makeRoutes(1, size));
    return encodeFrame(state.diffSince(0, true)).length;
}

function updateBytes(size: number): number {
    const state = new DirectoryState();
    apply(state, makeRoutes(1, size));
    const heldRevision = state.revision;
    apply(state, makeRoutes(2, size));
    return encodeFrame(state.diffSince(heldRevision, true)).length;
}

function diffMicros(size: number): number {
    const [before, after] = [makeRoutes(1, size), makeRoutes(2, size)];
    return measureMicros(() => void diffRoutes(before, after));
}

function applyMicros(size: number): number {
    const [before, after] = [makeRoutes(1, size), makeRoutes(2, size)];
    const update = diffRoutes(before, after);
    return measureMicros(() => void new RouteLookup(updateRoutes(before, update)));
}

function makeInstances(size: number): DirectoryState {
    const state = new DirectoryState();
    for (let index = 0; index < size; index++) {
        const address = `10.2.${index >> 8}.${index & 255}:9000`;
        state.apply({ kind: "register", registration: makeRegistration({ id: `i-${index}`, address }) });
    }
    return state;
}

function instanceBytes(size: number): number {
    return encodeFrame(makeInstances(size).diffSince(0, true)).length;
}

function instanceMemory(size: number): number {
    return measureBytes(() => makeInstances(size));
}
