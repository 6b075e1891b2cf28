import type { IncomingMessage } from "node:http";
import { FigwharfError } from "../core/errors.js";
import { BodyIdentity } from "./bodyIdentity.js";
import type { RequestBody } from "./exchange.js";

/** Body that is streamed to the upstream as it arrives; only its start may be buffered. */
export class StreamedBody implements RequestBody {
    readonly buffer = undefined;
    readonly content: RequestBody["content"];
    readonly identity: BodyIdentity;
    private hasEnded = false;

    /** `prefix` was read from the caller already. */
    constructor(
        protected readonly incoming: IncomingMessage,
        private readonly prefix: Buffer[],
        readonly lengthBytes: number | undefined,
        private readonly limitBytes: number,
    ) {
        this.identity = new BodyIdentity(lengthBytes);
        prefix.forEach(chunk => this.identity.update(chunk));
        const content: AsyncIterable<Buffer> = { [Symbol.asyncIterator]: () => this.read() };
        // undici accepts any iterable, but its types do not.
        this.content = content as never;
    }

    /**
     * Reads the start of the body, or all of a shorter one, so that its identity is known before it is sent. Resolves with
     * false if the caller has disconnected.
     */
    identify(): Promise<boolean> {
        if (this.identity.value !== undefined) {
            return Promise.resolve(true);
        }
        const { incoming } = this;
        return new Promise(resolve => {
            const settle = (isComplete: boolean) => {
                incoming.off("data", onData).off("end", onEnd).off("close", onClose).off("error", onClose);
                resolve(isComplete);
            };
            const onData = (chunk: Buffer) => {
                this.prefix.push(chunk);
                this.identity.update(chunk);
                if (this.identity.value !== undefined) {
                    incoming.pause();
                    settle(true);
                }
            };
            const onEnd = () => {
                this.hasEnded = true;
                this.identity.end();
                settle(true);
            };
            const onClose = () => settle(false);
            incoming.on("data", onData).on("end", onEnd).on("close", onClose).on("error", onClose);
        });
    }

    /** Discards the rest of the body, so that the caller can read its response, and completes the identity meanwhile. */
    discard(): void {
        if (!this.hasEnded) {
            this.incoming.on("data", (chunk: Buffer) => this.identity.update(chunk));
            this.incoming.once("end", () => this.identity.end());
            this.incoming.resume();
        }
    }

    /** Yields the body. Throws FigwharfError `body-too-large` above the limit. */
    protected async *read(): AsyncGenerator<Buffer> {
        const { prefix, limitBytes } = this;
        let sizeBytes = 0;
        const count = (chunk: Buffer) => {
            sizeBytes += chunk.length;
            if (sizeBytes > limitBytes) {
                throw new FigwharfError("body-too-large", { limitBytes });
            }
            return chunk;
        };
        for (const chunk of prefix) {
            yield count(chunk);
        }
        if (!this.hasEnded) {
            // Keeps the connection open when the attempt ends early, so that the caller receives its answer.
            for await (const chunk of this.incoming.iterator({ destroyOnReturn: false }) as AsyncIterable<Buffer>) {
                this.identity.update(chunk);
                yield count(chunk);
            }
        }
        this.identity.end();
    }
}

/** Whether an error of a streamed body means that it exceeds its limit. */
export function isBodyTooLarge(error: unknown): boolean {
    return error instanceof FigwharfError && error.code === "body-too-large";
}
