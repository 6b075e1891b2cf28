import { Packr } from "msgpackr";
import { ChannelError } from "../core/errors.js";

const lengthBytes = 4;

/** Maximum size of a message between two processes. */
export const maxFrameBytes = 16 * 1024 * 1024;

const packr = new Packr({ useRecords: false, encodeUndefinedAsNil: false });

/** Encodes a message as a length-prefixed frame. Throws ChannelError when it is too large. */
export function encodeFrame(message: unknown): Buffer {
    const body = packr.pack(message);
    if (body.length > maxFrameBytes) {
        throw new ChannelError("message-too-large", { sizeBytes: body.length, limitBytes: maxFrameBytes });
    }
    const frame = Buffer.allocUnsafe(lengthBytes + body.length);
    frame.writeUInt32BE(body.length, 0);
    body.copy(frame, lengthBytes);
    return frame;
}

/** Decodes length-prefixed frames from a byte stream. */
export class FrameDecoder {
    /** Received bytes of the first incomplete frame, not joined until it is complete. */
    private chunks: Buffer[] = [];
    private receivedBytes = 0;
    /** Bytes needed before the next step: those of the length, or of the whole frame. */
    private neededBytes = lengthBytes;

    constructor(private limitBytes = maxFrameBytes) {}

    /** Whether a part of a frame has arrived and the rest has not. */
    get hasPartialFrame(): boolean {
        return this.receivedBytes > 0;
    }

    /** Changes the limit; it is raised once the peer is authenticated. */
    setLimitBytes(limitBytes: number): void {
        this.limitBytes = limitBytes;
    }

    /** Appends a chunk and returns the messages now complete. Throws ChannelError when a frame is too large. */
    push(chunk: Buffer): unknown[] {
        this.chunks.push(chunk);
        this.receivedBytes += chunk.length;
        if (this.receivedBytes < this.neededBytes) {
            return [];
        }
        const messages: unknown[] = [];
        const bytes = this.chunks.length === 1 ? chunk : Buffer.concat(this.chunks);
        let offset = 0;
        this.neededBytes = lengthBytes;
        while (bytes.length - offset >= lengthBytes) {
            const sizeBytes = bytes.readUInt32BE(offset);
            if (sizeBytes > this.limitBytes) {
                throw new ChannelError("message-too-large", { sizeBytes, limitBytes: this.limitBytes });
            }
            const end = offset + lengthBytes + sizeBytes;
            if (bytes.length < end) {
                this.neededBytes = lengthBytes + sizeBytes;
                break;
            }
            messages.push(packr.unpack(bytes.subarray(offset + lengthBytes, end)));
            offset = end;
        }
        this.chunks = offset < bytes.length ? [bytes.subarray(offset)] : [];
        this.receivedBytes = bytes.length - offset;
        return messages;
    }
}
