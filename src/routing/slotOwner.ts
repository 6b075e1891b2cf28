import type { Service } from "../catalogue/model.js";
import type { EntryId, ServiceName } from "../core/ids.js";
import type { RandomSource } from "../core/random.js";
import type { UpstreamRow } from "../membership/view.js";
import type { RouteDecision } from "../requests/router.js";
import { InstanceHealth, SampleKind } from "./instanceHealth.js";
import { EjectionCause, type InstanceRow } from "./instanceRow.js";
import { effectiveSlots } from "./ramp.js";
import { RateBucket } from "./rateBucket.js";
import { type Candidate, pickLowest } from "./routingPolicy.js";
import {
    type AcquireParams,
    type AheadGrant,
    type GrantParams,
    type HeldParams,
    type ReleaseParams,
} from "./slotMessages.js";
import { WaitQueue } from "./waitQueue.js";

/** Time within which a grant must show up in its entry's `slot.held`. */
const unconfirmedGrantMs = 500;
/** Longest wait for the reports of peers after a takeover. */
const takeoverMs = 2000;
const queueRefreshMs = 50;
const overheadSmoothing = 0.05;
/**
 * A request travels as far from the entry to the upstream and back as its grant and release travel to the owner. Twice
 * that keeps slots busy when service times scatter.
 */
const extraPerOverhead = 4;
/** An instance that has refused work gets no more than its slots for this long. */
const shedMemoryMs = 1000;

/** What the owner of a service needs from its entry. */
export interface SlotOwnerContext {
    readonly random: RandomSource;
    readonly service: () => Service;
    readonly eligible: (nowMs: number) => readonly UpstreamRow[];
    readonly livePeerIds: (nowMs: number) => readonly EntryId[];
    readonly isSelf: (id: EntryId) => boolean;
    readonly sendGrant: (to: EntryId, grant: GrantParams, nowMs: number) => void;
    readonly sendSync: (to: EntryId, service: ServiceName) => void;
}

interface Grant {
    readonly entryId: EntryId;
    readonly row: InstanceRow;
    readonly grantedAtMs: number;
    readonly isAhead: boolean;
}

interface SlotWaiter {
    readonly entryId: EntryId;
    readonly params: AcquireParams;
    readonly class: AcquireParams["class"];
    readonly deadlineAtMs: number;
}

/** Table of the slots of one service; exists at the entry that owns the service. */
export class SlotOwner {
    readonly health = new InstanceHealth();
    private readonly grants = new Map<string, Grant>();
    private readonly queue = new WaitQueue<SlotWaiter>();
    private readonly rate: RateBucket;
    /** Peers whose slots must be known before the first grant. */
    private readonly unheard: Set<EntryId>;
    private readonly takenOverAtMs: number;
    private refreshedAtMs: number;
    private aheadCount = 0;
    /** Smoothed time for which a grant outlasts its attempt, on the way from and to the owner. */
    private overheadMs = 0;

    constructor(private readonly context: SlotOwnerContext, nowMs: number) {
        this.rate = new RateBucket(nowMs);
        this.takenOverAtMs = nowMs;
        this.refreshedAtMs = nowMs;
        this.unheard = new Set(context.livePeerIds(nowMs));
        this.unheard.forEach(id => context.sendSync(id, context.service().name));
    }

    /** Grants in use and ahead, over all entries. */
    get inFlight(): number {
        return this.grants.size;
    }

    /** Whether grants must wait until the peers have reported the slots they use. */
    get isTakingOver(): boolean {
        return this.unheard.size > 0;
    }

    /** Handles a request for a slot; the answer may be that a decision follows. */
    acquire(entryId: EntryId, params: AcquireParams, nowMs: number): GrantParams {
        if (params.usesAhead !== undefined) {
            return this.bindAhead(entryId, params, nowMs);
        }
        if (this.isTakingOver) {
            return this.answer(params, { kind: "none" });
        }
        const refusal = this.refusalOf(params, nowMs);
        if (refusal !== undefined) {
            return this.answer(params, refusal);
        }
        this.serveQueue(nowMs);
        const decision = this.queue.size === 0 ? this.tryGrant(entryId, params, nowMs) : undefined;
        if (decision !== undefined) {
            return { ...this.answer(params, decision), ahead: this.tryAhead(entryId, params, nowMs) };
        }
        const waiter = { entryId, params, class: params.class, deadlineAtMs: nowMs + params.remainingMs };
        this.queue.add(keyOf(entryId, params.attemptId), waiter);
        return this.answer(params, { kind: "queued" });
    }

    /** An entry gives a slot back, or no longer waits for one. */
    release(entryId: EntryId, params: ReleaseParams, nowMs: number): void {
        const key = keyOf(entryId, params.attemptId);
        if (!this.queue.remove(key)) {
            this.endGrant(key, params.kind, params.latencyMs, nowMs);
        }
        this.serveQueue(nowMs);
    }

    /** Compares the table with the slots that an entry really uses. */
    reconcile(entryId: EntryId, held: HeldParams, nowMs: number): void {
        const inUse = new Map(held.slots.map(slot => [keyOf(entryId, slot.attemptId), slot.upstreamId]));
        for (const [key, grant] of this.grants) {
            const isOld = nowMs - grant.grantedAtMs > unconfirmedGrantMs;
            if (grant.entryId === entryId && (inUse.has(key) ? inUse.get(key) !== grant.row.id : isOld)) {
                this.endGrant(key, SampleKind.unused, 0, nowMs);
            }
        }
        for (const [key, upstreamId] of inUse) {
            const upstream = this.context.eligible(nowMs).find(row => row.announcement.id === upstreamId);
            if (!this.grants.has(key) && upstream !== undefined) {
                this.addGrant(key, { entryId, row: this.health.rowOf(upstream), grantedAtMs: nowMs, isAhead: false });
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
        const queueMs = this.queueMs(nowMs);
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
            if (!this.hasRoom(nowMs)) {
                return;
            }
            const decision = nowMs >= waiter.deadlineAtMs
                ? deadlinePassed
                : this.tryGrant(waiter.entryId, waiter.params, nowMs);
            if (decision !== undefined) {
                this.queue.remove(key);
                this.context.sendGrant(waiter.entryId, this.answer(waiter.params, decision), nowMs);
            }
        }
    }

    private hasRoom(nowMs: number): boolean {
        return this.grants.size < this.context.service().limits.maxInFlight &&
            this.freeCandidates([], nowMs).length > 0;
    }

    private tryGrant(entryId: EntryId, params: AcquireParams, nowMs: number): RouteDecision | undefined {
        const picked = this.pick(params, nowMs);
        if (picked === undefined) {
            return undefined;
        }
        const key = keyOf(entryId, params.attemptId);
        this.addGrant(key, { entryId, row: picked.instance, grantedAtMs: nowMs, isAhead: false });
        const { id, address, incarnation } = picked.upstream.announcement;
        return { kind: "upstream", upstreamId: id, address, incarnation };
    }

    private pick(params: AcquireParams, nowMs: number): Candidate | undefined {
        this.health.checkOverdue(nowMs);
        if (this.grants.size >= this.context.service().limits.maxInFlight) {
            return undefined;
        }
        const candidates = this.freeCandidates(params.avoid, nowMs);
        if (candidates.length === 0) {
            return undefined;
        }
        const { availabilityZone } = params;
        const local = candidates.filter(({ upstream }) => upstream.announcement.availabilityZone === availabilityZone);
        const preferred = local.length > 0 ? local : candidates;
        return pickLowest(preferred, { nowMs, availabilityZone, random: this.context.random }, costOf);
    }

    /** Upstreams with a free slot. An upstream in `avoid` counts only when there is no other one. */
    private freeCandidates(avoid: readonly string[], nowMs: number): readonly Candidate[] {
        const eligible = this.context.eligible(nowMs);
        const slots = effectiveSlots(eligible, this.context.service().rampMs, nowMs);
        const all = eligible.map((upstream, index) => ({
            upstream,
            instance: this.health.rowOf(upstream),
            effectiveSlots: slots[index],
        }));
        const others = all.filter(candidate => !avoid.includes(candidate.instance.id));
        const allowed = others.length > 0 ? others : all;
        const available = allowed.filter(candidate => this.health.isAvailable(candidate.instance, nowMs));
        const extra = this.extraShare(nowMs);
        const free = (available.length > 0 ? available : allowed).filter(one => isFree(one, extra, nowMs));
        return free.length > 0 || this.queue.size === 0 ? free : this.worthwhileSlow(allowed, nowMs);
    }

    /** Ejected slow instances that would end a request sooner than the wait for a slot of another one. */
    private worthwhileSlow(candidates: readonly Candidate[], nowMs: number): readonly Candidate[] {
        const queueMs = this.queueMs(nowMs);
        return candidates.filter(candidate => {
            const { ejectedUntilMs, ejectionCause, latencyMs } = candidate.instance;
            const isSlow = ejectedUntilMs > 0 && ejectionCause === EjectionCause.slow;
            return isSlow && latencyMs < queueMs && isFree(candidate, 0, nowMs);
        });
    }

    /** Time that a request which joins the queue now will wait. */
    private queueMs(nowMs: number): number {
        return this.queue.size * this.health.medianMs(nowMs) / Math.max(1, this.grants.size);
    }

    /**
     * Grants beyond the slots, as a share of them. A grant is outstanding longer than its request occupies a slot, by the
     * messages between entry, owner and upstream; without extra grants slots stand idle meanwhile.
     */
    private extraShare(nowMs: number): number {
        const medianMs = this.health.medianMs(nowMs);
        return medianMs > 0 ? extraPerOverhead * this.overheadMs / medianMs : 0;
    }

    private tryAhead(_entryId: EntryId, _params: AcquireParams, _nowMs: number): AheadGrant | undefined {
        return undefined;
    }

    private bindAhead(entryId: EntryId, params: AcquireParams, nowMs: number): GrantParams {
        const aheadKey = keyOf(entryId, params.usesAhead!);
        const grant = this.grants.get(aheadKey);
        if (grant !== undefined) {
            this.endGrant(aheadKey, SampleKind.unused, 0, nowMs);
            this.addGrant(keyOf(entryId, params.attemptId), { ...grant, grantedAtMs: nowMs, isAhead: false });
        }
        return { ...this.answer(params, { kind: "none" }), ahead: this.tryAhead(entryId, params, nowMs) };
    }

    private addGrant(key: string, grant: Grant): void {
        // An entry asks again for the same attempt when its view of the owner has gone back and forth.
        this.endGrant(key, SampleKind.unused, 0, grant.grantedAtMs);
        this.aheadCount += grant.isAhead ? 1 : 0;
        this.grants.set(key, grant);
        this.health.start(key, grant.row, grant.grantedAtMs);
    }

    private endGrant(key: string, kind: SampleKind, latencyMs: number, nowMs: number): void {
        const grant = this.grants.get(key);
        if (grant === undefined) {
            return;
        }
        this.aheadCount -= grant.isAhead ? 1 : 0;
        this.grants.delete(key);
        if (kind === SampleKind.ok) {
            const overheadMs = Math.max(0, nowMs - grant.grantedAtMs - latencyMs);
            this.overheadMs += overheadSmoothing * (overheadMs - this.overheadMs);
        }
        this.health.finish(key, kind, latencyMs, this.context.service().limits.defaultDeadlineMs, nowMs);
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
    }

    /** Frees the grants and removes the waiters of entries without a recent heartbeat. */
    private dropLostEntries(nowMs: number): void {
        const live = new Set(this.context.livePeerIds(nowMs));
        const isLost = (id: EntryId) => !live.has(id) && !this.context.isSelf(id);
        for (const [key, grant] of this.grants) {
            if (isLost(grant.entryId)) {
                this.endGrant(key, SampleKind.unused, 0, nowMs);
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
                this.context.sendGrant(waiter.entryId, this.answer(waiter.params, deadlinePassed), nowMs);
            }
            else if (!told.has(waiter.entryId)) {
                told.add(waiter.entryId);
                this.context.sendGrant(waiter.entryId, this.answer(waiter.params, { kind: "queued" }), nowMs);
            }
        }
    }

    private answer(params: AcquireParams, decision: GrantParams["decision"]): GrantParams {
        return { service: params.service, attemptId: params.attemptId, decision };
    }
}

const deadlinePassed: RouteDecision = {
    kind: "refuse",
    reason: "deadline",
    detail: "no slot became free before the deadline",
    retryAfterMs: 1000,
};

function keyOf(entryId: EntryId, attemptId: string): string {
    return `${entryId}\n${attemptId}`;
}

function isFree(candidate: Candidate, extraShare: number, nowMs: number): boolean {
    const { instance, effectiveSlots } = candidate;
    const slots = Math.max(1, Math.floor(effectiveSlots));
    const extra = nowMs - instance.shedAtMs < shedMemoryMs ? 0 : Math.ceil(slots * extraShare);
    return instance.outstanding < slots + extra;
}

function costOf(candidate: Candidate): number {
    // An ejected instance whose time is up gets its trial at once; with any other order it would wait for a lull.
    return candidate.instance.ejectedUntilMs > 0 ? -1 : candidate.instance.outstanding / candidate.effectiveSlots;
}
