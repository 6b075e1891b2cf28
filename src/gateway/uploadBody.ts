import type { IncomingMessage } from "node:http";
import { parseBodyLength } from "../entry/requestBody.js";
import { isBodyTooLarge, StreamedBody } from "../entry/streamedBody.js";

/** Progress of an upload's body. */
export const UploadProgress = {
    /** Nothing was sent to an upstream yet. */
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
 * an upload uses no more memory than the buffers of its two connections, and its start if that has to be recognized.
 */
export class UploadBody extends StreamedBody {
    private currentProgress: UploadProgress = UploadProgress.untouched;
    private isFirstRead = true;

    /** `onFirstRead` is called before the body is read for the first time. */
    constructor(incoming: IncomingMessage, limitBytes: number, private readonly onFirstRead: () => void) {
        super(incoming, [], parseBodyLength(incoming), limitBytes);
    }

    get progress(): UploadProgress {
        return this.currentProgress;
    }

    /** Whether the complete body can no longer be sent to any upstream. */
    get isUnusable(): boolean {
        return this.currentProgress === UploadProgress.tooLarge || this.currentProgress === UploadProgress.broken;
    }

    override identify(): Promise<boolean> {
        this.beginReading();
        return super.identify();
    }

    protected override async *read(): AsyncGenerator<Buffer> {
        this.currentProgress = UploadProgress.arriving;
        this.beginReading();
        try {
            yield* super.read();
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
                this.discard();
            }
        }
    }

    private beginReading(): void {
        if (this.isFirstRead) {
            this.isFirstRead = false;
            this.onFirstRead();
        }
    }
}
