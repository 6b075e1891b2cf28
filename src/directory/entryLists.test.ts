import test from "ava";
import { ManualClock, readInstant } from "../core/clock.js";
import { SeededRandom } from "../core/random.js";
import { encodeFrame } from "../transport/framing.js";
import { AttachedEntries } from "./attachedEntries.js";
import { EntryListHistory, mergeEntryStates, PeerEntryLists, selectAddresses } from "./entryLists.js";
import { DirectoryMethod, type EntryReport } from "./messages.js";

const zoneOfVm = ["az-1", "az-1", "az-2", "az-3", "az-4"];
const entriesPerZone = 78;
const reportIntervalMs = 400;
const localWaitMs = 500;
const maxBytesPerSecond = 25_000;

/** A control VM without network: its attached entries, its list for others, and what it knows of others. */
class SimulatedVm {
    readonly attached = new AttachedEntries();
    readonly history: EntryListHistory;
    readonly known: PeerEntryLists;
    bytes = 0;

    constructor(private readonly clock: ManualClock) {
        this.history = new EntryListHistory(clock.now().getTime());
        this.known = new PeerEntryLists(clock);
    }

    report(index: number, isServing = true): void {
        this.attached.recordReport(makeReport(index, isServing), this.clock.monotonicMs());
    }

    poll(peer: SimulatedVm, name: string): void {
        const sentAt = readInstant(this.clock);
        const version = this.known.versionOf(name);
        const call = { jsonrpc: "2.0", id: 123_456, method: DirectoryMethod.entryList };
        const nowMs = this.clock.monotonicMs();
        peer.history.update(peer.attached.listStates(nowMs));
        const result = peer.history.describe(version, nowMs);
        const bytes = encodeFrame({ ...call, params: { version, waitMs: localWaitMs } }).length +
            encodeFrame({ jsonrpc: "2.0", id: 123_456, result }).length;
        this.bytes += bytes;
        peer.bytes += bytes;
        this.known.apply(name, result, sentAt);
    }

    lookUp(availabilityZone = "az-1"): readonly string[] {
        const states = mergeEntryStates(this.attached.listStates(this.clock.monotonicMs()), this.known.list());
        return selectAddresses(states, availabilityZone, 400, "10.9.0.1");
    }
}

function makeReport(index: number, isServing: boolean): EntryReport {
    const zone = 1 + Math.floor(index / entriesPerZone);
    const address = `10.${zone}.0.${index % entriesPerZone}:8144`;
    return { id: `edge-${zone}-${index}`, address, availabilityZone: `az-${zone}`, isServing };
}

function addressOf(index: number): string {
    return makeReport(index, true).address;
}

/** Two control VMs of one zone; entries report every 400 ms, and the VMs poll each other every 500 ms. */
class SimulatedPair {
    readonly clock = new ManualClock();
    vms = [new SimulatedVm(this.clock), new SimulatedVm(this.clock)];
    /** Control VM and serving state of each entry; undefined for entries that are lost. */
    entries: ({ vm: number; isServing: boolean; } | undefined)[] = [];
    lostVms = new Set<number>();

    run(durationMs: number): void {
        for (let stepMs = 0; stepMs < durationMs; stepMs += 100) {
            this.clock.advance(100);
            const nowMs = this.clock.monotonicMs();
            this.entries.forEach((entry, index) => {
                if (entry !== undefined && !this.lostVms.has(entry.vm) && nowMs % reportIntervalMs === 0) {
                    this.vms[entry.vm].report(index, entry.isServing);
                }
            });
            if (nowMs % localWaitMs === 0 && this.lostVms.size === 0) {
                this.exchange();
            }
        }
    }

    exchange(): void {
        this.vms[0].poll(this.vms[1], "vm-1");
        this.vms[1].poll(this.vms[0], "vm-0");
    }
}

function makePair(): SimulatedPair {
    const pair = new SimulatedPair();
    pair.entries = [{ vm: 0, isServing: true }, { vm: 1, isServing: true }];
    pair.run(2000);
    return pair;
}

test("guards against a lookup that fails as all entries of the zone are attached to the other control VM", t => {
    const pair = makePair();
    pair.entries = [{ vm: 0, isServing: true }, { vm: 0, isServing: true }];
    pair.run(3000);
    pair.vms.forEach(vm => t.deepEqual(vm.lookUp(), [addressOf(0), addressOf(1)]));
});

test("guards against a control VM that offers no entries just after its start", t => {
    const pair = makePair();
    pair.vms[1] = new SimulatedVm(pair.clock);
    t.deepEqual(pair.vms[1].lookUp(), []);
    pair.exchange();
    t.deepEqual(pair.vms[1].lookUp(), [addressOf(0)], "its first poll returns the whole list");
    t.deepEqual(pair.vms[0].lookUp(), [addressOf(0)], "the list of the process before the restart does not apply");
});

test("guards against offering an entry that was lost together with its control VM", t => {
    const pair = makePair();
    pair.lostVms.add(0);
    pair.entries[0] = undefined;
    t.deepEqual(pair.vms[1].lookUp(), [addressOf(0), addressOf(1)]);
    pair.run(3000);
    t.deepEqual(pair.vms[1].lookUp(), [addressOf(1)]);
});

test("guards against offering an entry that was lost for longer than the control VM of its zone knows", t => {
    const pair = makePair();
    pair.entries[0] = undefined;
    pair.run(2000);
    pair.vms.forEach(vm => t.deepEqual(vm.lookUp(), [addressOf(1)]));
});

test("guards against a lookup that fails while entries move from a lost control VM", t => {
    const pair = makePair();
    pair.entries = [{ vm: 0, isServing: true }];
    pair.run(2000);
    pair.lostVms.add(0);
    pair.run(1000);
    t.deepEqual(pair.vms[1].lookUp(), [addressOf(0)]);
    pair.entries[0] = { vm: 1, isServing: true };
    pair.run(5000);
    t.deepEqual(pair.vms[1].lookUp(), [addressOf(0)]);
});

test("guards against offering a stopping entry, also when it has just moved to another control VM", t => {
    const pair = makePair();
    pair.entries[0] = { vm: 1, isServing: true };
    pair.run(400);
    pair.entries[0] = { vm: 1, isServing: false };
    pair.vms[1].report(0, false);
    t.deepEqual(pair.vms[1].lookUp(), [addressOf(1)]);
    pair.exchange();
    t.deepEqual(pair.vms[0].lookUp(), [addressOf(1)], "its report to the first control VM is older");
});

test("guards against a list that keeps addresses after this VM was suspended", t => {
    const pair = makePair();
    pair.clock.suspend(5000);
    t.deepEqual(pair.vms[1].known.list(), []);
});

test("guards against changes that an answer omits", t => {
    const random = new SeededRandom(5);
    const pair = new SimulatedPair();
    for (let round = 0; round < 400; round++) {
        const index = random.nextInt(20);
        const isServing = random.nextUnit() < 0.7;
        pair.entries[index] = random.nextUnit() < 0.3 ? undefined : { vm: random.nextInt(2), isServing };
        pair.run(500);
        if (random.nextUnit() < 0.2) {
            pair.run(2500);
            pair.exchange();
            const serving = pair.entries.flatMap((entry, entryIndex) =>
                entry?.isServing === true ? [addressOf(entryIndex)] : []
            );
            pair.vms.forEach(vm => t.deepEqual(vm.lookUp(), serving.sort()));
        }
    }
});

test("guards against messages that exceed the traffic limit with 312 entries and 5 control VMs", t => {
    const clock = new ManualClock();
    const vms = zoneOfVm.map(() => new SimulatedVm(clock));
    const countSeconds = (seconds: number, isRemote: boolean) => {
        vms.forEach(vm => vm.bytes = 0);
        for (let stepMs = 0; stepMs < seconds * 1000; stepMs += localWaitMs) {
            clock.advance(localWaitMs);
            for (let index = 0; index < 4 * entriesPerZone; index++) {
                const zone = Math.floor(index / entriesPerZone);
                vms[zone === 0 ? index % 2 : zone + 1].report(index);
            }
            vms.forEach((vm, index) =>
                vms.forEach((peer, peerIndex) => {
                    const isLocal = zoneOfVm[index] === zoneOfVm[peerIndex];
                    if (peer !== vm && (isLocal || isRemote && stepMs % 1000 === 0)) {
                        vm.poll(peer, `vm-${peerIndex}`);
                    }
                })
            );
        }
        return vms.map(vm => Math.round(vm.bytes / seconds));
    };
    const first = countSeconds(1, true);
    const remote = countSeconds(20, true);
    const calm = countSeconds(20, false);
    t.log({ first, remote, calm });
    t.true(first.every(bytes => bytes < maxBytesPerSecond), "each VM fetches and sends every list once");
    t.true(remote.every(bytes => bytes < maxBytesPerSecond / 10), "every VM polls every other one");
    t.true(calm.every(bytes => bytes < maxBytesPerSecond / 20));
    t.deepEqual(calm.slice(2), [0, 0, 0], "no message crosses availability zones on calm days");
});
