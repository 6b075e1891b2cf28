import { crc32 } from "node:zlib";
import { StorageError } from "../core/errors.js";

const magic = Buffer.from("FWR1", "latin1");
const lengthOffset = 4;
const checksumOffset = 8;
const headerBytes = 12;

/** Records of a file, up to the first torn one. */
export interface DecodedRecords {
    readonly payloads: readonly Buffer[];
    /** Length of the file without a torn tail. */
    readonly validBytes: number;
}

/** Encodes a record with its length and a checksum over length and payload. */
export function encodeRecord(payload: Uint8Array): Buffer {
    const record = Buffer.allocUnsafe(headerBytes + payload.length);
    magic.copy(record, 0);
    record.writeUInt32BE(payload.length, lengthOffset);
    record.set(payload, headerBytes);
    record.writeUInt32BE(checksum(record, 0, record.length), checksumOffset);
    return record;
}

/**
 * Decodes the records of a file. A damaged tail that no valid record follows was being written when the process ended.
 * Throws StorageError when a valid record follows a damaged one.
 */
export function decodeRecords(file: string, bytes: Buffer): DecodedRecords {
    const payloads: Buffer[] = [];
    let offset = 0;
    while (offset < bytes.length) {
        const end = findRecordEnd(bytes, offset);
        if (end === undefined) {
            refuseIfFollowed(file, bytes, offset);
            break;
        }
        payloads.push(bytes.subarray(offset + headerBytes, end));
        offset = end;
    }
    return { payloads, validBytes: offset };
}

/** Decodes a file that holds exactly one record. Throws StorageError when it is damaged. */
export function decodeSingleRecord(file: string, bytes: Buffer): Buffer {
    if (findRecordEnd(bytes, 0) !== bytes.length) {
        throw new StorageError("storage-damaged", { file });
    }
    return bytes.subarray(headerBytes);
}

function findRecordEnd(bytes: Buffer, offset: number): number | undefined {
    if (bytes.length - offset < headerBytes || bytes.compare(magic, 0, magic.length, offset, offset + 4) !== 0) {
        return undefined;
    }
    const end = offset + headerBytes + bytes.readUInt32BE(offset + lengthOffset);
    const isValid = end <= bytes.length &&
        bytes.readUInt32BE(offset + checksumOffset) === checksum(bytes, offset, end);
    return isValid ? end : undefined;
}

function checksum(bytes: Buffer, offset: number, end: number): number {
    const overLength = crc32(bytes.subarray(offset + lengthOffset, offset + checksumOffset));
    return crc32(bytes.subarray(offset + headerBytes, end), overLength);
}

function refuseIfFollowed(file: string, bytes: Buffer, damagedOffset: number): void {
    let offset = bytes.indexOf(magic, damagedOffset + 1);
    while (offset !== -1) {
        if (findRecordEnd(bytes, offset) !== undefined) {
            throw new StorageError("storage-corrupt", { file, offsetBytes: damagedOffset });
        }
        offset = bytes.indexOf(magic, offset + 1);
    }
}
