import test from "ava";
import fs from "node:fs";
import os from "node:os";
import path from "node:path";
import type { LogRecord, Snapshot } from "../control/messages.js";
import { StorageError } from "../core/errors.js";
import { SeededRandom } from "../core/random.js";
import { ControlStore } from "./controlStore.js";
import type { Disk } from "./disk.js";
import { FakeDisk, InjectedCrash } from "./fakeDisk.js";
import { FileDisk } from "./fileDisk.js";

function makeRecords(from: number, to: number, term = 1): LogRecord[] {
    return Array.from(
        { length: to - from + 1 },
        (_unused, offset) => ({ index: from + offset, term, command: { kind: "no-op" } }),
    );
}

function openStore(disk: Disk): ControlStore {
    const store = new ControlStore(disk);
    store.openIdentity(() => "a1");
    return store;
}

function writeBatch(store: ControlStore, records: readonly LogRecord[]): void {
    store.append(records);
    store.sync();
}

function listIndexes(disk: Disk): readonly string[] {
    return openStore(disk).load().records.map(record => `${record.index}/${record.term}`);
}

function makeFileDisk(): { disk: FileDisk; folder: string; } {
    const folder = fs.mkdtempSync(path.join(os.tmpdir(), "figwharf-store-"));
    return { disk: new FileDisk(folder), folder };
}

const snapshot: Snapshot = { index: 3, term: 1, members: { voters: [], learners: [] }, state: new Uint8Array([1]) };

test("the file disk keeps identity, vote, records and snapshot over a restart", t => {
    const { disk, folder } = makeFileDisk();
    const store = openStore(disk);
    store.saveVote(4, "b1");
    writeBatch(store, makeRecords(1, 5));
    writeBatch(store, makeRecords(4, 6, 2));
    store.saveSnapshot(snapshot, makeRecords(3, 3).concat(makeRecords(4, 6, 2)));
    writeBatch(store, makeRecords(7, 7, 3));
    store.close();
    const reopened = new ControlStore(new FileDisk(folder));
    t.is(reopened.openIdentity(() => "other"), "a1");
    const loaded = reopened.load();
    t.deepEqual([loaded.term, loaded.votedFor, loaded.snapshot?.index], [4, "b1", 3]);
    t.deepEqual(loaded.records.map(record => `${record.index}/${record.term}`), ["3/1", "4/2", "5/2", "6/2", "7/3"]);
    fs.rmSync(folder, { recursive: true });
});

/** Damage to the log file of a VM that is down, and what the next start makes of it. */
const damages: readonly {
    readonly name: string;
    readonly damage: (bytes: Buffer) => Buffer;
    readonly expected: readonly string[] | "storage-corrupt";
}[] = [
    { name: "a record cut off in its payload", damage: bytes => bytes.subarray(0, -3), expected: ["1/1"] },
    {
        name: "a record cut off in its header",
        damage: bytes => bytes.subarray(0, bytes.length / 2 + 5),
        expected: ["1/1"],
    },
    {
        name: "zeros after the last record",
        damage: bytes => Buffer.concat([bytes, Buffer.alloc(64)]),
        expected: ["1/1", "2/1"],
    },
    { name: "a changed byte in the last record", damage: bytes => flip(bytes, bytes.length - 2), expected: ["1/1"] },
    { name: "a changed byte in an earlier record", damage: bytes => flip(bytes, 14), expected: "storage-corrupt" },
    { name: "a changed length of an earlier record", damage: bytes => flip(bytes, 5), expected: "storage-corrupt" },
    { name: "a changed mark of an earlier record", damage: bytes => flip(bytes, 0), expected: "storage-corrupt" },
];

function flip(bytes: Buffer, offsetBytes: number): Buffer {
    const changed = Buffer.from(bytes);
    changed[offsetBytes] ^= 0xff;
    return changed;
}

for (const { name, damage, expected } of damages) {
    test(`guards against a skipped or invented record: ${name}`, t => {
        const { disk, folder } = makeFileDisk();
        const store = openStore(disk);
        writeBatch(store, makeRecords(1, 1));
        writeBatch(store, makeRecords(2, 2));
        store.close();
        const file = path.join(folder, "log");
        fs.writeFileSync(file, damage(fs.readFileSync(file)));
        const reopened = new FileDisk(folder);
        if (typeof expected === "string") {
            const error = t.throws(() => listIndexes(reopened), { instanceOf: StorageError });
            t.is(error.code, expected);
            t.true(fs.readFileSync(file).length > 0, "the damaged file stays as it is");
        }
        else {
            t.deepEqual(listIndexes(reopened), expected);
            const next = openStore(reopened);
            writeBatch(next, makeRecords(expected.length + 1, expected.length + 1, 2));
            t.deepEqual(listIndexes(reopened), [...expected, `${expected.length + 1}/2`]);
        }
        fs.rmSync(folder, { recursive: true });
    });
}

for (const file of ["identity", "vote", "snapshot"]) {
    test(`guards against a damaged ${file}: the start is refused`, t => {
        const disk = new FakeDisk(new SeededRandom(1));
        openStore(disk).saveSnapshot(snapshot, []);
        disk.corrupt(file, 14);
        t.is(t.throws(() => listIndexes(disk), { instanceOf: StorageError }).code, "storage-damaged");
    });
}

test("guards against a lost file: a folder with an identity but without a log is refused", t => {
    const { disk, folder } = makeFileDisk();
    openStore(disk).close();
    fs.rmSync(path.join(folder, "log"));
    t.is(t.throws(() => listIndexes(new FileDisk(folder)), { instanceOf: StorageError }).code, "storage-incomplete");
    fs.rmSync(folder, { recursive: true });
});

for (const operation of ["append", "sync", "replace"]) {
    test(`guards against a full or failing disk: a failed ${operation} is reported`, t => {
        const disk = new FakeDisk(new SeededRandom(1));
        const store = openStore(disk);
        disk.failOn(operation, "no space left on device");
        const write = () => operation === "replace" ? store.saveVote(2, "a1") : writeBatch(store, makeRecords(1, 1));
        const error = t.throws(write, { instanceOf: StorageError });
        t.regex(error.message, /no space left on device/);
    });
}

test("guards against a crash at any operation: synced records stay, each batch is kept whole or not at all", t => {
    for (let seed = 1; seed <= 40; seed++) {
        const disk = new FakeDisk(new SeededRandom(seed));
        const store = openStore(disk);
        let synced = 0;
        disk.crashAtOperation(1 + seed % 12);
        try {
            for (let first = 1; first <= 30; first += 3) {
                writeBatch(store, makeRecords(first, first + 2));
                synced = first + 2;
                if (first === 10) {
                    store.saveSnapshot({ ...snapshot, index: 9 }, makeRecords(8, 12));
                }
            }
        }
        catch (error) {
            t.true(error instanceof InjectedCrash);
        }
        disk.restart();
        const { records } = openStore(disk).load();
        const last = records.at(-1)?.index ?? 0;
        t.true(last === synced || last === synced + 3, `seed ${seed}: ${last} after ${synced}`);
    }
});
