import { bucketSize, type Quota, type QuotaBounds } from "./quotaBounds.js";
import { demandScale, findMinLevelShare, levelScale, shareScale } from "./quotaLedger.js";
import type { EntryQuotaRow, MemberQuotaRow, QuotaLevel, QuotaUse } from "./quotaMessages.js";
import { RateEstimate } from "./rateEstimate.js";

const msPerSecond = 1000;
/** Time over which demand is averaged to compute the admitted share; short, as it delays the reaction to a rise. */
const demandTimeConstantMs = 500;
/** Longer average that keeps the share low between the requests of a small organisation. */
const slowDemandTimeConstantMs = 3000;
/**
 * Time in which the requests that the bucket holds may be spent; shorter for small buckets, of which a few requests at
 * once are a large part.
 */
const spendingMs = 1000;
const smallBucketSpendingMs = 400;
const smallBucketSize = 40;
/** A report to the leader is due at once when less than this part of the share that was granted is left. */
const lowLevelShare = 0.5;
/** An organisation is far from its limit while the leader's bucket is fuller than this. */
const freeLevelShare = 0.3;
/** Smaller changes of the admitted share, in thousandths and relative, are not sent unless it becomes 0 or 1000. */
const minShareChange = 20;
const minRelativeShareChange = 0.2;
/** Entries are told at once of the first decrease by this much; other changes go with the next watch answer. */
const urgentDecrease = 200;

/** The demand of all entries is sent again after a change by this factor, above and below the rate. */
const limitedDemandChangeFactor = 1.3;
const demandChangeFactor = 2;

/** How soon the leader should get a report. */
export type Urgency = "none" | "limited" | "free";

interface MemberBucket {
    quota: Quota;
    size: number;
    readonly demand: RateEstimate;
    readonly slowDemand: RateEstimate;
    /** Share of this control VM. */
    share: number;
    /** What this control VM may still spend. */
    level: number;
    accruedAtMs: number;
    grantedLevel: number;
    /** Level of the leader's bucket when the share was granted. */
    leaderLevel: number;
    leaderLevelAtMs: number;
    unreported: { demanded: number; admitted: number; };
    totalDemand: number;
    admittedShare: number;
    sentDemand: number;
    changedInVersion: number;
}

/** Spends one control VM's part of the quotas: computes the share of requests that its entries admit. */
export class MemberQuotas {
    private readonly buckets = new Map<string, MemberBucket>();
    /** Buckets of organisations that once had a rate, for when they get one again. */
    private removedBuckets: ReadonlyMap<string, MemberBucket> = new Map();
    private usableShare = 1;
    private answeredAtMs = -Infinity;
    /** Changes with the rows for entries; `wakeVersion` only with those that entries must learn at once. */
    private version = 0;
    private wakeVersion = 0;

    constructor(private readonly bounds: QuotaBounds) {}

    get size(): number {
        return this.buckets.size;
    }

    configure(quotas: readonly Quota[], nowMs: number): void {
        const previous = new Map([...this.removedBuckets, ...this.buckets]);
        this.buckets.clear();
        for (const quota of quotas) {
            const bucket = previous.get(quota.organisation);
            const size = bucketSize(quota, this.bounds);
            if (bucket !== undefined) {
                previous.delete(quota.organisation);
                this.buckets.set(quota.organisation, Object.assign(bucket, { quota, size }));
                continue;
            }
            this.buckets.set(quota.organisation, {
                quota,
                size,
                demand: new RateEstimate(demandTimeConstantMs, nowMs),
                slowDemand: new RateEstimate(slowDemandTimeConstantMs, nowMs),
                share: 0,
                level: 0,
                accruedAtMs: nowMs,
                grantedLevel: 0,
                leaderLevel: -Infinity,
                leaderLevelAtMs: nowMs,
                unreported: { demanded: 0, admitted: 0 },
                totalDemand: 0,
                admittedShare: shareScale,
                sentDemand: 0,
                changedInVersion: 0,
            });
        }
        this.removedBuckets = previous;
    }

    /** Charges what an entry reports; returns how soon the leader should learn of it. */
    record(uses: readonly QuotaUse[], nowMs: number): Urgency {
        let urgency: Urgency = "none";
        for (const [organisation, demanded, admitted] of uses) {
            const bucket = this.buckets.get(organisation);
            if (bucket !== undefined) {
                this.accrue(bucket, nowMs);
                bucket.level -= admitted;
                bucket.demand.add(demanded, nowMs);
                bucket.slowDemand.add(demanded, nowMs);
                bucket.unreported.demanded += demanded;
                bucket.unreported.admitted += admitted;
                if (isLow(bucket) && urgency !== "free") {
                    urgency = isFree(bucket) ? "free" : "limited";
                }
            }
        }
        return urgency;
    }

    /** Returns the requests not yet reported to the leader; `onlyLow`: only those of organisations with a low level. */
    takeUses(onlyLow: boolean): readonly QuotaUse[] {
        return [...this.buckets.values()].flatMap(bucket => {
            const { quota: { organisation }, unreported } = bucket;
            if (onlyLow && !isLow(bucket)) {
                return [];
            }
            const { demanded, admitted } = unreported;
            unreported.demanded = 0;
            unreported.admitted = 0;
            return demanded === 0 && admitted === 0 ? [] : [[organisation, demanded, admitted] as const];
        });
    }

    /** Keeps the requests of a report that may not have reached the leader, for the next report. */
    returnUses(uses: readonly QuotaUse[]): void {
        for (const [organisation, demanded, admitted] of uses) {
            const unreported = this.buckets.get(organisation)?.unreported;
            if (unreported !== undefined) {
                unreported.demanded += demanded;
                unreported.admitted += admitted;
            }
        }
    }

    /** Applies the leader's answer. */
    apply(rows: readonly MemberQuotaRow[], usableShare: number, nowMs: number): void {
        this.usableShare = usableShare / shareScale;
        this.answeredAtMs = nowMs;
        for (const [organisation, share, level, demand] of rows) {
            const bucket = this.buckets.get(organisation);
            if (bucket !== undefined) {
                bucket.share = share / shareScale;
                bucket.leaderLevel = level / levelScale;
                bucket.leaderLevelAtMs = nowMs;
                bucket.grantedLevel = levelShare(bucket) * bucket.leaderLevel;
                bucket.level = bucket.grantedLevel - bucket.unreported.admitted;
                bucket.accruedAtMs = nowMs;
                bucket.totalDemand = demand / demandScale;
            }
        }
    }

    /** When the leader last answered. */
    get lastAnswerAtMs(): number {
        return this.answeredAtMs;
    }

    /** Lists the levels of the leader's buckets at its last answer, as far as this control VM knows them. */
    listLevels(): readonly QuotaLevel[] {
        return [...this.buckets.values()].filter(({ leaderLevel }) => leaderLevel > -Infinity).map(bucket => {
            const { quota, size, leaderLevel, leaderLevelAtMs } = bucket;
            const level = leaderLevel + (this.answeredAtMs - leaderLevelAtMs) * this.findRate(bucket) / msPerSecond;
            return [quota.organisation, Math.round(Math.min(size, level) * levelScale)];
        });
    }

    /** Computes the shares that entries admit; returns whether one changed that they must learn at once. */
    update(nowMs: number): boolean {
        const nextVersion = this.version + 1;
        let isUrgent = false;
        for (const bucket of this.buckets.values()) {
            this.accrue(bucket, nowMs);
            const previous = bucket.admittedShare;
            const next = this.computeShare(bucket, nowMs);
            const minChange = Math.max(minShareChange, minRelativeShareChange * previous);
            const isShareNews = next !== previous &&
                (next === 0 || next === shareScale || Math.abs(next - previous) >= minChange);
            const isAbove = bucket.totalDemand > bucket.quota.ratePerSecond;
            const factor = isAbove ? limitedDemandChangeFactor : demandChangeFactor;
            const isDemandNews = isDifferent(bucket.totalDemand, bucket.sentDemand, factor);
            if (isShareNews || isDemandNews) {
                bucket.admittedShare = next;
                bucket.sentDemand = bucket.totalDemand;
                bucket.changedInVersion = nextVersion;
                this.version = nextVersion;
                isUrgent ||= previous === shareScale && next <= shareScale - urgentDecrease;
            }
        }
        if (isUrgent) {
            this.wakeVersion = this.version;
        }
        return isUrgent;
    }

    /** Returns whether an entry must learn of changes at once. */
    hasNews(heldVersion: number): boolean {
        return this.wakeVersion > heldVersion || (heldVersion === 0 && this.version > 0);
    }

    /** Returns the rows that changed since the version that an entry holds. */
    describe(heldVersion: number): { readonly version: number; readonly rows: readonly EntryQuotaRow[]; } {
        const rows = [...this.buckets.values()]
            .filter(({ changedInVersion }) => heldVersion === 0 || changedInVersion > heldVersion)
            .map(({ quota, admittedShare, sentDemand }): EntryQuotaRow => [
                quota.organisation,
                admittedShare,
                Math.round(sentDemand * demandScale),
            ]);
        return { version: this.version, rows };
    }

    /** Returns the share of requests that keeps the spending within the rate and the level, in thousandths. */
    private computeShare(bucket: MemberBucket, nowMs: number): number {
        const { share, level, leaderLevel, demand, slowDemand } = bucket;
        if (leaderLevel === -Infinity) {
            // A new organisation; the leader answers within a second.
            return shareScale;
        }
        const supply = Math.max(0, share * this.findRate(bucket) + level * msPerSecond / findSpendingMs(bucket));
        const demandPerSecond = Math.max(demand.get(nowMs), slowDemand.get(nowMs));
        if (level <= 0) {
            return 0;
        }
        return demandPerSecond <= supply ? shareScale : Math.floor(shareScale * supply / demandPerSecond);
    }

    /** Returns the rate that is divided among the control VMs. */
    private findRate({ quota }: MemberBucket): number {
        return quota.ratePerSecond * this.usableShare;
    }

    private accrue(bucket: MemberBucket, nowMs: number): void {
        const { share, size } = bucket;
        const elapsedMs = Math.max(0, nowMs - bucket.accruedAtMs);
        const accrued = elapsedMs * share * this.findRate(bucket) / msPerSecond;
        bucket.level = Math.min(levelShare(bucket) * size, bucket.level + accrued);
        bucket.accruedAtMs = Math.max(bucket.accruedAtMs, nowMs);
    }
}

function findSpendingMs({ size }: MemberBucket): number {
    return size < smallBucketSize ? smallBucketSpendingMs : spendingMs;
}

/** Returns the part of the leader's bucket that a control VM may spend until its next report. */
function levelShare({ share, leaderLevel, size }: MemberBucket): number {
    return leaderLevel > 0 ? Math.max(share, findMinLevelShare(size)) : share;
}

function isLow({ level, grantedLevel }: MemberBucket): boolean {
    return level < Math.max(1, lowLevelShare * grantedLevel);
}

function isFree({ admittedShare, leaderLevel, size }: MemberBucket): boolean {
    return admittedShare === shareScale || leaderLevel > freeLevelShare * size;
}

function isDifferent(demand: number, sent: number, factor: number): boolean {
    const [low, high] = demand < sent ? [demand, sent] : [sent, demand];
    return high > 0 && high > low * factor + 1 / demandScale;
}
