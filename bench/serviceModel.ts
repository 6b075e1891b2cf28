import type { RandomSource } from "../src/core/random.js";

/** Handle of a queued or running request. */
export interface WorkHandle {
    /** Removes the request from the queue, or stops it and frees its slot. */
    cancel(): void;
}

interface Work {
    readonly begin: () => boolean;
    readonly finish: (workMs: number) => void;
    readonly fixedDurationMs: number | undefined;
    timer: NodeJS.Timeout | undefined;
    enqueuedAtMs: number;
    isEnded: boolean;
}

/** Simulates the slots of an upstream with a FIFO queue and random service times. */
export class ServiceModel {
    /** Multiplies service times. */
    slowFactor = 1;
    private readonly queue: Work[] = [];
    private running = 0;

    constructor(
        private readonly slots: number,
        private readonly meanServiceMs: number,
        private readonly random: RandomSource,
        private readonly maxQueued: number,
    ) {}

    get inFlight(): number {
        return this.running + this.queue.length;
    }

    get isFull(): boolean {
        return this.queue.length >= this.maxQueued;
    }

    /**
     * Queues a request. `begin` runs when it gets a slot and returns true to end it immediately; `finish` receives the
     * time since it was queued.
     */
    run(begin: () => boolean, finish: (workMs: number) => void): WorkHandle {
        return this.add({
            begin,
            finish,
            fixedDurationMs: undefined,
            timer: undefined,
            enqueuedAtMs: performance.now(),
            isEnded: false,
        });
    }

    /** Queues work that occupies a slot for a fixed time, e.g. a probe. */
    occupy(durationMs: number, finish: () => void): void {
        const enqueuedAtMs = performance.now();
        this.add({
            begin: () => false,
            finish,
            fixedDurationMs: durationMs,
            timer: undefined,
            enqueuedAtMs,
            isEnded: false,
        });
    }

    private add(work: Work): WorkHandle {
        this.queue.push(work);
        this.startNext();
        return { cancel: () => this.cancel(work) };
    }

    private cancel(work: Work): void {
        if (work.isEnded) {
            return;
        }
        work.isEnded = true;
        const index = this.queue.indexOf(work);
        if (index >= 0) {
            this.queue.splice(index, 1);
            return;
        }
        clearTimeout(work.timer);
        this.running--;
        this.startNext();
    }

    private startNext(): void {
        while (this.running < this.slots && this.queue.length > 0) {
            const work = this.queue.shift() as Work;
            this.running++;
            const durationMs = work.begin() ? 0 : work.fixedDurationMs ?? this.drawServiceMs();
            work.timer = setTimeout(() => this.end(work), durationMs);
        }
    }

    private end(work: Work): void {
        work.isEnded = true;
        this.running--;
        work.finish(performance.now() - work.enqueuedAtMs);
        this.startNext();
    }

    /** Half of the mean is fixed; the other half is the mean of an exponential distribution. */
    private drawServiceMs(): number {
        const halfMeanMs = this.meanServiceMs / 2;
        return this.slowFactor * (halfMeanMs - halfMeanMs * Math.log(1 - this.random.nextUnit()));
    }
}
