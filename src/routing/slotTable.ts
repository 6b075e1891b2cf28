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
 * The round trip from entry to upstream takes about as long as release and grant, so a slot is idle for two overheads.
 * Twice that keeps slots busy when service times vary.
 */
const extraGrantsPerOverhead = 4;
/** Delays at a busy entry count as overhead too; without a limit, extra grants would fill the upstreams' queues. */
const maxExtraShare = 1;
/** An instance that shed load gets no extra grants for this long. */
const noExtraAfterShedMs = 1000;

/** One slot granted to an attempt of an entry. */
export interface Grant {
    readonly entryId: EntryId;
    readonly stats: InstanceStats;
    readonly grantedAtMs: number;
}

/** Dependencies of `SlotTable`. */
export interface SlotTableContext {
    readonly random: RandomSource;
    readonly service: () => Service;
    readonly listEligible: (nowMs: number) => readonly UpstreamRow[];
}

/** Holds the grants of one service for all entries and selects the instance for the next grant. */
export class SlotTable {
    readonly health = new InstanceHealth();
    readonly grants = new Map<string, Grant>();
    /** Smoothed time by which a grant outlasts its attempt, because of the messages from and to the owner. */
    private overheadMs = 0;

    constructor(private readonly context: SlotTableContext) {}

    /** Whether the in-flight limit and the instances allow another grant, regardless of a request's `avoid`. */
    isGrantPossible(queuedCount: number, nowMs: number): boolean {
        return this.isBelowLimit() && this.freeCandidates([], queuedCount, nowMs).length > 0;
    }

    /** Selects the instance for a request; returns undefined when it must wait. */
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

    add(key: string, grant: Grant): void {
        // An entry requests a slot again for the same attempt after the owner changed and changed back.
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
            const overheadMs = Math.max(0, nowMs - grant.grantedAtMs - latencyMs);
            this.overheadMs += overheadSmoothing * (overheadMs - this.overheadMs);
        }
        this.health.finish(key, kind, latencyMs, this.context.service().limits.defaultDeadlineMs, nowMs);
    }

    /** Returns the expected wait in milliseconds of a request that joins a queue of this length. */
    queueMs(queuedCount: number, nowMs: number): number {
        return queuedCount * this.health.medianMs(nowMs) / Math.max(1, this.grants.size);
    }

    private isBelowLimit(): boolean {
        return this.grants.size < this.context.service().limits.maxInFlight;
    }

    /** Returns the upstreams with a free slot; those in `avoid` only when no others are eligible. */
    private freeCandidates(avoid: readonly string[], queuedCount: number, nowMs: number): readonly Candidate[] {
        const eligible = this.context.listEligible(nowMs);
        const slots = effectiveSlots(eligible, this.context.service().rampMs, nowMs);
        const all = eligible.map((upstream, index) => ({
            upstream,
            instance: this.health.getStats(upstream),
            effectiveSlots: slots[index],
        }));
        const others = all.filter(candidate => !avoid.includes(candidate.instance.id));
        const allowed = others.length > 0 ? others : all;
        const available = allowed.filter(candidate => this.health.isAvailable(candidate.instance, nowMs));
        const extra = this.extraShare(nowMs);
        const free = (available.length > 0 ? available : allowed).filter(usable => isFree(usable, extra, nowMs));
        return free.length > 0 || queuedCount === 0 ? free : this.ejectedFasterThanQueue(allowed, queuedCount, nowMs);
    }

    /** Returns slow ejected instances that would complete a request sooner than the expected wait for another slot. */
    private ejectedFasterThanQueue(
        candidates: readonly Candidate[],
        queuedCount: number,
        nowMs: number,
    ): readonly Candidate[] {
        const queueMs = this.queueMs(queuedCount, nowMs);
        return candidates.filter(candidate => {
            const { ejectedUntilMs, ejectionCause, latencyMs } = candidate.instance;
            const isSlow = ejectedUntilMs > 0 && ejectionCause === EjectionCause.slow;
            return isSlow && latencyMs < queueMs && isFree(candidate, 0, nowMs);
        });
    }

    /**
     * Returns the extra grants per slot. A grant is outstanding longer than its request occupies a slot, because of the
     * messages between entry, owner and upstream; without extra grants, slots are idle during that time.
     */
    private extraShare(nowMs: number): number {
        const medianMs = this.health.medianMs(nowMs);
        return medianMs > 0 ? Math.min(maxExtraShare, extraGrantsPerOverhead * this.overheadMs / medianMs) : 0;
    }
}

function isFree(candidate: Candidate, extraShare: number, nowMs: number): boolean {
    const { instance, effectiveSlots } = candidate;
    const slots = Math.max(1, Math.floor(effectiveSlots));
    const extra = nowMs - instance.lastShedAtMs < noExtraAfterShedMs ? 0 : Math.ceil(slots * extraShare);
    return instance.outstanding < slots + extra;
}

function costOf(candidate: Candidate): number {
    // An ejected instance due for its trial comes first; otherwise it would get the trial only at low load.
    return candidate.instance.ejectedUntilMs > 0 ? -1 : candidate.instance.outstanding / candidate.effectiveSlots;
}
