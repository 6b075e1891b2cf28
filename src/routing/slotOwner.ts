import type { EntryId, ServiceName } from "../core/ids.js";
import type { RouteDecision } from "../requests/router.js";
import type { InstanceHealth } from "./instanceHealth.js";
import { SampleKind } from "./instanceHealth.js";
import { RateBucket } from "./rateBucket.js";
import type { AcquireParams, GrantParams, HeldParams, ReleaseParams } from "./slotMessages.js";
import { SlotTable, type SlotTableContext } from "./slotTable.js";
import { WaitQueue } from "./waitQueue.js";

/** A grant is released if its entry's `slot.held` does not list it after this time. */
const grantConfirmationTimeoutMs = 500;
/** Longest wait for `slot.held` of the peers after a takeover. */
const takeoverTimeoutMs = 2000;
/** Slot requests are queued for this long during a takeover; after that, their entries must route them locally. */
const takeoverQueueTimeoutMs = 50;
const queuedRefreshMs = 50;

/** State and functions that `SlotOwner` gets from its entry. */
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

/** Grants the slots of one service at the entry that owns it. */
export class SlotOwner {
    private readonly table: SlotTable;
    private readonly queue = new WaitQueue<SlotWaiter>();
    private readonly rate: RateBucket;
    /** Peers that must report their slots before the first grant. */
    private readonly unreportedPeers: Set<EntryId>;
    private readonly takenOverAtMs: number;
    private refreshedAtMs: number;

    constructor(private readonly context: SlotOwnerContext, nowMs: number) {
        this.table = new SlotTable(context);
        this.rate = new RateBucket(nowMs);
        this.takenOverAtMs = nowMs;
        this.refreshedAtMs = nowMs;
        this.unreportedPeers = new Set(context.livePeerIds(nowMs));
        this.unreportedPeers.forEach(id => context.sendSync(id, context.service().name));
    }

    get health(): InstanceHealth {
        return this.table.health;
    }

    /** Whether grants must wait until the peers have reported the slots they use. */
    get isTakingOver(): boolean {
        return this.unreportedPeers.size > 0;
    }

    /** Handles a slot request; after the answer `queued`, the decision follows by `sendGrant`. */
    acquire(entryId: EntryId, params: AcquireParams, nowMs: number): GrantParams {
        if (this.isTakingOver && nowMs - this.takenOverAtMs >= takeoverQueueTimeoutMs) {
            return createAnswer(params, { kind: "none" });
        }
        const refusal = this.refusalOf(params, nowMs);
        if (refusal !== undefined) {
            return createAnswer(params, refusal);
        }
        this.serveQueue(nowMs);
        const isGrantAllowed = this.queue.size === 0 && !this.isTakingOver;
        const decision = isGrantAllowed ? this.tryGrant(entryId, params, nowMs) : undefined;
        if (decision !== undefined) {
            return createAnswer(params, decision);
        }
        const waiter = { entryId, params, class: params.class, deadlineAtMs: nowMs + params.remainingMs };
        this.queue.add(keyOf(entryId, params.attemptId), waiter);
        return createAnswer(params, { kind: "queued" });
    }

    /** Releases a granted slot or cancels a queued request. */
    release(entryId: EntryId, params: ReleaseParams, nowMs: number): void {
        const key = keyOf(entryId, params.attemptId);
        if (!this.queue.remove(key)) {
            this.table.releaseGrant(key, params.kind, params.latencyMs, nowMs);
        }
        this.serveQueue(nowMs);
    }

    /** Reconciles the grants of an entry with the slots that it reports. */
    reconcile(entryId: EntryId, held: HeldParams, nowMs: number): void {
        const inUse = new Map(held.slots.map(slot => [keyOf(entryId, slot.attemptId), slot.upstreamId]));
        for (const [key, grant] of this.table.grants) {
            const isExpired = nowMs - grant.grantedAtMs > grantConfirmationTimeoutMs;
            if (grant.entryId === entryId && (inUse.has(key) ? inUse.get(key) !== grant.stats.id : isExpired)) {
                this.table.releaseGrant(key, SampleKind.unused, 0, nowMs);
            }
        }
        for (const [key, upstreamId] of inUse) {
            const upstream = this.context.listEligible(nowMs).find(row => row.announcement.id === upstreamId);
            if (!this.table.grants.has(key) && upstream !== undefined) {
                this.table.addGrant(key, { entryId, stats: this.health.getStats(upstream), grantedAtMs: nowMs });
            }
        }
        if (held.isOwnerAccepted) {
            this.unreportedPeers.delete(entryId);
        }
        this.serveQueue(nowMs);
    }

    tick(nowMs: number): void {
        this.health.checkOverdue(nowMs);
        this.endTakeover(nowMs);
        this.removeLostEntries(nowMs);
        if (nowMs - this.refreshedAtMs >= queuedRefreshMs) {
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
        const expectedWaitMs = this.table.expectedWaitMs(this.queue.size, nowMs);
        if (expectedWaitMs > params.remainingMs) {
            const detail = "the wait for a slot exceeds the deadline";
            return { kind: "refuse", reason: "deadline", detail, retryAfterMs: Math.ceil(expectedWaitMs) };
        }
        return undefined;
    }

    private serveQueue(nowMs: number): void {
        if (this.queue.size === 0 || this.isTakingOver) {
            return;
        }
        for (const [key, waiter] of this.queue.entries()) {
            if (!this.table.isGrantPossible(this.queue.size, nowMs)) {
                return;
            }
            const decision = nowMs >= waiter.deadlineAtMs
                ? deadlineRefusal
                : this.tryGrant(waiter.entryId, waiter.params, nowMs);
            if (decision !== undefined) {
                this.queue.remove(key);
                this.context.sendGrant(waiter.entryId, createAnswer(waiter.params, decision), nowMs);
            }
        }
    }

    private tryGrant(entryId: EntryId, params: AcquireParams, nowMs: number): RouteDecision | undefined {
        const picked = this.table.pick(params, this.queue.size, nowMs);
        if (picked === undefined) {
            return undefined;
        }
        const key = keyOf(entryId, params.attemptId);
        this.table.addGrant(key, { entryId, stats: picked.instance, grantedAtMs: nowMs });
        const { id, address, incarnation } = picked.upstream.announcement;
        return { kind: "upstream", upstreamId: id, address, incarnation };
    }

    private endTakeover(nowMs: number): void {
        if (!this.isTakingOver) {
            return;
        }
        const live = new Set(this.context.livePeerIds(nowMs));
        const isTimeoutReached = nowMs - this.takenOverAtMs >= takeoverTimeoutMs;
        for (const id of this.unreportedPeers) {
            if (isTimeoutReached || !live.has(id)) {
                this.unreportedPeers.delete(id);
            }
        }
        if (this.isTakingOver && nowMs - this.takenOverAtMs >= takeoverQueueTimeoutMs) {
            this.failOverWaiters(nowMs);
        }
    }

    private failOverWaiters(nowMs: number): void {
        for (const [key, waiter] of this.queue.entries()) {
            this.queue.remove(key);
            this.context.sendGrant(waiter.entryId, createAnswer(waiter.params, { kind: "none" }), nowMs);
        }
    }

    /** Releases the grants and removes the waiters of entries without a recent heartbeat. */
    private removeLostEntries(nowMs: number): void {
        const live = new Set(this.context.livePeerIds(nowMs));
        const isLost = (id: EntryId) => !live.has(id) && !this.context.isSelf(id);
        for (const [key, grant] of this.table.grants) {
            if (isLost(grant.entryId)) {
                this.table.releaseGrant(key, SampleKind.unused, 0, nowMs);
            }
        }
        for (const [key, waiter] of this.queue.entries()) {
            if (isLost(waiter.entryId)) {
                this.queue.remove(key);
            }
        }
    }

    /** Refuses expired waiters, repeats `queued` to the entries of the others and `slot.sync` to unreported peers. */
    private refreshWaiters(nowMs: number): void {
        const service = this.context.service().name;
        this.unreportedPeers.forEach(id => this.context.sendSync(id, service));
        const notified = new Set<EntryId>();
        for (const [key, waiter] of this.queue.entries()) {
            if (nowMs >= waiter.deadlineAtMs) {
                this.queue.remove(key);
                this.context.sendGrant(waiter.entryId, createAnswer(waiter.params, deadlineRefusal), nowMs);
            }
            else if (!notified.has(waiter.entryId)) {
                notified.add(waiter.entryId);
                this.context.sendGrant(waiter.entryId, createAnswer(waiter.params, { kind: "queued" }), nowMs);
            }
        }
    }
}

const deadlineRefusal: RouteDecision = {
    kind: "refuse",
    reason: "deadline",
    detail: "no slot became free before the deadline",
    retryAfterMs: 1000,
};

function createAnswer(params: AcquireParams, decision: GrantParams["decision"]): GrantParams {
    return { service: params.service, attemptId: params.attemptId, decision };
}

function keyOf(entryId: EntryId, attemptId: string): string {
    return `${entryId}\n${attemptId}`;
}
