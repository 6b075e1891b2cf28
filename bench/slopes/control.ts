import { type Catalogue, emptyCatalogue, type EntryVm, type Service } from "../../src/catalogue/model.js";
import { CatalogueState } from "../../src/control/catalogueState.js";
import { EntryTable } from "../../src/control/entryTable.js";
import type { ChangeOperation, ConfigSyncAnswer, ConfigSyncParams } from "../../src/control/operatorApi.js";
import { findChangeProblem } from "../../src/control/validation.js";
import { encodeFrame } from "../../src/transport/framing.js";
import { benchService } from "../benchCatalogue.js";
import { decodeFrame, measureBytes, measureMicros } from "./measure.js";
import type { SlopeRow } from "./requests.js";

const serviceCounts = [75, 150, 300, 600, 1200];
const entryCounts = [16, 64, 128, 256, 512];
const syncCounts = [250, 500, 1000, 2000];
const upstreamCounts = [50, 500, 1000, 2250];
const changesPerRun = 20;
const memoryCopies = 20;

/** Measures CPU time, memory and bytes of changes, syncs and the catalogue at a control VM; takes a few seconds. */
export function measureControlSlopes(): SlopeRow[] {
    return [
        ...serviceCounts.map(size =>
            timeRow("change: processor time of the leader, per service", size, changeMicros(size))
        ),
        ...serviceCounts.map(size =>
            timeRow("change: processor time of a replica, per service", size, replicaMicros(size))
        ),
        ...serviceCounts.map(size => bytes("catalogue sent to an entry, per service", size, catalogueBytes(size, 16))),
        ...entryCounts.map(size => bytes("catalogue sent to an entry, per entry VM", size, catalogueBytes(4, size))),
        ...serviceCounts.map(size => bytes("memory of the catalogue, per service", size, catalogueMemory(size))),
        ...syncCounts.map(size => timeRow("config.sync without upstreams: processor time", size, syncMicros(size, 0))),
        ...upstreamCounts.map(size => timeRow("config.sync: processor time, per upstream", size, syncMicros(1, size))),
        ...upstreamCounts.map(size => bytes("config.sync: bytes, per upstream", size, syncBytes(size))),
    ];
}

function timeRow(name: string, size: number, cost: number): SlopeRow {
    return { name, size, cost, unit: "us" };
}

function bytes(name: string, size: number, cost: number): SlopeRow {
    return { name, size, cost, unit: "bytes" };
}

function makeServices(count: number): Service[] {
    return Array.from({ length: count }, (_unused, index) => benchService(`service-${index}`));
}

function makeEntryVms(count: number): EntryVm[] {
    return Array.from({ length: count }, (_unused, index) => ({
        id: `region-1-entry-${index}`,
        region: "region-1",
        availabilityZone: `zone-${index % 4}`,
        address: `10.1.${index >> 8}.${index & 255}:7400`,
        peerAddress: `10.1.${index >> 8}.${index & 255}:7401`,
        state: "active",
    }));
}

function declare(serviceCount: number, entryCount: number): ChangeOperation {
    const declarations = {
        services: makeServices(serviceCount),
        entryVms: makeEntryVms(entryCount),
        runbookCommands: [],
    };
    return { kind: "declare", declarations };
}

/** Applies changes to a state whose catalogue has a given size. */
class ChangeDriver {
    readonly state = new CatalogueState();
    private changeCount = 0;

    constructor(serviceCount: number, entryCount: number) {
        this.apply(declare(serviceCount, entryCount), false);
    }

    changeLimit(isLeader: boolean): void {
        const value = 1000 + this.changeCount;
        this.apply({ kind: "set-service-limit", service: "service-1", limit: "maxInFlight", value }, isLeader);
    }

    private apply(operation: ChangeOperation, isLeader: boolean): void {
        const problem = isLeader ? findChangeProblem(this.state.current, operation) : undefined;
        const result = this.state.apply({
            changeId: `change-${this.changeCount++}`,
            baseRevision: this.state.revision,
            operation,
            operator: "bench",
            from: "127.0.0.1",
            proposedAtMs: 0,
            groupTimeMs: 0,
            problem,
        });
        if (result.outcome !== "accepted") {
            throw new Error(`the change was not accepted: ${result.detail}`);
        }
    }
}

function changeMicros(serviceCount: number, isLeader = true): number {
    const driver = new ChangeDriver(serviceCount, 16);
    const run = () => {
        for (let change = 0; change < changesPerRun; change++) {
            driver.changeLimit(isLeader);
        }
    };
    return measureMicros(run) / changesPerRun;
}

function replicaMicros(serviceCount: number): number {
    return changeMicros(serviceCount, false);
}

function makeCatalogue(serviceCount: number, entryCount: number): Catalogue {
    return new ChangeDriver(serviceCount, entryCount).state.current;
}

function answerWith(catalogue: Catalogue | undefined): ConfigSyncAnswer {
    return { isQuorumConfirmed: true, revision: 1, catalogue, leaderAddress: undefined };
}

function catalogueBytes(serviceCount: number, entryCount: number): number {
    return encodeFrame(answerWith(makeCatalogue(serviceCount, entryCount))).length;
}

/** Returns the memory of one copy, as the mean of several: the JIT compiler's own memory then weighs less. */
function catalogueMemory(serviceCount: number): number {
    const frame = encodeFrame(answerWith(makeCatalogue(serviceCount, 16)));
    const copies = Array.from({ length: memoryCopies });
    return measureBytes(() => copies.map(() => decodeFrame(frame))) / memoryCopies;
}

function makeSync(upstreamCount: number): ConfigSyncParams {
    return {
        entryId: "region-1-entry-1",
        availabilityZone: "zone-1",
        region: "region-1",
        incarnation: 1_764_800_000_000,
        revision: emptyCatalogue.revision,
        isDraining: false,
        isConfirmed: true,
        measuringSpentMsPerSecond: { "service-1": 1.5 },
        problems: [],
        upstreams: Array.from({ length: upstreamCount }, (_unused, index) => ({
            service: `service-${index % 150}`,
            id: `service-${index % 150}-instance-${index}`,
            address: `10.2.${index >> 8}.${index & 255}:9000`,
            availabilityZone: `zone-${index % 4}`,
            state: "ready",
            slots: 3,
            incarnation: 1_764_800_000_000,
            evidenceAgeMs: 412.5,
        })),
    };
}

function syncBytes(upstreamCount: number): number {
    return encodeFrame({ jsonrpc: "2.0", id: 1, method: "config.sync", params: makeSync(upstreamCount) }).length;
}

/** Measures the decoding, recording and answering of syncs, without the socket. */
function syncMicros(syncCount: number, upstreamCount: number): number {
    const table = new EntryTable();
    const frame = encodeFrame({ jsonrpc: "2.0", id: 1, method: "config.sync", params: makeSync(upstreamCount) });
    return measureMicros(() => {
        for (let sync = 0; sync < syncCount; sync++) {
            const [message] = decodeFrame(frame) as { readonly params: ConfigSyncParams; }[];
            table.record(message.params, sync);
            encodeFrame({ jsonrpc: "2.0", id: 1, result: answerWith(undefined) });
        }
    });
}
