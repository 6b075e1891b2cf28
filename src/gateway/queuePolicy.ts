import { CapacityOutcome } from "../overload/demand.js";
import { type PendingRequest, SheddingOrder } from "../overload/sheddingOrder.js";
import { isQueueTooLong, sortWaiting, type WaitingRequest } from "./placement.js";

const msPerSecond = 1000;

/** Decides in which order the waiting requests of a service are placed, and which are refused before their wait ends. */
export abstract class QueuePolicy {
    /** Returns the requests in the order in which they are placed. */
    abstract sort<Waiting extends WaitingRequest>(waiting: readonly Waiting[], nowMs: number): readonly Waiting[];
    /**
     * Returns whether a new request is refused immediately, and then records that; `placedPerSecond` is the recent rate
     * of placements.
     */
    abstract isRefused(
        request: WaitingRequest,
        waiting: Iterable<WaitingRequest>,
        placedPerSecond: number,
        nowMs: number,
    ): boolean;
    /** Selects waiting requests that are refused now. */
    abstract selectRefused<Waiting extends WaitingRequest>(
        waiting: readonly Waiting[],
        placedPerSecond: number,
        nowMs: number,
    ): readonly Waiting[];
    /** Records that a waiting request was placed or refused for lack of capacity. */
    abstract record(request: WaitingRequest, isPlaced: boolean, nowMs: number): void;
}

/** Orders by priority and end of the wait; refuses only new requests behind a queue that is too long. */
export class PriorityQueuePolicy extends QueuePolicy {
    sort<Waiting extends WaitingRequest>(waiting: readonly Waiting[], nowMs: number): readonly Waiting[] {
        return sortWaiting(waiting, nowMs);
    }

    isRefused(
        request: WaitingRequest,
        waiting: Iterable<WaitingRequest>,
        placedPerSecond: number,
        nowMs: number,
    ): boolean {
        const aheadCount = countAhead(request, waiting);
        return isQueueTooLong(aheadCount, placedPerSecond, request.waitUntilMs - nowMs);
    }

    selectRefused<Waiting extends WaitingRequest>(
        _waiting: readonly Waiting[],
        _placedPerSecond: number,
        _nowMs: number,
    ): readonly Waiting[] {
        return [];
    }

    record(_request: WaitingRequest, _isPlaced: boolean, _nowMs: number): void {
        // The order depends on the waiting requests only.
    }
}

/** Connects the queue of a service with the other decisions of its entry. */
export interface QueueObserver {
    /** Returns whether the entries of the zone know that the service is short of capacity. */
    isZoneShort(): boolean;
    /** Returns whether a new request is among those that are admitted in the zone. */
    isAdmitted(request: PendingRequest): boolean;
    /** A request was placed, or refused for lack of capacity. */
    onEnd(request: PendingRequest, outcome: CapacityOutcome): void;
    /** Capacity has become insufficient. */
    onShortage(): void;
    /** A request is refused before its wait ends. */
    onShed(request: PendingRequest): void;
}

/** While capacity is insufficient, orders and refuses by the worth that is lost; otherwise like its base. */
export class WorthQueuePolicy extends PriorityQueuePolicy {
    private readonly order = new SheddingOrder();

    constructor(private readonly observer: QueueObserver) {
        super();
    }

    override sort<Waiting extends WaitingRequest>(waiting: readonly Waiting[], nowMs: number): readonly Waiting[] {
        if (!this.order.isShort(nowMs)) {
            return super.sort(waiting, nowMs);
        }
        const requests = new Map(waiting.map(request => [toPending(request), request]));
        return this.order.sort([...requests.keys()], nowMs).flatMap(pending => requests.get(pending) ?? []);
    }

    override isRefused(
        request: WaitingRequest,
        waiting: Iterable<WaitingRequest>,
        placedPerSecond: number,
        nowMs: number,
    ): boolean {
        const pending = toPending(request);
        const isShort = this.order.isShort(nowMs);
        if ((isShort || this.observer.isZoneShort()) && this.order.isDispensable(pending, nowMs)) {
            // No demand that more capacity could serve in time, so it is not counted as such.
            this.order.record(pending, false, nowMs);
            this.observer.onShed(pending);
            return true;
        }
        if (!this.observer.isAdmitted(pending)) {
            this.order.record(pending, false, nowMs);
            this.observer.onEnd(pending, CapacityOutcome.notAdmitted);
            this.observer.onShed(pending);
            return true;
        }
        const isRefused = isShort
            ? this.selectRefused([...waiting, request], placedPerSecond, nowMs).includes(request)
            : super.isRefused(request, waiting, placedPerSecond, nowMs);
        if (isRefused) {
            this.record(request, false, nowMs);
        }
        return isRefused;
    }

    override selectRefused<Waiting extends WaitingRequest>(
        waiting: readonly Waiting[],
        placedPerSecond: number,
        nowMs: number,
    ): readonly Waiting[] {
        if (waiting.length === 0 || !this.order.isShort(nowMs)) {
            return [];
        }
        const requests = new Map(waiting.map(request => [toPending(request), request]));
        const meanWorkMs = waiting.reduce((sum, { baselineMs }) => sum + baselineMs, 0) / waiting.length;
        const capacityPerMs = placedPerSecond * meanWorkMs / msPerSecond;
        const refused = this.order.selectRejected([...requests.keys()], capacityPerMs, nowMs);
        return refused.flatMap(pending => {
            this.observer.onShed(pending);
            return requests.get(pending) ?? [];
        });
    }

    override record(request: WaitingRequest, isPlaced: boolean, nowMs: number): void {
        const wasShort = this.order.isShort(nowMs);
        this.order.record(toPending(request), isPlaced, nowMs);
        this.observer.onEnd(toPending(request), isPlaced ? CapacityOutcome.placed : CapacityOutcome.unplaced);
        if (!isPlaced && !wasShort) {
            this.observer.onShortage();
        }
    }
}

/** Counts the requests that are placed before a new one. */
export function countAhead(request: WaitingRequest, waiting: Iterable<WaitingRequest>): number {
    return [...waiting].filter(other => other.priority <= request.priority).length;
}

function toPending(request: WaitingRequest): PendingRequest {
    const { kind = "", organisation, priority, targetAtMs, waitUntilMs, baselineMs, wasRejected = false } = request;
    return { kind, organisation, priority, targetAtMs, waitUntilMs, workMs: baselineMs, wasRejected };
}
