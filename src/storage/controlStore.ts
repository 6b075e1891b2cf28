import { Packr } from "msgpackr";
import type { LogRecord, PersistedState, Snapshot } from "../control/messages.js";
import { StorageError } from "../core/errors.js";
import type { VoterId } from "../core/ids.js";
import type { Disk } from "./disk.js";
import { decodeRecords, decodeSingleRecord, encodeRecord } from "./records.js";

const identityFile = "identity";
const voteFile = "vote";
const snapshotFile = "snapshot";
const logFile = "log";

const packr = new Packr({ useRecords: false });

interface SavedVote {
    readonly term: number;
    readonly votedFor: VoterId | undefined;
}

/** Files of a control VM: identity, term and vote, snapshot, log. */
export class ControlStore {
    /** Records since the last sync; written as one checksummed record, so that a torn write loses all or none. */
    private unwritten: LogRecord[] = [];

    constructor(private readonly disk: Disk) {}

    /** Returns the identity on the disk; an empty disk gets a new one. */
    openIdentity(makeId: () => VoterId): VoterId {
        const bytes = this.disk.read(identityFile);
        if (bytes !== undefined) {
            return packr.unpack(decodeSingleRecord(identityFile, bytes)) as VoterId;
        }
        const id = makeId();
        this.disk.replace(logFile, Buffer.alloc(0));
        this.saveVote(0, undefined);
        // Written last: a disk with an identity has all other files.
        this.disk.replace(identityFile, encodeRecord(packr.pack(id)));
        return id;
    }

    /** Reads the saved state and cuts off a torn tail of the log. Throws StorageError when a file is damaged. */
    load(): PersistedState {
        const vote = packr.unpack(decodeSingleRecord(voteFile, this.require(voteFile))) as SavedVote;
        const snapshotBytes = this.disk.read(snapshotFile);
        const snapshot = snapshotBytes === undefined
            ? undefined
            : packr.unpack(decodeSingleRecord(snapshotFile, snapshotBytes)) as Snapshot;
        const found = this.loadRecords();
        const records = selectRecords(found, snapshot);
        if (records.length < found.length) {
            this.disk.replace(logFile, Buffer.alloc(0));
        }
        return { ...vote, snapshot, records };
    }

    /** Durable on return. */
    saveVote(term: number, votedFor: VoterId | undefined): void {
        this.disk.replace(voteFile, encodeRecord(packr.pack({ term, votedFor } satisfies SavedVote)));
    }

    /** Adds records that replace all from the first one's index on; durable after `sync`. */
    append(records: readonly LogRecord[]): void {
        this.unwritten.push(...records);
    }

    sync(): void {
        if (this.unwritten.length > 0) {
            this.disk.append(logFile, encodeRecord(packr.pack(this.unwritten)));
            this.unwritten = [];
            this.disk.sync(logFile);
        }
    }

    /** Replaces the snapshot and the log; durable on return. */
    saveSnapshot(snapshot: Snapshot, records: readonly LogRecord[]): void {
        this.unwritten = [];
        this.disk.replace(snapshotFile, encodeRecord(packr.pack(snapshot)));
        this.disk.replace(logFile, records.length === 0 ? Buffer.alloc(0) : encodeRecord(packr.pack(records)));
    }

    close(): void {
        this.disk.close();
    }

    private require(name: string): Buffer {
        const bytes = this.disk.read(name);
        if (bytes === undefined) {
            throw new StorageError("storage-incomplete", { file: name });
        }
        return bytes;
    }

    private loadRecords(): LogRecord[] {
        const bytes = this.require(logFile);
        const { payloads, validBytes } = decodeRecords(logFile, bytes);
        if (validBytes < bytes.length) {
            this.disk.truncate(logFile, validBytes);
        }
        const records: LogRecord[] = [];
        payloads.flatMap(payload => packr.unpack(payload) as LogRecord[]).forEach(row => appendRecord(records, row));
        return records;
    }
}

/** A record replaces the ones from its index on. */
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

/** A crash between writing a received snapshot and the log leaves records that do not continue the snapshot. */
function selectRecords(records: readonly LogRecord[], snapshot: Snapshot | undefined): readonly LogRecord[] {
    const first = records.at(0);
    const snapshotIndex = snapshot?.index ?? 0;
    if (first === undefined || (first.index === snapshotIndex + 1)) {
        return records;
    }
    const atSnapshot = records.find(record => record.index === snapshotIndex);
    if (first.index > snapshotIndex) {
        throw new StorageError("storage-damaged", { file: logFile });
    }
    return atSnapshot?.term === snapshot?.term ? records : [];
}
