/** Binary heap of simulated events, ordered by time; events of the same time run in the order of scheduling. */
export class EventQueue {
    private readonly heap: { readonly atMs: number; readonly sequence: number; readonly run: () => void; }[] = [];
    private sequence = 0;
    nowMs = 0;

    schedule(atMs: number, run: () => void): void {
        const item = { atMs, sequence: this.sequence++, run };
        let index = this.heap.push(item) - 1;
        while (index > 0 && isBefore(item, this.heap[(index - 1) >> 1])) {
            this.heap[index] = this.heap[(index - 1) >> 1];
            index = (index - 1) >> 1;
        }
        this.heap[index] = item;
    }

    /** Runs all events up to and including `endMs`, also those that are scheduled meanwhile. */
    runUntil(endMs: number): void {
        while (this.heap.length > 0 && this.heap[0].atMs <= endMs) {
            const next = this.popFirst();
            this.nowMs = next.atMs;
            next.run();
        }
    }

    private popFirst() {
        const first = this.heap[0];
        const last = this.heap.pop()!;
        if (this.heap.length > 0) {
            this.siftDown(last);
        }
        return first;
    }

    private siftDown(item: EventQueue["heap"][number]): void {
        let index = 0;
        for (let child = 1; child < this.heap.length; child = 2 * index + 1) {
            if (child + 1 < this.heap.length && isBefore(this.heap[child + 1], this.heap[child])) {
                child++;
            }
            if (!isBefore(this.heap[child], item)) {
                break;
            }
            this.heap[index] = this.heap[child];
            index = child;
        }
        this.heap[index] = item;
    }
}

function isBefore(
    a: { readonly atMs: number; readonly sequence: number; },
    b: { readonly atMs: number; readonly sequence: number; },
): boolean {
    return a.atMs < b.atMs || a.atMs === b.atMs && a.sequence < b.sequence;
}
