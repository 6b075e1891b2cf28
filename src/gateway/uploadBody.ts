import type { IncomingMessage } from "node:http";
import type { RequestBody } from "../entry/exchange.js";
import { isBodyTooLarge, statedLength, streamChunks } from "../entry/requestBody.js";

/** How far the body of an upload has come. */
export const UploadProgress = {
    /** No byte was taken from the caller. */
    untouched: "untouched",
    arriving: "arriving",
    complete: "complete",
    /** The caller sends more than it may. */
    tooLarge: "too-large",
    /** The body broke off, or nobody reads it any more. */
    broken: "broken",
} as const;

export type UploadProgress = typeof UploadProgress[keyof typeof UploadProgress];

/**
 * Body that goes to the upstream as it arrives. A byte is taken from the caller only when the upstream takes one, so an
 * upload holds no more than the buffers of its two connections.
 */
export class UploadBody implements RequestBody {
    readonly buffer = undefined;
    readonly content: RequestBody["content"];
    readonly lengthBytes: number | undefined;
    private current: UploadProgress = UploadProgress.untouched;

    /** `onWanted` is called when the first byte is wanted. */
    constructor(
        private readonly incoming: IncomingMessage,
        private readonly limitBytes: number,
        private readonly onWanted: () => void,
    ) {
        this.lengthBytes = statedLength(incoming);
        const content: AsyncIterable<Buffer> = { [Symbol.asyncIterator]: () => this.read() };
        // undici takes every iterable; its types name fewer.
        this.content = content as never;
    }

    get progress(): UploadProgress {
        return this.current;
    }

    /** Whether no upstream can get the whole body any more. */
    get isSpoiled(): boolean {
        return this.current === UploadProgress.tooLarge || this.current === UploadProgress.broken;
    }

    private async *read(): AsyncGenerator<Buffer> {
        this.current = UploadProgress.arriving;
        this.onWanted();
        try {
            yield* streamChunks(this.incoming, [], this.limitBytes);
            this.current = UploadProgress.complete;
        }
        catch (error) {
            this.current = isBodyTooLarge(error) ? UploadProgress.tooLarge : UploadProgress.broken;
            throw error;
        }
        finally {
            if (this.current === UploadProgress.arriving) {
                this.current = UploadProgress.broken;
            }
            if (this.isSpoiled) {
                // What still arrives is thrown away, so that the caller can read its answer.
                this.incoming.resume();
            }
        }
    }
}
