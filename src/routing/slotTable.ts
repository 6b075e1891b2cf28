import type { Service } from "../catalogue/model.js";
import type { EntryId } from "../core/ids.js";
import type { RandomSource } from "../core/random.js";
import type { UpstreamRow } from "../membership/view.js";
import { InstanceHealth, SampleKind } from "./instanceHealth.js";
import { EjectionCause, type InstanceRow } from "./instanceRow.js";
import { effectiveSlots } from "./ramp.js";
import { type Candidate, pickLowest } from "./routingPolicy.js";
import type { AcquireParams } from "./slotMessages.js";

const overheadSmoothing = 0.05;
/**
 * A request travels as far from the entry to the upstream and back as its grant and release travel to the owner. Twice
 * that keeps slots busy when service times scatter.
 */
const extraPerOverhead = 4;
/** Delays of a busy entry count as overhead too; without a limit they would fill the queues of the upstreams. */
const maxExtraShare = 1;
/** An instance that has refused work gets no more than its slots for this long. */
const shedMemoryMs = 1000;

/** One slot granted to an attempt of an entry. */
export interface Grant {
    readonly entryId: EntryId;
    readonly row: InstanceRow;
    readonly grantedAtMs: number;
}

/** What the slot table needs from its entry. */
export interface SlotTableContext {
    readonly random: RandomSource;
    readonly service: () => Service;
    readonly eligible: (nowMs: number) => readonly UpstreamRow[];
}

/** Grants of one service over all entries, and the choice of an instance for the next one. */
export class SlotTable {
    readonly health = new InstanceHealth();
    readonly grants = new Map<string, Grant>();
    /** Smoothed time for which a grant outlasts its attempt, on the way from and to the owner. */
    private overheadMs = 0;

    constructor(private readonly context: SlotTableContext) {}

    /** Whether the limit in flight and the instances allow one more grant to some request. */
    hasRoom(queuedCount: number, nowMs: number): boolean {
        return this.isBelowLimit() && this.freeCandidates([], queuedCount, nowMs).length > 0;
    }

    /** Returns the instance for a request; undefined when it must wait. */
    pick(params: AcquireParams, queuedCount: number, nowMs: number): Candidate | undefined {
        this.health.checkOverdue(nowMs);
        const candidates = this.isBelowLimit() ? this.freeCandidates(params.avoid, queuedCount, nowMs) : [];
        if (candidates.length === 0) {
            return undefined;
        }
        const { availabilityZone } = params;
        const local = candidates.filter(({ upstream }) => upstream.announcement.availabilityZone === availabilityZone);
        const preferred = local.length > 0 ? local : candidates;
        return pickLowest(preferred, { nowMs, availabilityZone, random: this.context.random }, costOf);
    }

    add(key: string, grant: Grant): void {
        // An entry asks again for the same attempt when its view of the owner has gone back and forth.
        this.end(key, SampleKind.unused, 0, grant.grantedAtMs);
        this.grants.set(key, grant);
        this.health.start(key, grant.row, grant.grantedAtMs);
    }

    end(key: string, kind: SampleKind, latencyMs: number, nowMs: number): void {
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

    /** Time that a request which joins a queue of this length will wait. */
    queueMs(queuedCount: number, nowMs: number): number {
        return queuedCount * this.health.medianMs(nowMs) / Math.max(1, this.grants.size);
    }

    private isBelowLimit(): boolean {
        return this.grants.size < this.context.service().limits.maxInFlight;
    }

    /** Upstreams with a free slot. An upstream in `avoid` counts only when there is no other one. */
    private freeCandidates(avoid: readonly string[], queuedCount: number, nowMs: number): readonly Candidate[] {
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
        return free.length > 0 || queuedCount === 0 ? free : this.worthwhileSlow(allowed, queuedCount, nowMs);
    }

    /** Ejected slow instances that would end a request sooner than the wait for a slot of another one. */
    private worthwhileSlow(candidates: readonly Candidate[], queuedCount: number, nowMs: number): readonly Candidate[] {
        const queueMs = this.queueMs(queuedCount, nowMs);
        return candidates.filter(candidate => {
            const { ejectedUntilMs, ejectionCause, latencyMs } = candidate.instance;
            const isSlow = ejectedUntilMs > 0 && ejectionCause === EjectionCause.slow;
            return isSlow && latencyMs < queueMs && isFree(candidate, 0, nowMs);
        });
    }

    /**
     * Grants beyond the slots, as a share of them. A grant is outstanding longer than its request occupies a slot, by the
     * messages between entry, owner and upstream; without extra grants slots stand idle meanwhile.
     */
    private extraShare(nowMs: number): number {
        const medianMs = this.health.medianMs(nowMs);
        return medianMs > 0 ? Math.min(maxExtraShare, extraPerOverhead * this.overheadMs / medianMs) : 0;
    }
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
