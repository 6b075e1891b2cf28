import test from "ava";
import { ManualClock } from "../core/clock.js";
import { SeededRandom } from "../core/random.js";
import { ControlStore } from "../storage/controlStore.js";
import { FakeDisk } from "../storage/fakeDisk.js";
import { CatalogueState } from "./catalogueState.js";
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

for (const operation of ["append", "sync"]) {
    test(`guards against an answer that is not durable: a failed ${operation} stops the VM`, async t => {
        const disk = new FakeDisk(new SeededRandom(1));
        const store = new ControlStore(disk);
        const selfId = store.openIdentity(() => "a1");
        const lines: string[] = [];
        const failures: Error[] = [];
        const logger = { info: () => 0, warn: () => 0, error: (text: string) => lines.push(text) };
        const host = new ReplicaHost({
            selfId,
            machine: new CatalogueState(),
            store,
            links: new PeerLinks({ selfId, secret: "secret" }),
            clock: new ManualClock(),
            random: new SeededRandom(1),
            logger,
            onFailed: error => failures.push(error),
        });
        host.submit({ kind: "found", members: { voters: [{ id: selfId, peerAddress: "a:1" }], learners: [] } });
        host.run();
        t.is((await host.propose(change)).kind, "applied");
        disk.failOn(operation, "no space left on device");
        t.is((await host.propose({ ...change, changeId: "b", baseRevision: 1 })).kind, "unknown");
        t.is(failures.length, 1);
        t.regex(lines.join(), /control VM stops: log: .* failed: no space left on device/);
        t.false(await host.confirmLeadership(), "a stopped VM confirms nothing");
    });
}
