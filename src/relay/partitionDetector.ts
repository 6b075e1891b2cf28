import type { UpstreamId } from "../core/ids.js";

/** Time for which a failure counts towards a suspicion; an entry with few requests sees few failures per second. */
const failureTtlMs = 2000;
/** Distinct instances that must have failed, without a response in between, before a check. */
const minSuspiciousFailures = 3;
/** Distinct instances to which no new connection could be opened before a check. */
const minConnectFailures = 4;
/** Time between checks while the entry is not cut off; a check costs up to `checkedPerZone` probes per zone. */
const minCheckIntervalMs = 1000;
/** Time between checks while it is, which bounds the time until it recovers. */
const recoveryCheckIntervalMs = 500;
/** Instances that a check must have covered; with fewer, crashes cannot be told from a partition. */
const minChecked = 3;
/** Instances that must answer in one check to end a partition; one could be reached by chance. */
const minRecovered = 2;

/** Whether this entry reaches the instances. */
export const Reachability = {
    reachable: "reachable",
    /** Existing connections work, but no new ones can be opened. */
    noNewConnections: "no-new-connections",
    cutOff: "cut-off",
} as const;

export type Reachability = typeof Reachability[keyof typeof Reachability];

/** Outcome of one check, which opens new connections to a few instances of every availability zone. */
export interface CheckOutcome {
    readonly startedAtMs: number;
    readonly checkedCount: number;
    readonly answeredCount: number;
}

/**
 * Decides whether the entry is partitioned from all instances. Failures only lead to a check: crashed instances fail, too,
 * and slow ones miss the short timeout of load probes. The check waits longer and covers every zone; the entry is cut off
 * when none of the checked instances answers and no other response arrives meanwhile.
 */
export class PartitionDetector {
    private current: Reachability = Reachability.reachable;
    /** Last failures since the last response, by instance. */
    private readonly failedAtMs = new Map<UpstreamId, number>();
    /** Last failures to open a connection since the last response on a new one, by instance. */
    private readonly connectFailedAtMs = new Map<UpstreamId, number>();
    private lastResponseAtMs = -Infinity;
    private lastNewConnectionAtMs = -Infinity;
    private lastCheckAtMs = -Infinity;

    get reachability(): Reachability {
        return this.current;
    }

    /** Records a response of an instance. */
    recordResponse(isOnNewConnection: boolean, nowMs: number): void {
        this.lastResponseAtMs = nowMs;
        this.failedAtMs.clear();
        if (isOnNewConnection) {
            this.lastNewConnectionAtMs = nowMs;
            this.connectFailedAtMs.clear();
        }
    }

    /** Records that a message got no response; `isConnectFailure` tells that a new connection was refused or reset. */
    recordFailure(id: UpstreamId, isConnectFailure: boolean, nowMs: number): void {
        this.failedAtMs.set(id, nowMs);
        if (isConnectFailure) {
            this.connectFailedAtMs.set(id, nowMs);
        }
    }

    /** Returns whether an instance failed recently and no instance has responded since. */
    hasFailed(id: UpstreamId, nowMs: number): boolean {
        return nowMs - (this.failedAtMs.get(id) ?? -Infinity) <= failureTtlMs;
    }

    /** Returns whether a check is due. `isServiceLost` returns whether all instances of a service have failed recently. */
    shouldCheck(nowMs: number, isServiceLost: () => boolean = () => false): boolean {
        if (this.current !== Reachability.reachable) {
            return nowMs - this.lastCheckAtMs >= recoveryCheckIntervalMs;
        }
        if (nowMs - this.lastCheckAtMs < minCheckIntervalMs) {
            return false;
        }
        return countRecent(this.failedAtMs, nowMs) >= minSuspiciousFailures ||
            countRecent(this.connectFailedAtMs, nowMs) >= minConnectFailures || isServiceLost();
    }

    /** Records that a check begins. */
    startCheck(nowMs: number): void {
        this.lastCheckAtMs = nowMs;
    }

    /** Applies the outcome of a check; returns whether the reachability has changed. */
    applyCheck({ startedAtMs, checkedCount, answeredCount }: CheckOutcome): boolean {
        const previous = this.current;
        const requiredCount = previous === Reachability.reachable ? 1 : Math.min(minRecovered, checkedCount);
        if (answeredCount >= requiredCount && answeredCount > 0) {
            this.current = Reachability.reachable;
            this.failedAtMs.clear();
            this.connectFailedAtMs.clear();
        }
        else if (answeredCount === 0 && checkedCount >= minChecked && this.lastNewConnectionAtMs < startedAtMs) {
            this.current = this.lastResponseAtMs < startedAtMs ? Reachability.cutOff : Reachability.noNewConnections;
        }
        return this.current !== previous;
    }
}

function countRecent(atMsById: ReadonlyMap<UpstreamId, number>, nowMs: number): number {
    return [...atMsById.values()].filter(atMs => nowMs - atMs <= failureTtlMs).length;
}
