import { Packr } from "msgpackr";
import { EncodedRecord } from "../control/encodedRecord.js";
import type { LogRecord, PersistedState, Snapshot } from "../control/messages.js";
import { StorageError } from "../core/errors.js";
import type { ControlVmId } from "../core/ids.js";
import { decodeBlocks, decodeSingleBlock, encodeBlock } from "./blocks.js";
import type { Disk } from "./disk.js";

const identityFile = "identity";
const voteFile = "vote";
const snapshotFile = "snapshot";
const logFile = "log";

const packr = new Packr({ useRecords: false });

interface SavedVote {
    readonly term: number;
    readonly votedFor: ControlVmId | undefined;
}

/** Persistent state of a control VM: identity, term and vote, snapshot, log. */
export class ControlStore {
    /** Records since the last sync, written as one checksummed block, so that a torn write loses all or none. */
    private unsyncedRecords: LogRecord[] = [];

    constructor(private readonly disk: Disk) {}

    /** Returns the stored identity. If there is none, resets the log and vote and stores a new one from `makeId`. */
    openIdentity(makeId: () => ControlVmId): ControlVmId {
        const bytes = this.disk.read(identityFile);
        if (bytes !== undefined) {
            return packr.unpack(decodeSingleBlock(identityFile, bytes)) as ControlVmId;
        }
        const id = makeId();
        this.disk.replace(logFile, Buffer.alloc(0));
        this.saveVote(0, undefined);
        // Written last, so that a disk with an identity also has the log and the vote.
        this.disk.replace(identityFile, encodeBlock(packr.pack(id)));
        return id;
    }

    /**
     * Loads the persisted state. Truncates a torn tail of the log, and empties a log that does not match the snapshot.
     * Throws StorageError when a file is missing or damaged.
     */
    load(): PersistedState {
        const vote = packr.unpack(decodeSingleBlock(voteFile, this.readRequired(voteFile))) as SavedVote;
        const snapshotBytes = this.disk.read(snapshotFile);
        const snapshot = snapshotBytes === undefined
            ? undefined
            : packr.unpack(decodeSingleBlock(snapshotFile, snapshotBytes)) as Snapshot;
        const storedRecords = this.loadRecords();
        const records = discardStaleLog(storedRecords, snapshot);
        if (records.length < storedRecords.length) {
            this.disk.replace(logFile, Buffer.alloc(0));
        }
        return { ...vote, snapshot, records };
    }

    /** Saves term and vote; durable on return. */
    saveVote(term: number, votedFor: ControlVmId | undefined): void {
        this.disk.replace(voteFile, encodeBlock(packr.pack({ term, votedFor } satisfies SavedVote)));
    }

    /**
     * Queues records; `sync` makes them durable. On load, each record replaces those written before it at its index and
     * above.
     */
    append(records: readonly LogRecord[]): void {
        this.unsyncedRecords.push(...records);
    }

    sync(): void {
        if (this.unsyncedRecords.length > 0) {
            this.disk.append(logFile, encodeBlock(packr.pack(this.unsyncedRecords)));
            this.unsyncedRecords = [];
            this.disk.sync(logFile);
        }
    }

    /** Replaces the snapshot and the log; durable on return. */
    saveSnapshot(snapshot: Snapshot, records: readonly LogRecord[]): void {
        this.unsyncedRecords = [];
        this.disk.replace(snapshotFile, encodeBlock(packr.pack(snapshot)));
        this.disk.replace(logFile, records.length === 0 ? Buffer.alloc(0) : encodeBlock(packr.pack(records)));
    }

    close(): void {
        this.disk.close();
    }

    private readRequired(name: string): Buffer {
        const bytes = this.disk.read(name);
        if (bytes === undefined) {
            throw new StorageError("storage-incomplete", { file: name });
        }
        return bytes;
    }

    private loadRecords(): LogRecord[] {
        const bytes = this.readRequired(logFile);
        const { payloads, validBytes } = decodeBlocks(logFile, bytes);
        if (validBytes < bytes.length) {
            this.disk.truncate(logFile, validBytes);
        }
        const records: LogRecord[] = [];
        for (const payload of payloads) {
            // The decoded records of a whole log may not fit into the memory.
            (packr.unpack(payload) as LogRecord[]).forEach(record => appendRecord(records, EncodedRecord.from(record)));
        }
        return records;
    }
}

/** Appends a record after removing those at its index and above. Throws StorageError when that leaves a gap. */
function appendRecord(records: LogRecord[], record: LogRecord): void {
    while (records.length > 0 && records[records.length - 1].index >= record.index) {
        records.pop();
    }
    const last = records.at(-1);
    if (last !== undefined && record.index !== last.index + 1) {
        throw new StorageError("storage-damaged", { file: logFile });
    }
    records.push(record);
}

/**
 * Returns all records, or none if they do not match the snapshot, as after a crash between writing a received snapshot
 * and the log. Throws StorageError when records between the snapshot and the log are missing.
 */
function discardStaleLog(records: readonly LogRecord[], snapshot: Snapshot | undefined): readonly LogRecord[] {
    const first = records.at(0);
    const snapshotIndex = snapshot?.index ?? 0;
    if (first === undefined || (first.index === snapshotIndex + 1)) {
        return records;
    }
    const recordAtSnapshot = records.find(record => record.index === snapshotIndex);
    if (first.index > snapshotIndex) {
        throw new StorageError("storage-damaged", { file: logFile });
    }
    return recordAtSnapshot?.term === snapshot?.term ? records : [];
}
