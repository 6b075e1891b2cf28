import type { LogRecord } from "./messages.js";

/** The log in memory: consecutive records after a base, which is covered by a snapshot or is the empty log. */
export class RecordList {
    private records: LogRecord[] = [];
    private readonly sizes = new WeakMap<LogRecord, number>();

    constructor(private baseIndex = 0, private baseTerm = 0) {}

    /** Index before the first record held. */
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

    /** Returns the term of a record, or undefined when the record is not held. */
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

    /** Returns the records from an index on that fit one message: at most `limit`, and after the first one `maxBytes`. */
    sliceMessage(fromIndex: number, limit: number, maxBytes: number): readonly LogRecord[] {
        const records = this.slice(fromIndex, limit);
        let sizeBytes = 0;
        const end = records.findIndex((record, position) => {
            sizeBytes += this.sizeOf(record);
            return position > 0 && sizeBytes > maxBytes;
        });
        return end === -1 ? records : records.slice(0, end);
    }

    /** Adds records; those held from the first one's index on are dropped. */
    append(records: readonly LogRecord[]): void {
        if (records.length > 0) {
            this.records.length = records[0].index - this.baseIndex - 1;
            this.records.push(...records);
        }
    }

    /** Drops the records up to an index that is held. */
    dropUpTo(index: number): void {
        const term = this.termAt(index);
        if (term !== undefined && index > this.baseIndex) {
            this.records = this.records.slice(index - this.baseIndex);
            this.baseIndex = index;
            this.baseTerm = term;
        }
    }

    /** Drops all records; the log continues after the given one. */
    reset(baseIndex: number, baseTerm: number): void {
        this.records = [];
        this.baseIndex = baseIndex;
        this.baseTerm = baseTerm;
    }

    /** Returns whether a log with this last record holds all that this one may have made durable. */
    isCoveredBy(lastIndex: number, lastTerm: number): boolean {
        return lastTerm > this.lastTerm || (lastTerm === this.lastTerm && lastIndex >= this.lastIndex);
    }

    private sizeOf(record: LogRecord): number {
        const sizeBytes = this.sizes.get(record) ?? Buffer.byteLength(JSON.stringify(record));
        this.sizes.set(record, sizeBytes);
        return sizeBytes;
    }
}
