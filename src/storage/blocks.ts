import { crc32 } from "node:zlib";
import { StorageError } from "../core/errors.js";

const magic = Buffer.from("FWR1", "latin1");
const lengthOffset = 4;
const checksumOffset = 8;
const headerBytes = 12;

/** Payloads of the blocks of a file, without a torn tail. */
export interface DecodedBlocks {
    readonly payloads: readonly Buffer[];
    /** Length of the file without the torn tail. */
    readonly validBytes: number;
}

/** Encodes a payload as a block with its length and a checksum over both. */
export function encodeBlock(payload: Uint8Array): Buffer {
    const block = Buffer.allocUnsafe(headerBytes + payload.length);
    magic.copy(block, 0);
    block.writeUInt32BE(payload.length, lengthOffset);
    block.set(payload, headerBytes);
    block.writeUInt32BE(computeChecksum(block, 0, block.length), checksumOffset);
    return block;
}

/**
 * Decodes the blocks of a file. A damaged tail without a valid block after it is left out as a torn write.
 * Throws StorageError when a valid block follows a damaged one.
 */
export function decodeBlocks(file: string, bytes: Buffer): DecodedBlocks {
    const payloads: Buffer[] = [];
    let offset = 0;
    while (offset < bytes.length) {
        const endOffset = findBlockEnd(bytes, offset);
        if (endOffset === undefined) {
            throwIfValidBlockFollows(file, bytes, offset);
            break;
        }
        payloads.push(bytes.subarray(offset + headerBytes, endOffset));
        offset = endOffset;
    }
    return { payloads, validBytes: offset };
}

/** Decodes a file that consists of one block. Throws StorageError when it is damaged. */
export function decodeSingleBlock(file: string, bytes: Buffer): Buffer {
    if (findBlockEnd(bytes, 0) !== bytes.length) {
        throw new StorageError("storage-damaged", { file });
    }
    return bytes.subarray(headerBytes);
}

function findBlockEnd(bytes: Buffer, offset: number): number | undefined {
    if (bytes.length - offset < headerBytes || bytes.compare(magic, 0, magic.length, offset, offset + 4) !== 0) {
        return undefined;
    }
    const endOffset = offset + headerBytes + bytes.readUInt32BE(offset + lengthOffset);
    const isValid = endOffset <= bytes.length &&
        bytes.readUInt32BE(offset + checksumOffset) === computeChecksum(bytes, offset, endOffset);
    return isValid ? endOffset : undefined;
}

function computeChecksum(bytes: Buffer, offset: number, endOffset: number): number {
    const lengthCrc = crc32(bytes.subarray(offset + lengthOffset, offset + checksumOffset));
    return crc32(bytes.subarray(offset + headerBytes, endOffset), lengthCrc);
}

function throwIfValidBlockFollows(file: string, bytes: Buffer, damagedOffset: number): void {
    let offset = bytes.indexOf(magic, damagedOffset + 1);
    while (offset !== -1) {
        if (findBlockEnd(bytes, offset) !== undefined) {
            throw new StorageError("storage-corrupt", { file, offsetBytes: damagedOffset });
        }
        offset = bytes.indexOf(magic, offset + 1);
    }
}
