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
    private pending: Buffer = Buffer.alloc(0);

    constructor(private limitBytes = maxFrameBytes) {}

    /** Changes the limit; it is raised once the peer is authenticated. */
    setLimitBytes(limitBytes: number): void {
        this.limitBytes = limitBytes;
    }

    /** Appends a chunk and returns the messages now complete. Throws ChannelError when a frame is too large. */
    push(chunk: Buffer): unknown[] {
        this.pending = this.pending.length === 0 ? chunk : Buffer.concat([this.pending, chunk]);
        const messages: unknown[] = [];
        let offset = 0;
        while (this.pending.length - offset >= lengthBytes) {
            const sizeBytes = this.pending.readUInt32BE(offset);
            if (sizeBytes > this.limitBytes) {
                throw new ChannelError("message-too-large", { sizeBytes, limitBytes: this.limitBytes });
            }
            const end = offset + lengthBytes + sizeBytes;
            if (this.pending.length < end) {
                break;
            }
            messages.push(packr.unpack(this.pending.subarray(offset + lengthBytes, end)));
            offset = end;
        }
        this.pending = this.pending.subarray(offset);
        return messages;
    }
}
