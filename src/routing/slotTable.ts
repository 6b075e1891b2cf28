import type { Service } from "../catalogue/model.js";
import type { EntryId } from "../core/ids.js";
import type { RandomSource } from "../core/random.js";
import type { UpstreamRow } from "../membership/view.js";
import { InstanceHealth, SampleKind } from "./instanceHealth.js";
import { EjectionCause, type InstanceStats } from "./instanceStats.js";
import { effectiveSlots } from "./ramp.js";
import { type Candidate, pickLowestCost } from "./routingPolicy.js";
import type { AcquireParams } from "./slotMessages.js";

const overheadSmoothing = 0.05;
/**
 * Extra grants per slot, as a multiple of the ratio of overhead to median latency. The overhead is the time by which a
 * grant outlasts its attempt. A slot is idle for two overheads between requests: one for release and next grant, and
 * about as long for the round trip from entry to upstream. Twice that keeps slots busy when service times vary.
 */
const extraGrantsPerOverheadRatio = 4;
/** Delays at a busy entry count as overhead too: without a limit, extra grants would fill the upstreams' queues. */
const maxExtraGrantsPerSlot = 1;
/** An instance that shed load gets no extra grants for this long. */
const noExtraGrantsAfterShedMs = 1000;

/** One slot granted to an attempt of an entry. */
export interface Grant {
    readonly entryId: EntryId;
    readonly stats: InstanceStats;
    readonly grantedAtMs: number;
}

/** State and functions that `SlotTable` gets from its entry. */
export interface SlotTableContext {
    readonly random: RandomSource;
    readonly service: () => Service;
    readonly listEligible: (nowMs: number) => readonly UpstreamRow[];
}

/** Holds the grants of one service for all entries and selects the instance for the next grant. */
export class SlotTable {
    readonly health = new InstanceHealth();
    readonly grants = new Map<string, Grant>();
    /** Smoothed time by which a grant outlasts its attempt, because of the grant and release messages. */
    private smoothedOverheadMs = 0;

    constructor(private readonly context: SlotTableContext) {}

    /** Whether the in-flight limit and a free slot allow another grant, without regard to the requests' `avoid`. */
    isGrantPossible(queuedCount: number, nowMs: number): boolean {
        return this.isBelowLimit() && this.freeCandidates([], queuedCount, nowMs).length > 0;
    }

    /** Selects an instance for a request, preferably in its entry's availability zone; undefined if it must wait. */
    pick(params: AcquireParams, queuedCount: number, nowMs: number): Candidate | undefined {
        this.health.checkOverdue(nowMs);
        const candidates = this.isBelowLimit() ? this.freeCandidates(params.avoid, queuedCount, nowMs) : [];
        if (candidates.length === 0) {
            return undefined;
        }
        const { availabilityZone } = params;
        const sameZone = candidates.filter(({ upstream }) =>
            upstream.announcement.availabilityZone === availabilityZone
        );
        const preferred = sameZone.length > 0 ? sameZone : candidates;
        return pickLowestCost(preferred, { nowMs, availabilityZone, random: this.context.random }, costOf);
    }

    addGrant(key: string, grant: Grant): void {
        // An entry requests a slot again for the same attempt after the owner changed and changed back. Without this
        // release, the instance would still count the replaced grant.
        this.releaseGrant(key, SampleKind.unused, 0, grant.grantedAtMs);
        this.grants.set(key, grant);
        this.health.start(key, grant.stats, grant.grantedAtMs);
    }

    releaseGrant(key: string, kind: SampleKind, latencyMs: number, nowMs: number): void {
        const grant = this.grants.get(key);
        if (grant === undefined) {
            return;
        }
        this.grants.delete(key);
        if (kind === SampleKind.ok) {
            const grantOverheadMs = Math.max(0, nowMs - grant.grantedAtMs - latencyMs);
            this.smoothedOverheadMs += overheadSmoothing * (grantOverheadMs - this.smoothedOverheadMs);
        }
        this.health.finish(key, kind, latencyMs, this.context.service().limits.defaultDeadlineMs, nowMs);
    }

    /** Returns the expected wait in milliseconds of a request that joins a queue of this length. */
    expectedWaitMs(queuedCount: number, nowMs: number): number {
        return queuedCount * this.health.medianMs(nowMs) / Math.max(1, this.grants.size);
    }

    private isBelowLimit(): boolean {
        return this.grants.size < this.context.service().limits.maxInFlight;
    }

    /**
     * Returns the upstreams with a free slot. Upstreams in `avoid` are used only if no others are eligible, and
     * unavailable ones (see `isAvailable`) only if no available one is left. If none has a free slot and requests
     * are queued, returns `slowEjectedCandidates`.
     */
    private freeCandidates(avoid: readonly string[], queuedCount: number, nowMs: number): readonly Candidate[] {
        const eligible = this.context.listEligible(nowMs);
        const slots = effectiveSlots(eligible, this.context.service().rampMs, nowMs);
        const all = eligible.map((upstream, index) => ({
            upstream,
            instance: this.health.getStats(upstream),
            effectiveSlots: slots[index],
        }));
        const notAvoided = all.filter(candidate => !avoid.includes(candidate.instance.id));
        const allowed = notAvoided.length > 0 ? notAvoided : all;
        const available = allowed.filter(candidate => this.health.isAvailable(candidate.instance, nowMs));
        const extraPerSlot = this.extraGrantsPerSlot(nowMs);
        const free = (available.length > 0 ? available : allowed).filter(usable => isFree(usable, extraPerSlot, nowMs));
        return free.length > 0 || queuedCount === 0 ? free : this.slowEjectedCandidates(allowed, queuedCount, nowMs);
    }

    /** Returns free instances that are ejected as slow, but whose latency is below the expected wait in the queue. */
    private slowEjectedCandidates(
        candidates: readonly Candidate[],
        queuedCount: number,
        nowMs: number,
    ): readonly Candidate[] {
        const expectedWaitMs = this.expectedWaitMs(queuedCount, nowMs);
        return candidates.filter(candidate => {
            const { ejectedUntilMs, ejectionCause, latencyMs } = candidate.instance;
            const isSlow = ejectedUntilMs > 0 && ejectionCause === EjectionCause.slow;
            return isSlow && latencyMs < expectedWaitMs && isFree(candidate, 0, nowMs);
        });
    }

    /**
     * Returns the extra grants per slot. A grant lasts longer than its request occupies a slot, because of the messages
     * between entry, owner and upstream; without extra grants, slots are idle during that time.
     */
    private extraGrantsPerSlot(nowMs: number): number {
        const medianMs = this.health.medianMs(nowMs);
        return medianMs > 0
            ? Math.min(maxExtraGrantsPerSlot, extraGrantsPerOverheadRatio * this.smoothedOverheadMs / medianMs)
            : 0;
    }
}

function isFree(candidate: Candidate, extraGrantsPerSlot: number, nowMs: number): boolean {
    const { instance, effectiveSlots } = candidate;
    const slots = Math.max(1, Math.floor(effectiveSlots));
    const extraGrants = nowMs - instance.lastShedAtMs < noExtraGrantsAfterShedMs
        ? 0
        : Math.ceil(slots * extraGrantsPerSlot);
    return instance.outstanding < slots + extraGrants;
}

function costOf(candidate: Candidate): number {
    // Ejected instances come first, so that a trial does not wait until the other instances have more load.
    return candidate.instance.ejectedUntilMs > 0 ? -1 : candidate.instance.outstanding / candidate.effectiveSlots;
}
