import test from "ava";
import { type Clock, ManualClock, SystemClock } from "../core/clock.js";
import { SeededRandom } from "../core/random.js";
import type { TableUpdate } from "../directory/directoryState.js";
import { DirectoryMethod, type WatchAnswer, type WatchParams } from "../directory/messages.js";
import type { ControlNode } from "../directory/model.js";
import { emptyRouteTable, type RouteTable } from "../directory/model.js";
import { GatewayMetrics } from "../metrics/gatewayMetrics.js";
import { ChannelServer } from "../transport/channel.js";
import { DirectoryWatch, type DirectoryWatchOptions } from "./directoryWatch.js";

const secret = "test-secret";
const emptyUpdate = { limits: undefined, hosts: [], services: [], removedRoutes: [], removedServices: [] };
const silentLogger = { debug: () => 0, info: () => 0, warn: () => 0, error: () => 0 };

/** A control VM that answers each question at once with the same directory. */
class ControlStandIn {
    readonly questions: WatchParams[] = [];
    nodes: readonly ControlNode[] = [];
    version = 1;
    table: RouteTable | undefined = emptyRouteTable;
    tableUpdate: TableUpdate | undefined;
    onQuestion: (question: WatchParams) => void = () => undefined;
    private readonly server = new ChannelServer({ selfId: "control", secret }, (method, params) => {
        if (method !== DirectoryMethod.watch) {
            return undefined;
        }
        this.questions.push(params as WatchParams);
        this.onQuestion(params as WatchParams);
        const delta = {
            version: this.version,
            isFull: true,
            table: this.tableUpdate === undefined ? this.table : undefined,
            tableUpdate: this.tableUpdate,
            registrations: [],
            ended: [],
            nodes: this.nodes,
        };
        return { isLed: true, delta, entryCount: 1 } satisfies WatchAnswer;
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

test("guards against an entry that stays with the control VM of another zone after its start", async t => {
    const near = new ControlStandIn();
    const far = new ControlStandIn();
    const nearAddress = await near.start();
    const farAddress = await far.start();
    near.nodes = far.nodes = [makeNode(nearAddress, "az-1"), makeNode(farAddress, "az-2")];
    const watch = makeWatch([farAddress], () => {
        if (near.questions.length > 0) {
            watch.close();
        }
    });
    await watch.run();
    t.is(far.questions.length, 1, "the first answer names the control VM of the own zone");
    await near.close();
    await far.close();
});

test("guards against requests that wait on after the directory is known", async t => {
    const control = new ControlStandIn();
    const watch = makeWatch([await control.start()], () => undefined);
    await watch.waitUntilKnown(1);
    t.is(watch.version, 0, "the wait is bounded");
    const isKnown = watch.waitUntilKnown(60_000);
    const run = watch.run();
    await isKnown;
    t.is(watch.version, 1);
    await watch.waitUntilKnown(60_000);
    watch.close();
    await run;
    await control.close();
});

test("guards against an entry that applies an update to other routes than those it starts from", async t => {
    const control = new ControlStandIn();
    const tables: (number | undefined)[] = [];
    const watch = makeWatch([await control.start()], (_delta, table) => {
        tables.push(table?.version);
        if (tables.length === 1) {
            control.version = 2;
            control.tableUpdate = { baseVersion: 7, update: { ...emptyUpdate, version: 8 } };
        }
        else {
            watch.close();
        }
    });
    control.onQuestion = ({ canUpdate }) => {
        if (canUpdate === false) {
            control.tableUpdate = undefined;
            control.table = { ...emptyRouteTable, version: 8 };
        }
    };
    await watch.run();
    t.deepEqual(tables, [0, 8], "the whole routes follow the update that does not fit");
    await control.close();
});

function makeWatch(
    seeds: readonly string[],
    onDelta: DirectoryWatchOptions["onDelta"],
    clock: Clock = new SystemClock(),
): DirectoryWatch {
    return new DirectoryWatch({
        channel: { selfId: "entry", secret },
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
        }),
        describeEntry: () => ({ id: "entry", address: "127.0.0.1:1", availabilityZone: "az-1", isServing: true }),
        onDelta,
    });
}

test("guards against an entry that acts on an old view after its VM was suspended", async t => {
    const control = new ControlStandIn();
    const clock = new ManualClock();
    const watch = makeWatch([await control.start()], () => watch.close(), clock);
    await watch.run();
    t.true(watch.isConfirmed);
    t.true(watch.isCounted);
    // The steady clock stands still while a VM is suspended.
    clock.suspend(5000);
    t.false(watch.isConfirmed);
    t.false(watch.isCounted);
    await control.close();
});
