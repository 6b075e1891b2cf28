import PQueue from "p-queue";
import { type Service, ServiceClass } from "../catalogue/model.js";
import type { ServiceName } from "../core/ids.js";
import type { GeneratedAnswer } from "../requests/model.js";
import { refuse } from "./answers.js";
import type { EntryLimits } from "./options.js";

/** Weight of the newest sample in the mean time that requests of a service hold their place. */
const meanWeight = 0.05;
const minRetryAfterMs = 1000;
/** One service takes at most this share of the places, so that a flood of it leaves room for others. */
const maxServiceShare = 0.5;

const priorities: Record<ServiceClass, number> = {
    [ServiceClass.interactive]: 2,
    [ServiceClass.standard]: 1,
    [ServiceClass.batch]: 0,
};

/** A request that was let in; it counts until it is released. */
export interface Admitted {
    /** Waits for a place. Resolves with an answer when the request is refused instead. */
    waitForPlace(deadlineAtMs: number): Promise<GeneratedAnswer | undefined>;
    /** The request has ended. Further calls have no effect. */
    release(): void;
}

interface ServiceQueue {
    readonly queue: PQueue;
    meanHoldMs: number;
}

interface Waiting {
    readonly deadlineAtMs: number;
    readonly settle: (answer: GeneratedAnswer | undefined) => void;
}

/**
 * Bounds what one entry works on: requests in total, of one caller and of one service, and the places at which requests
 * run. Places are given by service class first, and in order of arrival within a class.
 */
export class Admission {
    private readonly places: PQueue;
    private readonly services = new Map<ServiceName, ServiceQueue>();
    private readonly countsByCaller = new Map<string, number>();
    private readonly waiting = new Set<Waiting>();
    private count = 0;

    constructor(private readonly limits: EntryLimits, private readonly nowMs: () => number) {
        this.places = new PQueue({ concurrency: limits.places });
    }

    /** Requests that were let in and have not ended. */
    get size(): number {
        return this.count;
    }

    /** Lets a request in, or returns the answer that refuses it. */
    admit(service: Service, callerId: string): Admitted | GeneratedAnswer {
        const callerKey = JSON.stringify([service.name, callerId]);
        const callerCount = this.countsByCaller.get(callerKey) ?? 0;
        const row = this.rowOf(service);
        if (this.count >= this.limits.requests) {
            return refuse(503, "entry-full", "The entry works on as many requests as it may.", minRetryAfterMs);
        }
        if (callerCount >= service.limits.maxPerCallerPerEntry) {
            return refuse(429, "caller-limit", "The caller has as many open requests as it may.", minRetryAfterMs);
        }
        if (row.queue.size >= service.limits.maxQueuedPerEntry) {
            return refuse(503, "queue-full", "The queue of the service is full.", this.waitMs(row));
        }
        this.count++;
        this.countsByCaller.set(callerKey, callerCount + 1);
        return this.createAdmitted(service, row, callerKey);
    }

    /** Refuses requests whose deadline has passed while they waited. */
    tick(nowMs: number): void {
        for (const waiting of this.waiting) {
            if (nowMs >= waiting.deadlineAtMs) {
                waiting.settle(refuse(503, "deadline", "The deadline passed in the queue.", minRetryAfterMs));
            }
        }
    }

    private createAdmitted(service: Service, row: ServiceQueue, callerKey: string): Admitted {
        let isReleased = false;
        let freePlace: (() => void) | undefined;
        return {
            waitForPlace: deadlineAtMs => {
                if (this.nowMs() + this.waitMs(row) >= deadlineAtMs) {
                    const detail = "The request cannot be answered before its deadline.";
                    return Promise.resolve(refuse(503, "deadline", detail, this.waitMs(row)));
                }
                return this.enqueue(service, row, deadlineAtMs, () => isReleased, free => freePlace = free);
            },
            release: () => {
                if (!isReleased) {
                    isReleased = true;
                    this.removeCount(callerKey);
                    freePlace?.();
                }
            },
        };
    }

    /** Resolves when the request has a place; `onPlace` gets the function that frees it. */
    private enqueue(
        service: Service,
        row: ServiceQueue,
        deadlineAtMs: number,
        isReleased: () => boolean,
        onPlace: (free: () => void) => void,
    ): Promise<GeneratedAnswer | undefined> {
        return new Promise(resolve => {
            const waiting: Waiting = {
                deadlineAtMs,
                settle: answer => {
                    this.waiting.delete(waiting);
                    resolve(answer);
                },
            };
            const hold = () =>
                new Promise<void>(free => {
                    if (isReleased() || !this.waiting.has(waiting)) {
                        waiting.settle(undefined);
                        free();
                        return;
                    }
                    const startedAtMs = this.nowMs();
                    onPlace(() => {
                        row.meanHoldMs += meanWeight * (this.nowMs() - startedAtMs - row.meanHoldMs);
                        free();
                    });
                    waiting.settle(undefined);
                });
            this.waiting.add(waiting);
            const priority = priorities[service.class];
            void row.queue.add(() => this.places.add(hold, { priority }));
        });
    }

    /** Expected time in the queue of a service. */
    private waitMs(row: ServiceQueue): number {
        return row.queue.size / row.queue.concurrency * row.meanHoldMs;
    }

    private rowOf(service: Service): ServiceQueue {
        const share = Math.max(1, Math.floor(this.limits.places * maxServiceShare));
        const concurrency = Math.max(1, Math.min(service.limits.maxInFlight, share));
        let row = this.services.get(service.name);
        if (row === undefined) {
            row = { queue: new PQueue({ concurrency }), meanHoldMs: 0 };
            this.services.set(service.name, row);
        }
        else if (row.queue.concurrency !== concurrency) {
            row.queue.concurrency = concurrency;
        }
        return row;
    }

    private removeCount(callerKey: string): void {
        this.count--;
        const remaining = (this.countsByCaller.get(callerKey) ?? 1) - 1;
        if (remaining === 0) {
            this.countsByCaller.delete(callerKey);
        }
        else {
            this.countsByCaller.set(callerKey, remaining);
        }
    }
}
