/** Tracks the bytes of request and response bodies in memory, across all requests. */
export class BufferBudget {
    private heldBytes = 0;

    constructor(private readonly limitBytes: number) {}

    get usedBytes(): number {
        return this.heldBytes;
    }

    /** Whether `sizeBytes` more stay within the limit. */
    canHold(sizeBytes: number): boolean {
        return this.heldBytes + sizeBytes <= this.limitBytes;
    }

    add(sizeBytes: number): void {
        this.heldBytes += sizeBytes;
    }

    release(sizeBytes: number): void {
        this.heldBytes -= sizeBytes;
    }
}
