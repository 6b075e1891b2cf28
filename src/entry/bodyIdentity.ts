import { createHash } from "node:crypto";

/** Bodies are told apart by their length and a digest of this many bytes at their start. */
export const identifiedBytes = 256 * 1024;

/** Recognizes a body that is not buffered, from the bytes that pass by. */
export class BodyIdentity {
    private readonly hash = createHash("sha256");
    private hashedBytes = 0;
    private knownValue: string | undefined;
    private resolveKnown: (value: string) => void = () => undefined;
    /** Resolves once the identity is known, which may be never. */
    readonly whenKnown = new Promise<string>(resolve => this.resolveKnown = resolve);

    /** `lengthBytes` is undefined if the length is not known in advance. */
    constructor(private readonly lengthBytes: number | undefined) {}

    /** Undefined until the start of the body, or all of it, has passed. */
    get value(): string | undefined {
        return this.knownValue;
    }

    /** Takes the next part of the body. */
    update(chunk: Buffer): void {
        if (this.knownValue !== undefined) {
            return;
        }
        const counted = chunk.subarray(0, identifiedBytes - this.hashedBytes);
        this.hash.update(counted);
        this.hashedBytes += counted.length;
        if (this.hashedBytes === identifiedBytes) {
            this.setKnown(this.lengthBytes);
        }
    }

    /** Called when the body has ended. */
    end(): void {
        if (this.knownValue === undefined) {
            this.setKnown(this.hashedBytes);
        }
    }

    private setKnown(lengthBytes: number | undefined): void {
        this.knownValue = `${lengthBytes ?? "unknown"}:${this.hash.digest("base64")}`;
        this.resolveKnown(this.knownValue);
    }
}
