import type { IncomingMessage } from "node:http";
import type { RequestBody } from "../entry/exchange.js";
import { isBodyTooLarge, parseBodyLength, streamChunks } from "../entry/requestBody.js";

/** Progress of an upload's body. */
export const UploadProgress = {
    /** Nothing was read from the caller yet. */
    untouched: "untouched",
    arriving: "arriving",
    complete: "complete",
    /** The body exceeds the size limit. */
    tooLarge: "too-large",
    /** The body was cut off or its reader stopped early. */
    broken: "broken",
} as const;

export type UploadProgress = typeof UploadProgress[keyof typeof UploadProgress];

/**
 * Body that is streamed to the upstream as it arrives. Backpressure from the upstream stops reading from the caller, so
 * an upload uses no more memory than the buffers of its two connections.
 */
export class UploadBody implements RequestBody {
    readonly buffer = undefined;
    readonly content: RequestBody["content"];
    readonly lengthBytes: number | undefined;
    private currentProgress: UploadProgress = UploadProgress.untouched;

    /** `onFirstRead` is called when the upstream connection starts to read the body. */
    constructor(
        private readonly incoming: IncomingMessage,
        private readonly limitBytes: number,
        private readonly onFirstRead: () => void,
    ) {
        this.lengthBytes = parseBodyLength(incoming);
        const content: AsyncIterable<Buffer> = { [Symbol.asyncIterator]: () => this.read() };
        // undici accepts any iterable, but its types do not.
        this.content = content as never;
    }

    get progress(): UploadProgress {
        return this.currentProgress;
    }

    /** Whether the complete body can no longer be sent to any upstream. */
    get isUnusable(): boolean {
        return this.currentProgress === UploadProgress.tooLarge || this.currentProgress === UploadProgress.broken;
    }

    private async *read(): AsyncGenerator<Buffer> {
        this.currentProgress = UploadProgress.arriving;
        this.onFirstRead();
        try {
            yield* streamChunks(this.incoming, [], this.limitBytes);
            this.currentProgress = UploadProgress.complete;
        }
        catch (error) {
            this.currentProgress = isBodyTooLarge(error) ? UploadProgress.tooLarge : UploadProgress.broken;
            throw error;
        }
        finally {
            if (this.currentProgress === UploadProgress.arriving) {
                this.currentProgress = UploadProgress.broken;
            }
            if (this.isUnusable) {
                // Discards the rest of the body, so that the caller can read its response.
                this.incoming.resume();
            }
        }
    }
}
