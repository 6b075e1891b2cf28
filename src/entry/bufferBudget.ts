/** Counts the bytes of request and response bodies that are held in memory, over all requests. */
export class BufferBudget {
    private heldBytes = 0;

    constructor(private readonly limitBytes: number) {}

    get usedBytes(): number {
        return this.heldBytes;
    }

    /** Whether this many more bytes fit. */
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
