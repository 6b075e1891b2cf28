import { EncodedRecord } from "./encodedRecord.js";
import type { LogRecord } from "./messages.js";

/** In-memory log: consecutive records after a base index, which is 0 or covered by a snapshot. */
export class RecordList {
    private records: EncodedRecord[] = [];
    /** For each record, the size of the records up to and including it; the sizes before it may be of dropped records. */
    private endOffsets: number[] = [];
    private startOffset = 0;

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

    /** Size of all records in bytes. */
    get sizeBytes(): number {
        return this.offsetAfter(this.lastIndex) - this.startOffset;
    }

    /** Returns the term of a record or of the base, or undefined when the index is outside the log. */
    termAt(index: number): number | undefined {
        return index === this.baseIndex ? this.baseTerm : this.records[index - this.baseIndex - 1]?.term;
    }

    find(index: number): LogRecord | undefined {
        return this.records[index - this.baseIndex - 1]?.decode();
    }

    /** Returns the records from an index on. */
    slice(fromIndex: number): readonly LogRecord[] {
        return this.records.slice(fromIndex - this.baseIndex - 1).map(record => record.decode());
    }

    /** Returns up to `limit` records from an index on, in total up to `maxBytes` unless the first one is larger. */
    sliceMessage(fromIndex: number, limit: number, maxBytes: number): readonly LogRecord[] {
        const start = fromIndex - this.baseIndex - 1;
        const endOffset = this.offsetAfter(fromIndex - 1) + maxBytes;
        let end = start;
        while (
            end < start + limit && end < this.records.length && (end === start || this.endOffsets[end] <= endOffset)
        ) {
            end++;
        }
        return this.records.slice(start, end).map(record => record.decode());
    }

    /** Returns the size of the records after an index, up to and including another one. */
    sizeBetween(afterIndex: number, lastIndex: number): number {
        return this.offsetAfter(lastIndex) - this.offsetAfter(afterIndex);
    }

    /** Returns the lowest index after which there are, up to `lastIndex`, at most so many records and bytes. */
    findTailStart(lastIndex: number, maxRecords: number, maxBytes: number): number {
        let index = Math.max(this.baseIndex, lastIndex - maxRecords);
        while (index < lastIndex && this.sizeBetween(index, lastIndex) > maxBytes) {
            index++;
        }
        return index;
    }

    /** Appends records, replacing existing ones from the first record's index on. */
    append(records: readonly LogRecord[]): void {
        if (records.length === 0) {
            return;
        }
        const keptCount = records[0].index - this.baseIndex - 1;
        this.records.length = keptCount;
        this.endOffsets.length = keptCount;
        for (const record of records) {
            const encoded = EncodedRecord.from(record);
            this.endOffsets.push(this.offsetAfter(this.lastIndex) + encoded.sizeBytes);
            this.records.push(encoded);
        }
    }

    /** Drops the records up to and including an index; does nothing when the index is outside the log. */
    dropUpTo(index: number): void {
        const term = this.termAt(index);
        if (term !== undefined && index > this.baseIndex) {
            this.startOffset = this.offsetAfter(index);
            this.records = this.records.slice(index - this.baseIndex);
            this.endOffsets = this.endOffsets.slice(index - this.baseIndex);
            this.baseIndex = index;
            this.baseTerm = term;
        }
    }

    /** Drops all records; the log continues after the given index. */
    reset(baseIndex: number, baseTerm: number): void {
        this.records = [];
        this.endOffsets = [];
        this.startOffset = 0;
        this.baseIndex = baseIndex;
        this.baseTerm = baseTerm;
    }

    /** Returns whether a log with this last record has all committed records of this one (Raft's up-to-date check). */
    isUpToDate(lastIndex: number, lastTerm: number): boolean {
        return lastTerm > this.lastTerm || (lastTerm === this.lastTerm && lastIndex >= this.lastIndex);
    }

    /** Returns the end offset of a record; an index outside the log counts as the base or the last record. */
    private offsetAfter(index: number): number {
        const position = Math.min(index - this.baseIndex, this.records.length) - 1;
        return position < 0 ? this.startOffset : this.endOffsets[position];
    }
}
