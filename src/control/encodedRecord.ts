import { Packr } from "msgpackr";
import type { Command, LogRecord } from "./messages.js";

const packr = new Packr({ useRecords: false });

/** A record that keeps its command encoded, since the decoded command takes several times as much memory. */
export class EncodedRecord implements LogRecord {
    private constructor(readonly index: number, readonly term: number, private readonly encodedCommand: Uint8Array) {}

    /** Encodes a record; returns one that is encoded already as it is. */
    static from(record: LogRecord): EncodedRecord {
        const { index, term } = record;
        // The encoder returns a part of a larger buffer, which would stay in memory as a whole.
        return record instanceof EncodedRecord
            ? record
            : new EncodedRecord(index, term, Buffer.from(packr.pack(record.command)));
    }

    get sizeBytes(): number {
        return this.encodedCommand.length;
    }

    /** Decodes the command at each access. */
    get command(): Command {
        return packr.unpack(this.encodedCommand) as Command;
    }

    /** Returns the record as a plain object, which can be stored and sent. */
    decode(): LogRecord {
        return { index: this.index, term: this.term, command: this.command };
    }
}
