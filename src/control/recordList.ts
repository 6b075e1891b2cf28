import type { LogRecord } from "./messages.js";

/** In-memory log: consecutive records after a base index, which is 0 or covered by a snapshot. */
export class RecordList {
    private records: LogRecord[] = [];
    private readonly sizes = new WeakMap<LogRecord, number>();

    constructor(private baseIndex = 0, private baseTerm = 0) {}

    /** Index before the first record. */
    get base(): number {
        return this.baseIndex;
    }

    get lastIndex(): number {
        return this.baseIndex + this.records.length;
    }

    get lastTerm(): number {
        return this.records.at(-1)?.term ?? this.baseTerm;
    }

    get length(): number {
        return this.records.length;
    }

    /** Returns the term of a record or of the base, or undefined when the index is outside the log. */
    termAt(index: number): number | undefined {
        return index === this.baseIndex ? this.baseTerm : this.find(index)?.term;
    }

    find(index: number): LogRecord | undefined {
        return this.records[index - this.baseIndex - 1];
    }

    /** Returns up to `limit` records from an index on. */
    slice(fromIndex: number, limit = Infinity): readonly LogRecord[] {
        const start = fromIndex - this.baseIndex - 1;
        return this.records.slice(start, start + limit);
    }

    /** Returns up to `limit` records from an index on, in total up to `maxBytes` unless the first one is larger. */
    sliceMessage(fromIndex: number, limit: number, maxBytes: number): readonly LogRecord[] {
        const records = this.slice(fromIndex, limit);
        let sizeBytes = 0;
        const endPosition = records.findIndex((record, position) => {
            sizeBytes += this.sizeOf(record);
            return position > 0 && sizeBytes > maxBytes;
        });
        return endPosition === -1 ? records : records.slice(0, endPosition);
    }

    /** Appends records, replacing existing ones from the first record's index on. */
    append(records: readonly LogRecord[]): void {
        if (records.length > 0) {
            this.records.length = records[0].index - this.baseIndex - 1;
            this.records.push(...records);
        }
    }

    /** Drops the records up to and including an index; does nothing when the index is outside the log. */
    dropUpTo(index: number): void {
        const term = this.termAt(index);
        if (term !== undefined && index > this.baseIndex) {
            this.records = this.records.slice(index - this.baseIndex);
            this.baseIndex = index;
            this.baseTerm = term;
        }
    }

    /** Drops all records; the log continues after the given index. */
    reset(baseIndex: number, baseTerm: number): void {
        this.records = [];
        this.baseIndex = baseIndex;
        this.baseTerm = baseTerm;
    }

    /** Returns whether a log with this last record has all committed records of this one (Raft's up-to-date check). */
    isUpToDate(lastIndex: number, lastTerm: number): boolean {
        return lastTerm > this.lastTerm || (lastTerm === this.lastTerm && lastIndex >= this.lastIndex);
    }

    private sizeOf(record: LogRecord): number {
        const sizeBytes = this.sizes.get(record) ?? Buffer.byteLength(JSON.stringify(record));
        this.sizes.set(record, sizeBytes);
        return sizeBytes;
    }
}
