import type { ServiceName, UpstreamId } from "../core/ids.js";
import { type Registration, RegistrationState } from "../directory/model.js";
import { type ConcurrencyLimit, raiseLimit } from "../overload/concurrencyLimit.js";
import type { InstanceLoad } from "./dialect.js";
import type { Permits } from "./permits.js";

/** First and maximum ejection time; it doubles with each further consecutive failure. */
const baseEjectionMs = 250;
const maxEjectionMs = 4000;
/** Consecutive failures before an ejection. A single failure can be caused by the request itself. */
const failuresToEject = 2;
/** Weight of the newest outcome in the moving average of failures. */
const failureSmoothingFactor = 0.15;
/**
 * An upstream that still answers is ejected only when its failure share exceeds the mean of its service by this factor
 * plus this share. When all upstreams shed load equally, ejecting some would overload the others further.
 */
const outlierFactor = 1.5;
const outlierShare = 0.1;
/** Maximum number of leaving incarnations that are remembered after their registration has ended. */
const maxLeavingIncarnations = 4096;

/** Outcome of an attempt or probe for the health of an upstream. */
export const UpstreamOutcome = {
    good: "good",
    /** The upstream answered with a server error. */
    failed: "failed",
    /** The upstream refused the request although it had reported free capacity. */
    refused: "refused",
    /** Failed load probe, or no usable response: connection refused or reset, timeout, malformed or truncated one. */
    broken: "broken",
} as const;

export type UpstreamOutcome = typeof UpstreamOutcome[keyof typeof UpstreamOutcome];

/** Rate limit that a response of an upstream named, or the end of one. */
export interface NamedLimit {
    /** Requests a second from all entries together; undefined once the limit has been withdrawn. */
    readonly perSecond: number | undefined;
    /** When the response arrived, in monotonic milliseconds. */
    readonly observedAtMs: number;
}

/** Warmup of an upstream and this entry's permits during it. Times are in monotonic milliseconds. */
export interface ColdState {
    /** End of the warmup by the registration, and by an answer to a probe of this entry. */
    registeredUntilMs: number;
    observedUntilMs: number;
    readonly permits: Permits;
    /** The holding whose first permits were added; undefined if none. */
    startedGrant: number | undefined;
}

/** State of an upstream as known to this entry. */
export interface UpstreamState {
    registration: Registration;
    /** End of the upstream's warmup, in monotonic milliseconds. */
    warmUntilMs: number;
    /** Send times of the open requests of this entry. */
    readonly openSentAtMs: Set<number>;
    /** Whether this entry has sent a request to the upstream. */
    isUsed: boolean;
    load: InstanceLoad | undefined;
    /** When the probe that returned `load` was sent, or when a response reported it. */
    loadAskedAtMs: number;
    failuresInRow: number;
    /** Moving average of failures, in [0, 1]. */
    failureShare: number;
    ejectedUntilMs: number;
    /** Whether this incarnation has announced that it leaves; final. */
    isLeaving: boolean;
    /** Until when the upstream wants neither requests nor probes from this entry, in monotonic milliseconds. */
    backOffUntilMs: number;
    /** Rate limit that this entry saw last; undefined if it never saw one. */
    namedLimit: NamedLimit | undefined;
    /** Learned limit of an upstream that resets connections when it is full; undefined if it did not. */
    concurrencyLimit?: ConcurrencyLimit | undefined;
    /** Requests that this entry may send while the upstream is limited. */
    readonly permits: Permits;
    readonly cold: ColdState;
}

/** Records a reported load; it shows what an upstream with a learned limit holds without resets. */
export function recordReportedLoad(upstreamState: UpstreamState, load: InstanceLoad, askedAtMs: number): void {
    upstreamState.load = load;
    upstreamState.loadAskedAtMs = askedAtMs;
    const { concurrencyLimit } = upstreamState;
    if (concurrencyLimit !== undefined) {
        upstreamState.concurrencyLimit = raiseLimit(concurrencyLimit, load.running + load.waiting, load.slots);
    }
}

/** Known upstreams and their state, by id. */
export class UpstreamStateTable {
    private readonly statesById = new Map<UpstreamId, UpstreamState>();
    /** Start times of the incarnations that announced that they leave, also after their state was deleted. */
    private readonly leavingBornAtMs = new Map<UpstreamId, number>();
    private evacuated: ReadonlySet<string> = new Set();

    /** Availability zones whose upstreams get no new requests and no load probes. */
    get evacuatedZones(): ReadonlySet<string> {
        return this.evacuated;
    }

    setEvacuatedZones(availabilityZones: readonly string[]): void {
        this.evacuated = new Set(availabilityZones);
    }

    /** Returns whether a service has ready upstreams, but only in evacuated availability zones. */
    isEvacuated(service: ServiceName): boolean {
        if (this.evacuated.size === 0) {
            return false;
        }
        const ready = this.list().map(({ registration }) => registration).filter(registration =>
            registration.service === service && registration.state === RegistrationState.ready
        );
        return ready.length > 0 && ready.every(({ availabilityZone }) => this.evacuated.has(availabilityZone));
    }

    /** Adds an upstream or updates its registration; a new incarnation starts with a new state. */
    set(registration: Registration, nowMs: number): void {
        const upstreamState = this.statesById.get(registration.id);
        if (upstreamState !== undefined && upstreamState.registration.bornAtMs === registration.bornAtMs) {
            upstreamState.registration = registration;
            upstreamState.cold.registeredUntilMs = nowMs + registration.warmupMs;
            return;
        }
        this.statesById.set(registration.id, {
            registration,
            warmUntilMs: nowMs + registration.warmupMs,
            openSentAtMs: new Set(),
            isUsed: false,
            load: undefined,
            loadAskedAtMs: -Infinity,
            failuresInRow: 0,
            failureShare: 0,
            ejectedUntilMs: -Infinity,
            isLeaving: this.leavingBornAtMs.get(registration.id) === registration.bornAtMs,
            backOffUntilMs: -Infinity,
            namedLimit: undefined,
            permits: { count: 0, settledAtMs: nowMs },
            cold: {
                registeredUntilMs: nowMs + registration.warmupMs,
                observedUntilMs: -Infinity,
                permits: { count: 0, settledAtMs: nowMs },
                startedGrant: undefined,
            },
        });
    }

    delete(id: UpstreamId): void {
        this.statesById.delete(id);
    }

    get(id: UpstreamId): UpstreamState | undefined {
        return this.statesById.get(id);
    }

    /** Returns the upstreams that may get probes, of all services. */
    listProbeable(nowMs: number): readonly UpstreamState[] {
        return this.list().filter(upstreamState => isUsable(upstreamState, nowMs));
    }

    /** Removes all upstreams whose id is not in `ids`. */
    keepOnly(ids: ReadonlySet<UpstreamId>): void {
        [...this.statesById.keys()].filter(id => !ids.has(id)).forEach(id => this.statesById.delete(id));
    }

    list(): readonly UpstreamState[] {
        return [...this.statesById.values()];
    }

    countEjected(nowMs: number): number {
        return this.list().filter(upstreamState => upstreamState.ejectedUntilMs > nowMs).length;
    }

    /** Returns whether an upstream that was probed earlier may still get new requests. */
    isCurrent(upstreamState: UpstreamState, nowMs: number): boolean {
        return this.statesById.get(upstreamState.registration.id) === upstreamState &&
            isUsable(upstreamState, nowMs) && !this.evacuated.has(upstreamState.registration.availabilityZone);
    }

    /** Excludes an incarnation that leaves, also when it is registered again later. */
    markLeaving(upstreamState: UpstreamState): void {
        const { id, bornAtMs } = upstreamState.registration;
        upstreamState.isLeaving = true;
        // Without a start time, a later incarnation could not be told from this one and would be excluded, too.
        if (bornAtMs === 0) {
            return;
        }
        this.leavingBornAtMs.delete(id);
        this.leavingBornAtMs.set(id, bornAtMs);
        for (const oldestId of this.leavingBornAtMs.keys()) {
            if (this.leavingBornAtMs.size <= maxLeavingIncarnations) {
                break;
            }
            this.leavingBornAtMs.delete(oldestId);
        }
    }

    /**
     * Returns the time until the first upstream of a service ends its back-off; undefined unless the service has
     * upstreams and all of them back off.
     */
    findBackOffDelayMs(service: ServiceName, nowMs: number): number | undefined {
        const present = this.list().filter(upstreamState =>
            upstreamState.registration.service === service && isPresent(upstreamState)
        );
        const untilMs = Math.min(...present.map(upstreamState => upstreamState.backOffUntilMs));
        return present.length > 0 && untilMs > nowMs ? untilMs - nowMs : undefined;
    }

    /**
     * Returns the upstreams of a service that may get new requests and that `isAccepted` accepts; ejected ones only when
     * all of these are ejected. Leaving ones and those that back off are never returned.
     */
    listEligible(
        service: ServiceName,
        excluded: ReadonlySet<UpstreamId>,
        nowMs: number,
        isAccepted: (upstreamState: UpstreamState) => boolean = () => true,
    ): readonly UpstreamState[] {
        const ready = this.list().filter(upstreamState => {
            const { registration } = upstreamState;
            return registration.service === service && isUsable(upstreamState, nowMs) &&
                !excluded.has(registration.id) && !this.evacuated.has(registration.availabilityZone) &&
                isAccepted(upstreamState);
        });
        const notEjected = ready.filter(upstreamState => upstreamState.ejectedUntilMs <= nowMs);
        return notEjected.length > 0 ? notEjected : ready;
    }

    /** Records an outcome; returns true when it ejects the upstream. */
    recordOutcome(upstreamState: UpstreamState, outcome: UpstreamOutcome, nowMs: number): boolean {
        const isFailure = outcome !== UpstreamOutcome.good;
        upstreamState.failureShare += failureSmoothingFactor * ((isFailure ? 1 : 0) - upstreamState.failureShare);
        upstreamState.failuresInRow = isFailure ? upstreamState.failuresInRow + 1 : 0;
        if (upstreamState.failuresInRow < failuresToEject || upstreamState.ejectedUntilMs > nowMs) {
            return false;
        }
        if (outcome !== UpstreamOutcome.broken && !this.isOutlier(upstreamState)) {
            return false;
        }
        const ejectionMs = baseEjectionMs * 2 ** Math.min(10, upstreamState.failuresInRow - failuresToEject);
        upstreamState.ejectedUntilMs = nowMs + Math.min(maxEjectionMs, ejectionMs);
        return true;
    }

    /** Withdraws a failure that was recorded for a probe whose answer was only late. */
    withdrawFailure(upstreamState: UpstreamState): void {
        upstreamState.failuresInRow = Math.max(0, upstreamState.failuresInRow - 1);
        if (upstreamState.failuresInRow < failuresToEject) {
            upstreamState.ejectedUntilMs = -Infinity;
        }
    }

    private isOutlier(upstreamState: UpstreamState): boolean {
        const serviceStates = this.list().filter(other =>
            other.registration.service === upstreamState.registration.service
        );
        const meanFailureShare = serviceStates.reduce((sum, other) => sum + other.failureShare, 0) /
            Math.max(1, serviceStates.length);
        return upstreamState.failureShare > outlierFactor * meanFailureShare + outlierShare;
    }
}

/** Returns whether an upstream neither drains nor leaves. */
function isPresent({ registration, isLeaving }: UpstreamState): boolean {
    return registration.state === RegistrationState.ready && !isLeaving;
}

function isUsable(upstreamState: UpstreamState, nowMs: number): boolean {
    return isPresent(upstreamState) && upstreamState.backOffUntilMs <= nowMs;
}
