import type { IncomingMessage } from "node:http";
import type { RequestBody } from "./exchange.js";
import { parseNonNegativeInteger } from "./headers.js";
import type { EntryLimits } from "./options.js";
import { StreamedBody } from "./streamedBody.js";

/** Result of reading a request body. */
export type BodyResult =
    | { readonly kind: "body"; readonly body: RequestBody; }
    | { readonly kind: "too-large"; }
    | { readonly kind: "too-slow"; }
    | { readonly kind: "gone"; };

const noBody: BodyResult = { kind: "body", body: { buffer: Buffer.alloc(0), content: null, lengthBytes: 0 } };

/** Returns the length in bytes from Content-Length, 0 without a body; undefined for a chunked body. */
export function parseBodyLength(incoming: IncomingMessage): number | undefined {
    if (incoming.headers["transfer-encoding"] !== undefined) {
        return undefined;
    }
    return parseNonNegativeInteger(incoming.headers["content-length"]) ?? 0;
}

/** Reads a body into memory up to the limit; a larger body is returned as a stream. */
export async function readBody(
    incoming: IncomingMessage,
    limits: EntryLimits,
): Promise<BodyResult> {
    const lengthBytes = parseBodyLength(incoming);
    if (lengthBytes === 0) {
        return noBody;
    }
    if (lengthBytes !== undefined && lengthBytes > limits.bodyBytes) {
        return { kind: "too-large" };
    }
    if (lengthBytes !== undefined && lengthBytes > limits.bufferedBodyBytes) {
        return streamedBody(incoming, [], lengthBytes, limits);
    }
    return bufferBody(incoming, lengthBytes, limits);
}

function bufferBody(
    incoming: IncomingMessage,
    lengthBytes: number | undefined,
    limits: EntryLimits,
): Promise<BodyResult> {
    return new Promise(resolve => {
        const chunks: Buffer[] = [];
        let sizeBytes = 0;
        const settle = (result: BodyResult) => {
            clearTimeout(timer);
            incoming.off("data", onData).off("end", onEnd).off("close", onClose).off("error", onClose);
            resolve(result);
        };
        const onData = (chunk: Buffer) => {
            chunks.push(chunk);
            sizeBytes += chunk.length;
            if (sizeBytes > limits.bufferedBodyBytes) {
                incoming.pause();
                settle(streamedBody(incoming, chunks, lengthBytes, limits));
            }
        };
        const onEnd = () => {
            const buffer = Buffer.concat(chunks);
            settle({ kind: "body", body: { buffer, content: buffer, lengthBytes: buffer.length } });
        };
        const onClose = () => settle({ kind: "gone" });
        const timer = setTimeout(() => settle({ kind: "too-slow" }), limits.bodyTimeoutMs);
        incoming.on("data", onData).on("end", onEnd).on("close", onClose).on("error", onClose);
    });
}

function streamedBody(
    incoming: IncomingMessage,
    prefix: Buffer[],
    lengthBytes: number | undefined,
    limits: EntryLimits,
): BodyResult {
    return { kind: "body", body: new StreamedBody(incoming, prefix, lengthBytes, limits.bodyBytes) };
}
