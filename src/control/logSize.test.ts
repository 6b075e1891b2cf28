import test from "ava";
import { spawnSync } from "node:child_process";
import fs from "node:fs";
import os from "node:os";
import path from "node:path";
import { fileURLToPath } from "node:url";
import { SeededRandom } from "../core/random.js";
import { ControlStore } from "../storage/controlStore.js";
import { FileDisk } from "../storage/fileDisk.js";
import type { ControlEffect, LogRecord } from "./messages.js";
import { Replica } from "./replica.js";
import { defaultReplicaLimits, ReplicaState } from "./replicaState.js";
import { CountingMachine } from "./testing/countingMachine.js";

const recordBytes = 256 * 1024;
const members = { voters: ["a", "b", "c"].map(id => ({ id, peerAddress: `${id}:1` })), learners: [] };
const snapshot = { index: 0, term: 0, members, state: new Uint8Array() };

function makeLargeRecord(index: number, term = 1): LogRecord {
    return { index, term, command: { kind: "change", change: { text: String(index).padEnd(recordBytes, "x") } } };
}

function makeRecords(from: number, to: number): LogRecord[] {
    return Array.from({ length: to - from + 1 }, (_value, offset) => makeLargeRecord(from + offset));
}

function sizeOf(value: unknown): number {
    return Buffer.byteLength(JSON.stringify(value));
}

function listSentBytes(effects: readonly ControlEffect[], to: string): number {
    return effects.reduce(
        (sum, effect) =>
            effect.kind === "send" && effect.to === to && effect.message.kind === "append"
                ? sum + sizeOf(effect.message.records)
                : sum,
        0,
    );
}

/** Makes a replica that leads a group with two other voters. */
function makeLeader(records: readonly LogRecord[] = []) {
    const machine = new CountingMachine();
    const persisted = { term: 1, votedFor: undefined, snapshot, records };
    const replica = new Replica({ selfId: "a", persisted, machine, random: new SeededRandom(1), nowMs: 0 });
    replica.tick(5000);
    const term = replica.term + 1;
    const vote = (kind: "pre-vote-answer" | "vote-answer") =>
        replica.handle({ kind: "message", from: "b", message: { kind, term, isGranted: true } }, 5000);
    vote("pre-vote-answer");
    vote("vote-answer");
    return { replica, machine, term };
}

test("guards against a log of large records that grows until a control VM ends for lack of memory", t => {
    const { compactAfterBytes, keepBytes } = defaultReplicaLimits;
    const persisted = { term: 1, votedFor: undefined, snapshot, records: [] };
    const state = new ReplicaState("a", persisted, new CountingMachine(), defaultReplicaLimits);
    for (let index = 1; index <= 400; index++) {
        state.append([makeLargeRecord(index)]);
        state.commitUpTo(index);
        const heldBytes = sizeOf(state.log.slice(state.log.base + 1));
        t.true(
            heldBytes <= compactAfterBytes + keepBytes + 2 * recordBytes,
            `${heldBytes} bytes after ${index} records`,
        );
        const storedBytes = state.takeEffects().reduce(
            (sum, effect) => effect.kind === "save-snapshot" ? sum + sizeOf(effect.records) : sum,
            0,
        );
        t.true(storedBytes <= keepBytes + recordBytes, `${storedBytes} bytes are stored with a snapshot`);
    }
});

test("guards against a log that keeps all records while a snapshot is sent to a member that is silent", t => {
    const persisted = { term: 1, votedFor: undefined, snapshot, records: [] };
    const limits = { ...defaultReplicaLimits, compactAfterBytes: 1024 * 1024, keepBytes: 512 * 1024 };
    const state = new ReplicaState("a", persisted, new CountingMachine(), limits);
    state.oldestSnapshotTransferIndex = 1;
    for (let index = 1; index <= 100; index++) {
        state.append([makeLargeRecord(index)]);
        state.commitUpTo(index);
    }
    t.true(sizeOf(state.log.slice(state.log.base + 1)) <= 10 * limits.compactAfterBytes);
    t.true(state.log.base > 1);
});

test("guards against large records that pile up for a member that does not acknowledge them", t => {
    const { replica, term } = makeLeader(makeRecords(1, 100));
    const { maxUnacknowledgedBytes, maxMessageBytes } = defaultReplicaLimits;
    const effects: ControlEffect[] = [];
    // Without the records, the member names the first one that it lacks; afterwards it is silent.
    const answer = { kind: "append-answer", term, isMatch: false, matchIndex: 0, round: 1, revision: 0 } as const;
    for (let repeat = 0; repeat < 3; repeat++) {
        effects.push(...replica.handle({ kind: "message", from: "b", message: answer }, 5000));
    }
    for (let requestId = 1; requestId <= 50; requestId++) {
        effects.push(...replica.handle({ kind: "read", requestId }, 5000));
        effects.push(...replica.tick(5000 + requestId * 20));
    }
    const sentBytes = listSentBytes(effects, "b");
    t.true(sentBytes >= recordBytes, "the records are sent");
    // Each answer starts anew.
    t.true(sentBytes <= 4 * (maxUnacknowledgedBytes + maxMessageBytes), `${sentBytes} bytes`);
});

test("guards against a leader that takes changes without bound while it cannot commit them", t => {
    const { replica } = makeLeader();
    const { maxUncommittedBytes } = defaultReplicaLimits;
    let acceptedBytes = 0;
    let refusedCount = 0;
    for (let requestId = 1; requestId <= 200; requestId++) {
        const { command } = makeLargeRecord(requestId);
        const effects = replica.handle({ kind: "propose", requestId, command }, 5000);
        const isRefused = effects.some(effect => effect.kind === "answer" && effect.answer.kind === "refused");
        refusedCount += isRefused ? 1 : 0;
        acceptedBytes += isRefused ? 0 : recordBytes;
    }
    t.true(refusedCount > 0, "none was refused");
    t.true(acceptedBytes <= maxUncommittedBytes + recordBytes, `${acceptedBytes} bytes`);
    const effects = replica.handle({ kind: "propose", requestId: 1000, command: { kind: "no-op" } }, 5000);
    t.false(effects.some(effect => effect.kind === "answer"), "what the group itself records is no change");
});

test("guards against a control VM that cannot load the log of large records that an earlier version has left", t => {
    const recordCount = 200;
    const folder = fs.mkdtempSync(path.join(os.tmpdir(), "figwharf-log-"));
    const store = new ControlStore(new FileDisk(folder));
    store.openIdentity(() => "a");
    store.saveSnapshot(snapshot, []);
    for (let index = 1; index <= recordCount; index++) {
        store.append([makeLargeRecord(index)]);
        store.sync();
    }
    store.close();
    // The decoded records would take more than this.
    const program = fileURLToPath(new URL("./testing/openLog.js", import.meta.url));
    const { status, stdout, stderr } = spawnSync(process.execPath, ["--max-old-space-size=40", program, folder]);
    fs.rmSync(folder, { recursive: true });
    t.is(status, 0, stderr.toString().slice(0, 500));
    t.is(stdout.toString(), String(recordCount));
});
