import test from "ava";
import { type EchoStamp, type Heartbeat, PeerTable } from "./peerTable.js";

function createTable(id: string, incarnation = 1): PeerTable {
    return new PeerTable({ id, region: "r", availabilityZone: "az-1", incarnation });
}

function heartbeat(stamp: EchoStamp, overrides: Partial<Heartbeat> = {}): Heartbeat {
    return {
        stamp,
        region: "r",
        availabilityZone: "az-2",
        incarnation: 1,
        revision: 1,
        isDraining: false,
        isServing: true,
        address: "10.0.0.2:80",
        peerAddress: "10.0.0.2:90",
        ...overrides,
    };
}

const firstStamp: EchoStamp = { sentAtMs: 0, echoMs: undefined, echoIncarnation: undefined, heldMs: 0 };

test("guards against dependence on synchronized clocks: the bound of a message's age holds with a clock offset", t => {
    // The clock of `b` is 1,000,000 ms ahead of the clock of `a`.
    const a = createTable("a");
    const b = createTable("b");
    const offsetMs = 1_000_000;
    a.applyHeartbeat("b", heartbeat(b.createStamp("a", offsetMs)), 1);
    b.applyHeartbeat("a", heartbeat(a.createStamp("b", 50)), offsetMs + 51);
    const stamp = b.createStamp("a", offsetMs + 100);
    // `b` sent the stamp at 100 on the clock of `a`; the bound is earlier by the latency of the echoed message.
    const sentAtMs = a.earliestSentAtMs(stamp);
    t.true(sentAtMs !== undefined && sentAtMs <= 100 && sentAtMs >= 98);
});

interface StampCase {
    readonly name: string;
    readonly stamp: EchoStamp;
    readonly expectedMs: number | undefined;
}

const stampCases: readonly StampCase[] = [
    { name: "no echo", stamp: firstStamp, expectedMs: undefined },
    {
        name: "echo of this incarnation",
        stamp: { sentAtMs: 7, echoMs: 100, echoIncarnation: 2, heldMs: 30 },
        expectedMs: 130,
    },
    {
        name: "echo of the incarnation before a restart",
        stamp: { sentAtMs: 7, echoMs: 100, echoIncarnation: 1, heldMs: 30 },
        expectedMs: undefined,
    },
];

for (const { name, stamp, expectedMs } of stampCases) {
    test(`guards against a wrong bound of a message's age: ${name}`, t => {
        t.is(createTable("a", 2).earliestSentAtMs(stamp), expectedMs);
    });
}

test("guards against dead peers that look live: a delayed heartbeat counts from its send time", t => {
    const table = createTable("a");
    t.true(table.applyHeartbeat("b", heartbeat(firstStamp), 0));
    t.is(table.livePeers(1500).length, 1);
    t.is(table.livePeers(1501).length, 0);
    // Sent at 200 on the clock of this entry, received 5 s later.
    const stamp = { sentAtMs: 205, echoMs: 100, echoIncarnation: 1, heldMs: 100 };
    t.false(table.applyHeartbeat("b", heartbeat(stamp), 5200));
    t.is(table.livePeers(5200).length, 0);
});

interface HeartbeatCase {
    readonly name: string;
    readonly from: string;
    readonly overrides: Partial<Heartbeat>;
    readonly expectedIncarnation: number | undefined;
}

const heartbeatCases: readonly HeartbeatCase[] = [
    { name: "an older incarnation is ignored", from: "b", overrides: { incarnation: 4 }, expectedIncarnation: 5 },
    { name: "a newer incarnation replaces the row", from: "b", overrides: { incarnation: 6 }, expectedIncarnation: 6 },
    { name: "another region is ignored", from: "c", overrides: { region: "other" }, expectedIncarnation: undefined },
    { name: "the entry's own id is ignored", from: "a", overrides: {}, expectedIncarnation: undefined },
];

for (const { name, from, overrides, expectedIncarnation } of heartbeatCases) {
    test(`guards against wrong rows in the peer table: ${name}`, t => {
        const table = createTable("a");
        table.applyHeartbeat("b", heartbeat(firstStamp, { incarnation: 5 }), 0);
        table.applyHeartbeat(from, heartbeat(firstStamp, overrides), 10);
        t.is(table.findPeer(from)?.incarnation, expectedIncarnation);
    });
}
