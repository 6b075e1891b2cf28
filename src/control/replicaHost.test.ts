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
    readonly lines: string[];
    readonly failures: Error[];
    readonly host: ReplicaHost<CatalogueState, ChangeCommand, ApplyOutcome>;
}

/** A group of one VM that leads. */
function makeLeader(disk = new FakeDisk(new SeededRandom(1))): Setup {
    const store = new ControlStore(disk);
    const selfId = store.openIdentity(() => "a1");
    const lines: string[] = [];
    const failures: Error[] = [];
    const write = (text: string) => lines.push(text);
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
    return { disk, lines, failures, host };
}

test("guards against a control VM that ends because its disk is full, and against answers that are not durable", async t => {
    const { disk, host, failures, lines } = makeLeader();
    t.is((await host.propose(change)).kind, "applied");
    disk.isFull = true;
    t.is((await host.propose({ ...change, changeId: "b", baseRevision: 1 })).kind, "unknown");
    t.false(host.isLeader, "it takes no part while it cannot write");
    t.false(host.isLed, "entries turn to another VM");
    t.false(await host.confirmLeadership());
    t.is((await host.propose({ ...change, changeId: "c", baseRevision: 1 })).kind, "unknown");
    host.run();
    t.is(lines.filter(line => line.includes("the disk is full")).length, 1);
    disk.isFull = false;
    host.run();
    t.true(await host.confirmLeadership());
    t.deepEqual(failures, []);
    host.close();
    disk.restart();
    const restarted = makeLeader(disk).host;
    t.is(restarted.state.revision, 2, "the delayed change is durable, the refused one is not there");
    restarted.close();
});

for (const operation of ["append", "sync"]) {
    test(`guards against an answer that is not durable: a failed ${operation} stops the VM`, async t => {
        const { disk, host, failures, lines } = makeLeader();
        t.is((await host.propose(change)).kind, "applied");
        disk.failOn(operation, "no space left on device");
        t.is((await host.propose({ ...change, changeId: "b", baseRevision: 1 })).kind, "unknown");
        t.is(failures.length, 1);
        t.regex(lines.join(), /stopping the control VM: log: .* failed: no space left on device/);
        t.false(await host.confirmLeadership(), "a stopped VM confirms nothing");
    });
}
