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

function listIndexesAndTerms(disk: Disk): readonly string[] {
    return openStore(disk).load().records.map(record => `${record.index}/${record.term}`);
}

function makeFileDisk(): { disk: FileDisk; folder: string; } {
    const folder = fs.mkdtempSync(path.join(os.tmpdir(), "figwharf-store-"));
    return { disk: new FileDisk(folder), folder };
}

const snapshot: Snapshot = { index: 3, term: 1, members: { voters: [], learners: [] }, state: new Uint8Array([1]) };

test("identity, vote, records and snapshot on a file disk survive a restart", t => {
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

/** Damage to the log file of a stopped VM, and the records or the error that the next start yields. */
const damageCases: readonly {
    readonly name: string;
    readonly damage: (bytes: Buffer) => Buffer;
    readonly expected: readonly string[] | "storage-corrupt";
}[] = [
    { name: "a block truncated in its payload", damage: bytes => bytes.subarray(0, -3), expected: ["1/1"] },
    {
        name: "a block truncated in its header",
        damage: bytes => bytes.subarray(0, bytes.length / 2 + 5),
        expected: ["1/1"],
    },
    {
        name: "zeros after the last block",
        damage: bytes => Buffer.concat([bytes, Buffer.alloc(64)]),
        expected: ["1/1", "2/1"],
    },
    {
        name: "a changed byte in the last block",
        damage: bytes => flipByte(bytes, bytes.length - 2),
        expected: ["1/1"],
    },
    { name: "a changed byte in an earlier block", damage: bytes => flipByte(bytes, 14), expected: "storage-corrupt" },
    { name: "a changed length of an earlier block", damage: bytes => flipByte(bytes, 5), expected: "storage-corrupt" },
    {
        name: "changed magic bytes of an earlier block",
        damage: bytes => flipByte(bytes, 0),
        expected: "storage-corrupt",
    },
];

function flipByte(bytes: Buffer, offsetBytes: number): Buffer {
    const changed = Buffer.from(bytes);
    changed[offsetBytes] ^= 0xff;
    return changed;
}

for (const { name, damage, expected } of damageCases) {
    test(`guards against loading a log with missing or invalid records: ${name}`, t => {
        const { disk, folder } = makeFileDisk();
        const store = openStore(disk);
        writeBatch(store, makeRecords(1, 1));
        writeBatch(store, makeRecords(2, 2));
        store.close();
        const file = path.join(folder, "log");
        fs.writeFileSync(file, damage(fs.readFileSync(file)));
        const reopened = new FileDisk(folder);
        if (typeof expected === "string") {
            const error = t.throws(() => listIndexesAndTerms(reopened), { instanceOf: StorageError });
            t.is(error.code, expected);
            t.true(fs.readFileSync(file).length > 0, "the damaged file is not truncated");
        }
        else {
            t.deepEqual(listIndexesAndTerms(reopened), expected);
            const nextStore = openStore(reopened);
            writeBatch(nextStore, makeRecords(expected.length + 1, expected.length + 1, 2));
            t.deepEqual(listIndexesAndTerms(reopened), [...expected, `${expected.length + 1}/2`]);
        }
        fs.rmSync(folder, { recursive: true });
    });
}

for (const file of ["identity", "vote", "snapshot"]) {
    test(`guards against a damaged ${file}: loading fails`, t => {
        const disk = new FakeDisk(new SeededRandom(1));
        openStore(disk).saveSnapshot(snapshot, []);
        disk.corrupt(file, 14);
        t.is(t.throws(() => listIndexesAndTerms(disk), { instanceOf: StorageError }).code, "storage-damaged");
    });
}

test("guards against a missing file: loading a folder with an identity but without a log fails", t => {
    const { disk, folder } = makeFileDisk();
    openStore(disk).close();
    fs.rmSync(path.join(folder, "log"));
    t.is(
        t.throws(() => listIndexesAndTerms(new FileDisk(folder)), { instanceOf: StorageError }).code,
        "storage-incomplete",
    );
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

test("guards against a crash at any operation: synced records survive, and a batch loads whole or not at all", t => {
    for (let seed = 1; seed <= 40; seed++) {
        const disk = new FakeDisk(new SeededRandom(seed));
        const store = openStore(disk);
        let lastSyncedIndex = 0;
        disk.crashAtOperation(1 + seed % 12);
        try {
            for (let first = 1; first <= 30; first += 3) {
                writeBatch(store, makeRecords(first, first + 2));
                lastSyncedIndex = first + 2;
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
        const lastIndex = records.at(-1)?.index ?? 0;
        t.true(
            lastIndex === lastSyncedIndex || lastIndex === lastSyncedIndex + 3,
            `seed ${seed}: ${lastIndex} after ${lastSyncedIndex}`,
        );
    }
});
