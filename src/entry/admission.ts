import PQueue from "p-queue";
import { type Service, ServiceClass } from "../catalogue/model.js";
import type { ServiceName } from "../core/ids.js";
import type { GeneratedAnswer } from "../requests/model.js";
import { refuse } from "./answers.js";
import type { EntryLimits } from "./options.js";

/** Weight of the newest sample in the moving average of the time for which a request occupies a place. */
const newSampleWeight = 0.05;
const defaultRetryAfterMs = 1000;
/** Maximum share of the places for one service, so that a flood of its requests cannot starve other services. */
const maxServiceShare = 0.5;

const priorities: Record<ServiceClass, number> = {
    [ServiceClass.interactive]: 2,
    [ServiceClass.standard]: 1,
    [ServiceClass.batch]: 0,
};

/** An admitted request. It counts towards the limits until it is released, and needs a place to be in flight. */
export interface AdmittedRequest {
    /**
     * Waits for a place. Resolves with an answer if the request is refused, or with undefined once it has a place or if
     * it was released while queued.
     */
    waitForPlace(deadlineAtMs: number): Promise<GeneratedAnswer | undefined>;
    /** Ends the request and frees its place. Further calls have no effect. */
    release(): void;
}

interface ServiceQueue {
    readonly queue: PQueue;
    meanHoldMs: number;
}

interface QueuedRequest {
    readonly deadlineAtMs: number;
    readonly settle: (answer: GeneratedAnswer | undefined) => void;
}

/**
 * Admission control of one entry. Limits admitted requests in total, and per service and caller; queued requests per
 * service; and requests in flight in total (the places) and per service. Places are granted by service class, and in
 * order of arrival within a service.
 */
export class Admission {
    private readonly places: PQueue;
    private readonly services = new Map<ServiceName, ServiceQueue>();
    private readonly countsByCaller = new Map<string, number>();
    private readonly queuedRequests = new Set<QueuedRequest>();
    private count = 0;

    constructor(private readonly limits: EntryLimits, private readonly nowMs: () => number) {
        this.places = new PQueue({ concurrency: limits.places });
    }

    /** Admitted requests that have not ended. */
    get size(): number {
        return this.count;
    }

    /** Admits a request, or returns the answer that refuses it. */
    admit(service: Service, callerId: string): AdmittedRequest | GeneratedAnswer {
        const callerKey = JSON.stringify([service.name, callerId]);
        const callerCount = this.countsByCaller.get(callerKey) ?? 0;
        const serviceQueue = this.getServiceQueue(service);
        if (this.count >= this.limits.requests) {
            return refuse(503, "entry-full", "The entry works on as many requests as it may.", defaultRetryAfterMs);
        }
        if (callerCount >= service.limits.maxPerCallerPerEntry) {
            return refuse(429, "caller-limit", "The caller has as many open requests as it may.", defaultRetryAfterMs);
        }
        if (serviceQueue.queue.size >= service.limits.maxQueuedPerEntry) {
            return refuse(503, "queue-full", "The queue of the service is full.", this.expectedWaitMs(serviceQueue));
        }
        this.count++;
        this.countsByCaller.set(callerKey, callerCount + 1);
        return this.createAdmittedRequest(service, serviceQueue, callerKey);
    }

    /** Refuses queued requests whose deadline has passed. */
    tick(nowMs: number): void {
        for (const queuedRequest of this.queuedRequests) {
            if (nowMs >= queuedRequest.deadlineAtMs) {
                queuedRequest.settle(refuse(503, "deadline", "The deadline passed in the queue.", defaultRetryAfterMs));
            }
        }
    }

    private createAdmittedRequest(service: Service, serviceQueue: ServiceQueue, callerKey: string): AdmittedRequest {
        let isReleased = false;
        let freePlace: (() => void) | undefined;
        return {
            waitForPlace: deadlineAtMs => {
                if (this.nowMs() + this.expectedWaitMs(serviceQueue) >= deadlineAtMs) {
                    const detail = "The request cannot be answered before its deadline.";
                    return Promise.resolve(refuse(503, "deadline", detail, this.expectedWaitMs(serviceQueue)));
                }
                return this.enqueue(service, serviceQueue, deadlineAtMs, () => isReleased, free => freePlace = free);
            },
            release: () => {
                if (!isReleased) {
                    isReleased = true;
                    this.decrementCounts(callerKey);
                    freePlace?.();
                }
            },
        };
    }

    /** Implements `waitForPlace`; `onPlace` receives the function that frees the place. */
    private enqueue(
        service: Service,
        serviceQueue: ServiceQueue,
        deadlineAtMs: number,
        isReleased: () => boolean,
        onPlace: (free: () => void) => void,
    ): Promise<GeneratedAnswer | undefined> {
        return new Promise(resolve => {
            const queuedRequest: QueuedRequest = {
                deadlineAtMs,
                settle: answer => {
                    this.queuedRequests.delete(queuedRequest);
                    resolve(answer);
                },
            };
            const occupyPlace = () =>
                new Promise<void>(free => {
                    // The request was released or refused while it was queued.
                    if (isReleased() || !this.queuedRequests.has(queuedRequest)) {
                        queuedRequest.settle(undefined);
                        free();
                        return;
                    }
                    const startedAtMs = this.nowMs();
                    onPlace(() => {
                        serviceQueue.meanHoldMs += newSampleWeight *
                            (this.nowMs() - startedAtMs - serviceQueue.meanHoldMs);
                        free();
                    });
                    queuedRequest.settle(undefined);
                });
            this.queuedRequests.add(queuedRequest);
            const priority = priorities[service.class];
            void serviceQueue.queue.add(() => this.places.add(occupyPlace, { priority }));
        });
    }

    /** Returns the expected time in the queue of a service. */
    private expectedWaitMs(serviceQueue: ServiceQueue): number {
        return serviceQueue.queue.size / serviceQueue.queue.concurrency * serviceQueue.meanHoldMs;
    }

    private getServiceQueue(service: Service): ServiceQueue {
        const share = Math.max(1, Math.floor(this.limits.places * maxServiceShare));
        const concurrency = Math.max(1, Math.min(service.limits.maxInFlight, share));
        let serviceQueue = this.services.get(service.name);
        if (serviceQueue === undefined) {
            serviceQueue = { queue: new PQueue({ concurrency }), meanHoldMs: 0 };
            this.services.set(service.name, serviceQueue);
        }
        else if (serviceQueue.queue.concurrency !== concurrency) {
            serviceQueue.queue.concurrency = concurrency;
        }
        return serviceQueue;
    }

    private decrementCounts(callerKey: string): void {
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
