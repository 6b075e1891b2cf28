import test from "ava";
import { ManualClock } from "../core/clock.js";
import { SeededRandom } from "../core/random.js";
import { ControlStore } from "../storage/controlStore.js";
import { FakeDisk } from "../storage/fakeDisk.js";
import { CatalogueState } from "./catalogueState.js";
import type { ChangeCommand } from "./messages.js";
import type { ApplyOutcome } from "./operatorApi.js";
import { PeerLinks } from "./peerLinks.js";
import { ReplicaHost } from "./replicaHost.js";

const change = {
    changeId: "a",
    baseRevision: 0,
    operation: { kind: "declare" as const, declarations: { services: [], entryVms: [], runbookCommands: [] } },
    operator: "ann",
    from: "::1",
    proposedAtMs: 0,
    groupTimeMs: 0,
    problem: undefined,
};

interface Setup {
    readonly disk: FakeDisk;
    readonly logLines: string[];
    readonly failures: Error[];
    readonly host: ReplicaHost<CatalogueState, ChangeCommand, ApplyOutcome>;
}

/** Returns the leader of a group of one VM. */
function makeLeader(disk = new FakeDisk(new SeededRandom(1))): Setup {
    const store = new ControlStore(disk);
    const selfId = store.openIdentity(() => "a1");
    const logLines: string[] = [];
    const failures: Error[] = [];
    const write = (text: string) => logLines.push(text);
    const host: Setup["host"] = new ReplicaHost({
        selfId,
        machine: new CatalogueState(),
        store,
        links: new PeerLinks({ selfId, secret: "secret" }),
        clock: new ManualClock(),
        random: new SeededRandom(1),
        logger: { info: write, warn: write, error: write },
        onFailed: error => failures.push(error),
    });
    host.submit({ kind: "found", members: { voters: [{ id: selfId, peerAddress: "a:1" }], learners: [] } });
    host.run();
    return { disk, logLines, failures, host };
}

test("guards against a control VM that exits on a full disk or answers before a change is durable", async t => {
    const { disk, host, failures, logLines } = makeLeader();
    t.is((await host.propose(change)).kind, "applied");
    disk.isFull = true;
    t.is((await host.propose({ ...change, changeId: "b", baseRevision: 1 })).kind, "unknown");
    t.false(host.isLeader, "a VM that cannot write does not lead");
    t.false(host.isLed, "entries switch to another VM");
    t.false(await host.confirmLeadership());
    t.is((await host.propose({ ...change, changeId: "c", baseRevision: 1 })).kind, "unknown");
    host.run();
    t.is(logLines.filter(line => line.includes("the disk is full")).length, 1);
    disk.isFull = false;
    host.run();
    t.true(await host.confirmLeadership());
    t.deepEqual(failures, []);
    host.close();
    disk.restart();
    const restarted = makeLeader(disk).host;
    t.is(restarted.state.revision, 2, "the delayed change is durable, the refused one is absent");
    restarted.close();
});

for (const operation of ["append", "sync"]) {
    test(`guards against an answer before a change is durable: a failed ${operation} stops the VM`, async t => {
        const { disk, host, failures, logLines } = makeLeader();
        t.is((await host.propose(change)).kind, "applied");
        disk.failOn(operation, "no space left on device");
        t.is((await host.propose({ ...change, changeId: "b", baseRevision: 1 })).kind, "unknown");
        t.is(failures.length, 1);
        t.regex(logLines.join(), /control VM stops: log: .* failed: no space left on device/);
        t.false(await host.confirmLeadership(), "a stopped VM does not confirm reads");
    });
}
