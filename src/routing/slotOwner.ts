import type { EntryId, ServiceName } from "../core/ids.js";
import type { RouteDecision } from "../requests/router.js";
import type { InstanceHealth } from "./instanceHealth.js";
import { SampleKind } from "./instanceHealth.js";
import { RateBucket } from "./rateBucket.js";
import type { AcquireParams, GrantParams, HeldParams, ReleaseParams } from "./slotMessages.js";
import { SlotTable, type SlotTableContext } from "./slotTable.js";
import { WaitQueue } from "./waitQueue.js";

/** Time within which a grant must show up in its entry's `slot.held`. */
const unconfirmedGrantMs = 500;
/** Longest wait for the reports of peers after a takeover. */
const takeoverMs = 2000;
/** Requests wait this long for the end of a takeover; after that their entries choose by themselves. */
const takeoverQueueMs = 50;
const queueRefreshMs = 50;

/** What the owner of a service needs from its entry. */
export interface SlotOwnerContext extends SlotTableContext {
    readonly livePeerIds: (nowMs: number) => readonly EntryId[];
    readonly isSelf: (id: EntryId) => boolean;
    readonly sendGrant: (to: EntryId, grant: GrantParams, nowMs: number) => void;
    readonly sendSync: (to: EntryId, service: ServiceName) => void;
}

interface SlotWaiter {
    readonly entryId: EntryId;
    readonly params: AcquireParams;
    readonly class: AcquireParams["class"];
    readonly deadlineAtMs: number;
}

/** Grants the slots of one service; exists at the entry that owns the service. */
export class SlotOwner {
    private readonly table: SlotTable;
    private readonly queue = new WaitQueue<SlotWaiter>();
    private readonly rate: RateBucket;
    /** Peers whose slots must be known before the first grant. */
    private readonly unheard: Set<EntryId>;
    private readonly takenOverAtMs: number;
    private refreshedAtMs: number;

    constructor(private readonly context: SlotOwnerContext, nowMs: number) {
        this.table = new SlotTable(context);
        this.rate = new RateBucket(nowMs);
        this.takenOverAtMs = nowMs;
        this.refreshedAtMs = nowMs;
        this.unheard = new Set(context.livePeerIds(nowMs));
        this.unheard.forEach(id => context.sendSync(id, context.service().name));
    }

    get health(): InstanceHealth {
        return this.table.health;
    }

    /** Whether grants must wait until the peers have reported the slots they use. */
    get isTakingOver(): boolean {
        return this.unheard.size > 0;
    }

    /** Handles a request for a slot; the answer may be that a decision follows. */
    acquire(entryId: EntryId, params: AcquireParams, nowMs: number): GrantParams {
        if (this.isTakingOver && nowMs - this.takenOverAtMs >= takeoverQueueMs) {
            return answer(params, { kind: "none" });
        }
        const refusal = this.refusalOf(params, nowMs);
        if (refusal !== undefined) {
            return answer(params, refusal);
        }
        this.serveQueue(nowMs);
        const isFirst = this.queue.size === 0 && !this.isTakingOver;
        const decision = isFirst ? this.tryGrant(entryId, params, nowMs) : undefined;
        if (decision !== undefined) {
            return answer(params, decision);
        }
        const waiter = { entryId, params, class: params.class, deadlineAtMs: nowMs + params.remainingMs };
        this.queue.add(keyOf(entryId, params.attemptId), waiter);
        return answer(params, { kind: "queued" });
    }

    /** An entry gives a slot back, or no longer waits for one. */
    release(entryId: EntryId, params: ReleaseParams, nowMs: number): void {
        const key = keyOf(entryId, params.attemptId);
        if (!this.queue.remove(key)) {
            this.table.end(key, params.kind, params.latencyMs, nowMs);
        }
        this.serveQueue(nowMs);
    }

    /** Compares the table with the slots that an entry really uses. */
    reconcile(entryId: EntryId, held: HeldParams, nowMs: number): void {
        const inUse = new Map(held.slots.map(slot => [keyOf(entryId, slot.attemptId), slot.upstreamId]));
        for (const [key, grant] of this.table.grants) {
            const isOld = nowMs - grant.grantedAtMs > unconfirmedGrantMs;
            if (grant.entryId === entryId && (inUse.has(key) ? inUse.get(key) !== grant.row.id : isOld)) {
                this.table.end(key, SampleKind.unused, 0, nowMs);
            }
        }
        for (const [key, upstreamId] of inUse) {
            const upstream = this.context.eligible(nowMs).find(row => row.announcement.id === upstreamId);
            if (!this.table.grants.has(key) && upstream !== undefined) {
                this.table.add(key, { entryId, row: this.health.rowOf(upstream), grantedAtMs: nowMs });
            }
        }
        if (held.isOwnerAccepted) {
            this.unheard.delete(entryId);
        }
        this.serveQueue(nowMs);
    }

    tick(nowMs: number): void {
        this.health.checkOverdue(nowMs);
        this.endTakeover(nowMs);
        this.dropLostEntries(nowMs);
        if (nowMs - this.refreshedAtMs >= queueRefreshMs) {
            this.refreshedAtMs = nowMs;
            this.refreshWaiters(nowMs);
        }
        this.serveQueue(nowMs);
    }

    private refusalOf(params: AcquireParams, nowMs: number): RouteDecision | undefined {
        const { limits } = this.context.service();
        const waitMs = params.isRetry ? 0 : this.rate.take(limits.requestsPerSecond, nowMs);
        if (waitMs > 0) {
            return { kind: "refuse", reason: "limit", detail: "requests per second", retryAfterMs: Math.ceil(waitMs) };
        }
        const queueMs = this.table.queueMs(this.queue.size, nowMs);
        if (queueMs > params.remainingMs) {
            const detail = "the wait for a slot exceeds the deadline";
            return { kind: "refuse", reason: "deadline", detail, retryAfterMs: Math.ceil(queueMs) };
        }
        return undefined;
    }

    private serveQueue(nowMs: number): void {
        if (this.queue.size === 0 || this.isTakingOver) {
            return;
        }
        for (const [key, waiter] of this.queue.entries()) {
            if (!this.table.hasRoom(this.queue.size, nowMs)) {
                return;
            }
            const decision = nowMs >= waiter.deadlineAtMs
                ? deadlinePassed
                : this.tryGrant(waiter.entryId, waiter.params, nowMs);
            if (decision !== undefined) {
                this.queue.remove(key);
                this.context.sendGrant(waiter.entryId, answer(waiter.params, decision), nowMs);
            }
        }
    }

    private tryGrant(entryId: EntryId, params: AcquireParams, nowMs: number): RouteDecision | undefined {
        const picked = this.table.pick(params, this.queue.size, nowMs);
        if (picked === undefined) {
            return undefined;
        }
        const key = keyOf(entryId, params.attemptId);
        this.table.add(key, { entryId, row: picked.instance, grantedAtMs: nowMs });
        const { id, address, incarnation } = picked.upstream.announcement;
        return { kind: "upstream", upstreamId: id, address, incarnation };
    }

    private endTakeover(nowMs: number): void {
        if (!this.isTakingOver) {
            return;
        }
        const live = new Set(this.context.livePeerIds(nowMs));
        const isOver = nowMs - this.takenOverAtMs >= takeoverMs;
        for (const id of this.unheard) {
            if (isOver || !live.has(id)) {
                this.unheard.delete(id);
            }
        }
        if (this.isTakingOver && nowMs - this.takenOverAtMs >= takeoverQueueMs) {
            this.sendWaitersBack(nowMs);
        }
    }

    private sendWaitersBack(nowMs: number): void {
        for (const [key, waiter] of this.queue.entries()) {
            this.queue.remove(key);
            this.context.sendGrant(waiter.entryId, answer(waiter.params, { kind: "none" }), nowMs);
        }
    }

    /** Frees the grants and removes the waiters of entries without a recent heartbeat. */
    private dropLostEntries(nowMs: number): void {
        const live = new Set(this.context.livePeerIds(nowMs));
        const isLost = (id: EntryId) => !live.has(id) && !this.context.isSelf(id);
        for (const [key, grant] of this.table.grants) {
            if (isLost(grant.entryId)) {
                this.table.end(key, SampleKind.unused, 0, nowMs);
            }
        }
        for (const [key, waiter] of this.queue.entries()) {
            if (isLost(waiter.entryId)) {
                this.queue.remove(key);
            }
        }
    }

    /** Shows the entries that wait, and those whose report is missing, that the owner is alive. */
    private refreshWaiters(nowMs: number): void {
        const service = this.context.service().name;
        this.unheard.forEach(id => this.context.sendSync(id, service));
        const told = new Set<EntryId>();
        for (const [key, waiter] of this.queue.entries()) {
            if (nowMs >= waiter.deadlineAtMs) {
                this.queue.remove(key);
                this.context.sendGrant(waiter.entryId, answer(waiter.params, deadlinePassed), nowMs);
            }
            else if (!told.has(waiter.entryId)) {
                told.add(waiter.entryId);
                this.context.sendGrant(waiter.entryId, answer(waiter.params, { kind: "queued" }), nowMs);
            }
        }
    }
}

const deadlinePassed: RouteDecision = {
    kind: "refuse",
    reason: "deadline",
    detail: "no slot became free before the deadline",
    retryAfterMs: 1000,
};

function answer(params: AcquireParams, decision: GrantParams["decision"]): GrantParams {
    return { service: params.service, attemptId: params.attemptId, decision };
}

function keyOf(entryId: EntryId, attemptId: string): string {
    return `${entryId}\n${attemptId}`;
}
