import test from "ava";
import { type Clock, ManualClock, SystemClock } from "../core/clock.js";
import { SeededRandom } from "../core/random.js";
import type { TableUpdate } from "../directory/directoryState.js";
import { DirectoryMethod, type WatchAnswer, type WatchParams } from "../directory/messages.js";
import type { ControlNode } from "../directory/model.js";
import { emptyRouteTable, type RouteTable } from "../directory/model.js";
import { makeRoute, makeTable } from "../directory/testing.js";
import { GatewayMetrics } from "../metrics/gatewayMetrics.js";
import { ChannelServer } from "../transport/channel.js";
import { TcpRelay } from "../transport/relay.js";
import { rankControlVms } from "./controlVmRanking.js";
import { DirectoryWatch, type DirectoryWatchOptions } from "./directoryWatch.js";

const secret = "test-secret";
const emptyUpdate = { limits: undefined, hosts: [], services: [], removedRoutes: [], removedServices: [] };
const silentLogger = { debug: () => 0, info: () => 0, warn: () => 0, error: () => 0 };

/** A control VM that answers each watch call immediately with the same directory. */
class FakeControl {
    readonly watchCalls: WatchParams[] = [];
    nodes: readonly ControlNode[] = [];
    version = 1;
    isLed = true;
    table: RouteTable | undefined = emptyRouteTable;
    tableUpdate: TableUpdate | undefined;
    packedRoutes: Uint8Array | undefined;
    confirmedAgeMs: number | undefined;
    onWatchCall: (watchCall: WatchParams) => void = () => undefined;
    onReport: () => void = () => undefined;
    private readonly server = new ChannelServer({ selfId: "control", secret }, (method, params) => {
        if (method === DirectoryMethod.reportEntry) {
            this.onReport();
        }
        if (method !== DirectoryMethod.watch) {
            return undefined;
        }
        this.watchCalls.push(params as WatchParams);
        this.onWatchCall(params as WatchParams);
        const delta = {
            version: this.version,
            isFull: true,
            table: this.tableUpdate === undefined ? this.table : undefined,
            tableUpdate: this.tableUpdate,
            packedRoutes: this.packedRoutes,
            registrations: [],
            ended: [],
            nodes: this.nodes,
        };
        const { confirmedAgeMs } = this;
        const confirmation = confirmedAgeMs === undefined ? {} : { confirmedAgeMs };
        return { isLed: this.isLed, delta, entryCount: 1, ...confirmation } satisfies WatchAnswer;
    });

    async start(): Promise<string> {
        return `127.0.0.1:${await this.server.listen("127.0.0.1", 0)}`;
    }

    close(): Promise<void> {
        return this.server.close();
    }
}

function makeNode(peerAddress: string, availabilityZone: string): ControlNode {
    return { peerAddress, operatorAddress: peerAddress, availabilityZone };
}

test("guards against an entry that stays with a control VM of another availability zone after its start", async t => {
    const localControl = new FakeControl();
    const remoteControl = new FakeControl();
    const localAddress = await localControl.start();
    const remoteAddress = await remoteControl.start();
    localControl.nodes = remoteControl.nodes = [makeNode(localAddress, "az-1"), makeNode(remoteAddress, "az-2")];
    const watch = makeWatch([remoteAddress], () => {
        if (localControl.watchCalls.length > 0) {
            watch.close();
        }
    });
    await watch.run();
    t.is(remoteControl.watchCalls.length, 1, "the first answer lists the control VM of the local zone");
    await localControl.close();
    await remoteControl.close();
});

test("guards against entries that stay with the first of two control VMs of their zone", async t => {
    const controls = [new FakeControl(), new FakeControl()];
    const addresses = await Promise.all(controls.map(control => control.start()));
    const [preferred] = rankControlVms("entry", addresses);
    // The second control VM joins once the entry is attached to the first.
    const [early, late] = preferred === addresses[1] ? [0, 1] : [1, 0];
    const nodes = addresses.map(address => makeNode(address, "az-1"));
    controls[early].nodes = [nodes[early]];
    controls[late].nodes = nodes;
    controls[early].onWatchCall = () => {
        if (controls[early].watchCalls.length === 3) {
            controls[early].nodes = nodes;
        }
    };
    const watch = makeWatch([addresses[early]], () => {
        if (controls[late].watchCalls.length > 0) {
            watch.close();
        }
    });
    await watch.run();
    t.is(controls[early].watchCalls.length, 3, "the entry moves when it learns of the control VM that it prefers");
    await Promise.all(controls.map(control => control.close()));
});

test("guards against an entry that leaves its control VM for a preferred one that cannot be reached", async t => {
    const control = new FakeControl();
    const address = await control.start();
    const unreachable = "127.0.0.1:1";
    control.nodes = [makeNode(address, "az-1"), makeNode(unreachable, "az-1")];
    const selfId = ["entry", "e-1", "e-2", "e-3", "e-4", "e-5", "e-6", "e-7"].find(id =>
        rankControlVms(id, [address, unreachable])[0] === unreachable
    );
    t.not(selfId, undefined);
    const watch = makeWatch([address], () => undefined, new SystemClock(), selfId);
    let reports = 0;
    control.onReport = () => reports++;
    control.onWatchCall = () => {
        if (control.watchCalls.length === 5) {
            watch.close();
        }
    };
    await watch.run();
    t.is(reports, 1, "the control VM in use offers the entry while the other one is tried, which is done once");
    await control.close();
});

test("guards against requests that keep waiting after the directory is known", async t => {
    const control = new FakeControl();
    const watch = makeWatch([await control.start()], () => undefined);
    await watch.waitUntilKnown(1);
    t.is(watch.version, 0, "the wait is bounded");
    const directoryKnown = watch.waitUntilKnown(60_000);
    const run = watch.run();
    await directoryKnown;
    t.is(watch.version, 1);
    await watch.waitUntilKnown(60_000);
    watch.close();
    await run;
    await control.close();
});

test("guards against an entry that applies a route update to another base version", async t => {
    const control = new FakeControl();
    const tableVersions: (number | undefined)[] = [];
    const watch = makeWatch([await control.start()], (_delta, table) => {
        tableVersions.push(table?.version);
        if (tableVersions.length === 1) {
            control.version = 2;
            control.tableUpdate = { baseVersion: 7, update: { ...emptyUpdate, version: 8 } };
        }
        else {
            watch.close();
        }
    });
    control.onWatchCall = ({ canUpdate }) => {
        if (canUpdate === false) {
            control.tableUpdate = undefined;
            control.table = { ...emptyRouteTable, version: 8 };
        }
    };
    await watch.run();
    t.deepEqual(tableVersions, [0, 8], "the full table follows an update with another base version");
    await control.close();
});

function makeWatch(
    seeds: readonly string[],
    onDelta: DirectoryWatchOptions["onDelta"],
    clock: Clock = new SystemClock(),
    selfId = "entry",
    overrides: Partial<DirectoryWatchOptions> = {},
): DirectoryWatch {
    return new DirectoryWatch({
        channel: { selfId, secret },
        availabilityZone: "az-1",
        seeds,
        clock,
        random: new SeededRandom(1),
        logger: silentLogger,
        metrics: new GatewayMetrics({
            inFlight: () => 0,
            directoryVersion: () => 0,
            routesVersion: () => 0,
            isConfirmed: () => true,
            upstreams: () => 0,
            ejectedUpstreams: () => 0,
            limitedUpstreams: () => 0,
            coldUpstreams: () => 0,
        }),
        describeEntry: () => ({ id: "entry", address: "127.0.0.1:1", availabilityZone: "az-1", isServing: true }),
        onDelta,
        limits: { version: 0, apply: () => undefined, resetVersion: () => undefined },
        ...overrides,
    });
}

test("guards against an entry that uses a stale directory after its VM was suspended", async t => {
    const control = new FakeControl();
    const clock = new ManualClock();
    const watch = makeWatch([await control.start()], () => watch.close(), clock);
    await watch.run();
    t.true(watch.isConfirmed);
    t.true(watch.isCounted);
    // The monotonic clock stops while a VM is suspended.
    clock.suspend(5000);
    t.false(watch.isConfirmed);
    t.false(watch.isCounted);
    await control.close();
});

const confirmationCases = [
    {
        name: "a quorum confirmed long before the call",
        confirmedAgeMs: 1600,
        isConfirmed: false,
        isConfirmedLater: false,
    },
    {
        name: "a quorum confirmed shortly before the call",
        confirmedAgeMs: 700,
        isConfirmed: true,
        isConfirmedLater: false,
    },
    { name: "a quorum confirmed during the call", confirmedAgeMs: -200, isConfirmed: true, isConfirmedLater: true },
    {
        name: "a control VM of an earlier version",
        confirmedAgeMs: undefined,
        isConfirmed: true,
        isConfirmedLater: true,
    },
];

for (const { name, confirmedAgeMs, isConfirmed, isConfirmedLater } of confirmationCases) {
    test(`guards against an entry that rejects requests by a configuration which may have changed: ${name}`, async t => {
        const control = new FakeControl();
        control.confirmedAgeMs = confirmedAgeMs;
        const clock = new ManualClock();
        const watch = makeWatch([await control.start()], () => watch.close(), clock);
        await watch.run();
        t.is(watch.isConfirmed, isConfirmed);
        t.true(watch.isCounted, "the report of the entry is recent");
        clock.advance(1000);
        t.is(watch.isConfirmed, isConfirmedLater);
        await control.close();
    });
}

test("guards against an entry that keeps outdated quotas when it moves to a control VM with versions of its own", async t => {
    const controls = [new FakeControl(), new FakeControl()];
    const addresses = await Promise.all(controls.map(control => control.start()));
    const [preferred] = rankControlVms("entry", addresses);
    const [early, late] = preferred === addresses[1] ? [0, 1] : [1, 0];
    const nodes = addresses.map(address => makeNode(address, "az-1"));
    controls[early].nodes = controls[late].nodes = nodes;
    const quotas = {
        version: 7 as number | undefined,
        apply: () => undefined,
        resetVersion: () => void (quotas.version = 0),
        returnUses: () => undefined,
    };
    controls[early].onWatchCall = () => quotas.version = 7;
    const watch = makeWatch(
        [addresses[early]],
        () => {
            if (controls[late].watchCalls.length > 0) {
                watch.close();
            }
        },
        new SystemClock(),
        "entry",
        { quotas },
    );
    await watch.run();
    t.is(controls[late].watchCalls[0].quotasVersion, 0);
    await Promise.all(controls.map(control => control.close()));
});

test("guards against an entry that leaves its control VM for a preferred one that hears no leader", async t => {
    const controls = [new FakeControl(), new FakeControl()];
    const addresses = await Promise.all(controls.map(control => control.start()));
    const [preferred] = rankControlVms("entry", addresses);
    const [used, unled] = preferred === addresses[1] ? [0, 1] : [1, 0];
    controls[used].nodes = addresses.map(address => makeNode(address, "az-1"));
    controls[unled].isLed = false;
    const warnings: string[] = [];
    const logger = { ...silentLogger, warn: (text: string) => warnings.push(text) };
    const watch = makeWatch([addresses[used]], () => undefined, new SystemClock(), "entry", { logger });
    controls[used].onWatchCall = () => {
        if (controls[used].watchCalls.length === 5) {
            watch.close();
        }
    };
    await watch.run();
    t.is(controls[unled].watchCalls.length, 1, "it is asked once before the entry would move");
    t.deepEqual(warnings, [], "the entry stays connected to the control VM in use");
    await Promise.all(controls.map(control => control.close()));
});

test("guards against an entry that believes it has applied a change which it could not apply", async t => {
    const control = new FakeControl();
    const appliedVersions: number[] = [];
    const watch = makeWatch([await control.start()], ({ version }) => {
        if (version === 2 && control.watchCalls.length < 4) {
            throw new Error("the change cannot be applied");
        }
        appliedVersions.push(version);
        if (version === 2) {
            watch.close();
        }
        control.version = 2;
    });
    await watch.run();
    t.deepEqual(appliedVersions, [1, 2]);
    t.deepEqual(control.watchCalls.map(({ version }) => version), [0, 1, 1, 1], "the change is asked for again");
    t.false(control.watchCalls.at(-1)?.canUpdate, "the whole state is asked for, as a part may have been applied");
    await control.close();
});

test("guards against an entry that tries replaced control VMs of its settings before those that it knows", async t => {
    const controls = [new FakeControl(), new FakeControl(), new FakeControl()];
    const addresses = await Promise.all(controls.map(control => control.start()));
    const nodes = addresses.map((address, index) => makeNode(address, `az-${index + 1}`));
    controls.forEach(control => control.nodes = nodes);
    const goneSeeds = ["127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"];
    for (let seed = 1; seed <= 5; seed++) {
        const lostAddresses: unknown[] = [];
        const warn = (_text: string, fields?: object) => lostAddresses.push((fields as { address?: string; }).address);
        const isTried = () => controls.slice(1).some(control => control.watchCalls.length > 0);
        const random = new SeededRandom(seed);
        const logger = { ...silentLogger, warn };
        const watch = makeWatch([addresses[0]], () => isTried() && watch.close(), new SystemClock(), "entry", {
            random,
            logger,
            seeds: [addresses[0], ...goneSeeds],
        });
        controls.forEach(control => control.watchCalls.length = 0);
        controls[0].isLed = true;
        controls[0].onWatchCall = () => controls[0].isLed = controls[0].watchCalls.length < 2;
        await watch.run();
        t.deepEqual(lostAddresses.slice(lostAddresses.indexOf(addresses[0]) + 1), [], `seed ${seed}`);
    }
    await Promise.all(controls.map(control => control.close()));
});

test("guards against an entry that leaves the control VM of its zone while another leader is elected", async t => {
    const controls = [new FakeControl(), new FakeControl()];
    const addresses = await Promise.all(controls.map(control => control.start()));
    const [local, remote] = controls;
    controls.forEach(control =>
        control.nodes = addresses.map((address, index) => makeNode(address, `az-${index + 1}`))
    );
    const watch = makeWatch([addresses[0]], () => undefined);
    local.onWatchCall = () => {
        local.isLed = local.watchCalls.length !== 3;
        if (local.watchCalls.length === 6) {
            watch.close();
        }
    };
    await watch.run();
    t.is(remote.watchCalls.length, 0);
    await Promise.all(controls.map(control => control.close()));
});

/** A table of about 0.5 MB. */
function makeLargeTable(): RouteTable {
    const routes = Array.from(
        { length: 2800 },
        (_value, index) =>
            makeRoute({
                name: `r-${index}x${(index * 7919).toString(36)}`,
                pathPrefix: `/p${(index * 104729).toString(36)}/`,
            }),
    );
    return makeTable(1, routes);
}

test("guards against an entry that gives a table up while it arrives over a slow link, and asks for it again", async t => {
    const control = new FakeControl();
    // A control VM of the version before, which does not compress it.
    control.table = makeLargeTable();
    const [host, port] = (await control.start()).split(":");
    const relay = new TcpRelay(host, Number(port));
    const address = `127.0.0.1:${await relay.listen()}`;
    // 2.1 Mbit/s: the table takes about two seconds.
    relay.throttle(2_100_000 / 8);
    const watch = makeWatch([address], () => watch.close(), new SystemClock());
    await watch.run();
    t.is(control.watchCalls.length, 1);
    t.is(watch.version, 1);
    await relay.close();
    await control.close();
});

test("guards against an entry without routes as it cannot read compressed ones", async t => {
    const control = new FakeControl();
    const address = await control.start();
    control.packedRoutes = Buffer.from("damaged");
    control.onWatchCall = ({ canUnpack }) => {
        if (canUnpack !== true) {
            control.packedRoutes = undefined;
        }
    };
    const watch = makeWatch([address], () => watch.close());
    await watch.run();
    t.deepEqual(control.watchCalls.map(({ canUnpack }) => canUnpack), [true, false]);
    t.is(watch.version, 1);
    await control.close();
});
