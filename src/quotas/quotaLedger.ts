import { bucketSize, type Quota, type QuotaBounds } from "./quotaBounds.js";
import type { MemberQuotaRow, QuotaLevel, QuotaUse } from "./quotaMessages.js";
import { RateEstimate } from "./rateEstimate.js";

const msPerSecond = 1000;
/** Factors by which levels, shares and demands are multiplied in messages. */
export const levelScale = 100;
export const shareScale = 1000;
export const demandScale = 10;
/**
 * Smallest part of a bucket that is not in debt which a control VM may spend before it reports. Without it, a control VM
 * with little demand for an organisation would refuse the second of two requests. Lower for large buckets, of which
 * several control VMs would otherwise spend too much at once.
 */
export function findMinLevelShare(size: number): number {
    return size < 40 ? 0.3 : 0.22;
}

/** Time over which the demand of a control VM is averaged to divide a quota. */
const demandTimeConstantMs = 3000;
/** A control VM that has not reported for this time gets no share; it reports every second. */
const memberTtlMs = 3000;
/** Part of each quota that is divided equally, so that the first requests at a control VM are admitted. */
const equalShare = 0.1;
/**
 * Sum of the shares that control VMs may hold at once. Above 1, demand that moves is served before the previous holder
 * reports; at most this part of a bucket can be spent twice.
 */
const maxShareSum = 1.2;
/** A row of an organisation that was not reported is sent if its part of the bucket or rate changed by this share. */
const reportedChange = 0.1;
/** For this time, a new leader takes lower levels of other control VMs, and starts unknown buckets empty. */
const takeoverMs = 5000;
/**
 * For this time, a new leader gets reports of what entries admitted while there was no leader. The rate of that time, at
 * most `maxGapMs`, is credited against them, and no level above the one before the change is granted.
 */
const settlingMs = 3000;
const maxGapMs = 4000;
/** Seconds of the rate that are granted at least while a leader settles, so that organisations at their limit continue. */
const settlingLevelSeconds = 0.05;
/** Time for which the bucket of a removed organisation is kept, so that adding it again does not fill it. */
const removedRetentionMs = 60_000;
/** Time over which the demand of all control VMs is averaged that entries use without contact. */
const totalDemandTimeConstantMs = 20_000;

interface MemberShare {
    readonly demand: RateEstimate;
    reportedAtMs: number;
    share: number;
    /** Part of the bucket that was last sent, in requests. */
    sentLevel: number;
    sentRate: number;
}

interface Bucket {
    quota: Quota;
    size: number;
    level: number;
    /** Highest level that is granted while a leader settles. */
    ceiling: number;
    accruedAtMs: number;
    listedAtMs: number;
    isLimited: boolean;
    readonly totalDemand: RateEstimate;
    readonly members: Map<string, MemberShare>;
}

/** State of an organisation at the leader. */
export interface LedgerRow {
    readonly organisation: string;
    readonly level: number;
    readonly demand: number;
    readonly isLimited: boolean;
}

/**
 * Token buckets of organisations, at the leader. They are charged with what entries admitted, also below zero; control
 * VMs get parts of a bucket in proportion to their recent demand and admit nothing while it is in debt.
 */
export class QuotaLedger {
    private readonly buckets = new Map<string, Bucket>();
    private readonly reportedAtMs = new Map<string, number>();
    private knownLevels: ReadonlyMap<string, number> = new Map();
    private ledSinceMs = -Infinity;
    private gapMs = 0;
    /** Part of the rates that entries without contact may be using. */
    private reservedShare = 0;

    constructor(private readonly bounds: QuotaBounds) {}

    /**
     * Starts with the levels that this VM knows when it becomes the leader, `gapMs` after the previous leader's answer;
     * buckets that it does not know are empty.
     */
    startLeading(known: readonly QuotaLevel[], gapMs: number, nowMs: number): void {
        this.gapMs = Math.min(gapMs, maxGapMs);
        this.buckets.clear();
        this.reportedAtMs.clear();
        this.ledSinceMs = nowMs;
        this.knownLevels = new Map(known.map(([organisation, level]) => [organisation, level / levelScale]));
    }

    /** Applies the quotas of the configuration; a lower rate or burst takes effect at once. */
    configure(quotas: readonly Quota[], nowMs: number): void {
        for (const quota of quotas) {
            const size = bucketSize(quota, this.bounds);
            const bucket = this.buckets.get(quota.organisation);
            if (bucket === undefined) {
                const isNew = nowMs - this.ledSinceMs >= takeoverMs;
                const start = Math.min(size, this.knownLevels.get(quota.organisation) ?? (isNew ? size : 0));
                const level = start + (isNew ? 0 : quota.ratePerSecond * this.gapMs / msPerSecond);
                this.buckets.set(quota.organisation, {
                    quota,
                    size,
                    level,
                    ceiling: isNew ? Infinity : start,
                    accruedAtMs: nowMs,
                    listedAtMs: nowMs,
                    isLimited: false,
                    totalDemand: new RateEstimate(totalDemandTimeConstantMs, nowMs),
                    members: new Map(),
                });
            }
            else {
                this.accrue(bucket, nowMs);
                bucket.quota = quota;
                bucket.size = size;
                bucket.listedAtMs = nowMs;
            }
        }
        for (const [organisation, { listedAtMs }] of this.buckets) {
            if (nowMs - listedAtMs > removedRetentionMs) {
                this.buckets.delete(organisation);
            }
        }
    }

    /** Sets the part of the rates that is kept for entries that may run without contact to a control VM. */
    reserve(share: number): void {
        this.reservedShare = share;
    }

    /** Part of the rates that is divided, in thousandths. */
    get usableShare(): number {
        return Math.round((1 - this.reservedShare) * shareScale);
    }

    /** Returns whether a control VM should report the levels that it knows. */
    wantsLevels(memberId: string, nowMs: number): boolean {
        return nowMs - this.ledSinceMs < takeoverMs && !this.reportedAtMs.has(memberId);
    }

    /** Takes levels that are lower than the own ones, after a change of the leader. */
    recordLevels(levels: readonly QuotaLevel[], nowMs: number): void {
        if (nowMs - this.ledSinceMs >= takeoverMs) {
            return;
        }
        for (const [organisation, level] of levels) {
            const bucket = this.buckets.get(organisation);
            if (bucket !== undefined) {
                this.accrue(bucket, nowMs);
                const isFirst = !this.knownLevels.has(organisation);
                const change = level / levelScale - bucket.ceiling;
                if (isFirst || change < 0) {
                    bucket.level += change;
                    bucket.ceiling += change;
                    this.knownLevels = new Map([...this.knownLevels, [organisation, bucket.ceiling]]);
                }
            }
        }
    }

    /** Charges what a control VM reports; returns rows for the reported organisations and those that changed. */
    exchange(memberId: string, uses: readonly QuotaUse[], nowMs: number): readonly MemberQuotaRow[] {
        const isFirst = nowMs - (this.reportedAtMs.get(memberId) ?? -Infinity) >= memberTtlMs;
        this.reportedAtMs.set(memberId, nowMs);
        const usesByName = new Map(uses.map(use => [use[0], use]));
        const rows: MemberQuotaRow[] = [];
        for (const bucket of this.buckets.values()) {
            const use = usesByName.get(bucket.quota.organisation);
            this.accrue(bucket, nowMs);
            const member = this.findMember(bucket, memberId, nowMs);
            member.reportedAtMs = nowMs;
            if (use !== undefined) {
                bucket.level -= use[2];
                member.demand.add(use[1], nowMs);
                bucket.totalDemand.add(use[1], nowMs);
            }
            member.share = this.divide(bucket, member, nowMs);
            const rate = bucket.quota.ratePerSecond * (1 - this.reservedShare);
            const grantable = this.findGrantable(bucket, nowMs);
            const level = Math.max(member.share, findMinLevelShare(bucket.size)) * grantable;
            const change = Math.abs(level - member.sentLevel) / Math.max(1, bucket.size);
            const rateChange = Math.abs(member.share * rate - member.sentRate) / bucket.quota.ratePerSecond;
            if (isFirst || use !== undefined || change > reportedChange || rateChange > reportedChange) {
                member.sentLevel = level;
                member.sentRate = member.share * rate;
                rows.push([
                    bucket.quota.organisation,
                    Math.round(member.share * shareScale),
                    Math.round(grantable * levelScale),
                    Math.round(this.estimateDemand(bucket, nowMs) * demandScale),
                ]);
            }
        }
        return rows;
    }

    /** Lists the organisations that have become limited or free since the last call. */
    listTransitions(nowMs: number): readonly LedgerRow[] {
        return [...this.buckets.values()].flatMap(bucket => {
            this.accrue(bucket, nowMs);
            const { quota: { organisation, ratePerSecond }, level, size } = bucket;
            const demand = this.sumDemand(bucket, nowMs);
            const isLimited = bucket.isLimited ? demand > ratePerSecond || level < size / 2 : level < 1 && demand > 0;
            if (isLimited === bucket.isLimited) {
                return [];
            }
            bucket.isLimited = isLimited;
            return [{ organisation, level, demand, isLimited }];
        });
    }

    countLimited(): number {
        return [...this.buckets.values()].filter(bucket => bucket.isLimited).length;
    }

    private accrue(bucket: Bucket, nowMs: number): void {
        const rate = bucket.quota.ratePerSecond * (1 - this.reservedShare);
        const elapsedMs = Math.max(0, nowMs - bucket.accruedAtMs);
        const size = this.isSettling(nowMs) ? Infinity : bucket.size;
        bucket.level = Math.min(size, bucket.level + elapsedMs * rate / msPerSecond);
        bucket.accruedAtMs = Math.max(bucket.accruedAtMs, nowMs);
    }

    private isSettling(nowMs: number): boolean {
        return nowMs - this.ledSinceMs < settlingMs;
    }

    private findGrantable({ quota, size, level, ceiling }: Bucket, nowMs: number): number {
        const floor = settlingLevelSeconds * quota.ratePerSecond;
        return Math.min(size, level, this.isSettling(nowMs) ? Math.max(floor, ceiling) : Infinity);
    }

    private findMember({ members }: Bucket, memberId: string, nowMs: number): MemberShare {
        const member = members.get(memberId) ?? {
            demand: new RateEstimate(demandTimeConstantMs, nowMs),
            reportedAtMs: nowMs,
            share: 0,
            sentLevel: 0,
            sentRate: 0,
        };
        members.set(memberId, member);
        return member;
    }

    /** Returns the share of a control VM: its part of the demand, as far as the others' shares leave it. */
    private divide({ quota, members }: Bucket, member: MemberShare, nowMs: number): number {
        for (const [id, { reportedAtMs }] of members) {
            if (nowMs - reportedAtMs >= memberTtlMs) {
                members.delete(id);
            }
        }
        const base = equalShare * quota.ratePerSecond / members.size;
        const weigh = ({ demand }: MemberShare) => demand.get(nowMs) + base;
        const all = [...members.values()];
        const target = weigh(member) / all.reduce((sum, other) => sum + weigh(other), 0);
        const others = all.reduce((sum, other) => sum + (other === member ? 0 : other.share), 0);
        return Math.min(target, Math.max(base / quota.ratePerSecond, maxShareSum - others));
    }

    /** Returns a steady estimate, but the recent demand where it exceeds the rate. */
    private estimateDemand(bucket: Bucket, nowMs: number): number {
        const steady = bucket.totalDemand.get(nowMs);
        const recent = this.sumDemand(bucket, nowMs);
        return recent > bucket.quota.ratePerSecond ? Math.max(steady, recent) : steady;
    }

    private sumDemand({ members }: Bucket, nowMs: number): number {
        return [...members.values()].reduce((sum, { demand }) => sum + demand.get(nowMs), 0);
    }
}
