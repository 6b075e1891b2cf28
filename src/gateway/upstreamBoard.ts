import type { ServiceName, UpstreamId } from "../core/ids.js";
import { type Registration, RegistrationState } from "../directory/model.js";
import type { InstanceLoad } from "./dialect.js";

/** First and longest time that an upstream is left out after failures; doubles with each failure in a row. */
const firstEjectionMs = 250;
const maxEjectionMs = 4000;
/** Failures in a row before an upstream is left out. One failure can be the request's own fault. */
const failuresToEject = 2;
/** Weight of the newest outcome in the failure share. */
const failureWeight = 0.15;
/**
 * An upstream that answers is left out only when its failure share is above that of its service by this factor and this
 * share. When all upstreams shed load alike, leaving some out gives the others more to shed.
 */
const outlierFactor = 1.5;
const outlierShare = 0.1;

/** How a use of an upstream ended, as far as placement is concerned. */
export const UseOutcome = {
    good: "good",
    /** The upstream answered with a failure of its own. */
    failed: "failed",
    /** The upstream refused the request although it said that it had room. */
    refused: "refused",
    /** No answer: refused connection, reset, silence, damaged bytes. */
    broken: "broken",
} as const;

export type UseOutcome = typeof UseOutcome[keyof typeof UseOutcome];

/** What an entry knows of an upstream. */
export interface UpstreamRow {
    registration: Registration;
    /** Until when the upstream is slow after its start, in monotonic milliseconds. */
    warmUntilMs: number;
    /** When requests of this entry that are open were sent. */
    readonly openSentAtMs: Set<number>;
    /** Whether this entry has sent it a request. */
    isUsed: boolean;
    load: InstanceLoad | undefined;
    /** When the question that `load` answers was sent. */
    loadAskedAtMs: number;
    failuresInRow: number;
    /** Share of failed uses, in [0, 1]. */
    failureShare: number;
    ejectedUntilMs: number;
}

/** The upstreams that an entry knows, one row per id. */
export class UpstreamBoard {
    private readonly rows = new Map<UpstreamId, UpstreamRow>();

    set(registration: Registration, nowMs: number): void {
        const row = this.rows.get(registration.id);
        if (row !== undefined && row.registration.bornAtMs === registration.bornAtMs) {
            row.registration = registration;
            return;
        }
        this.rows.set(registration.id, {
            registration,
            warmUntilMs: nowMs + registration.warmupMs,
            openSentAtMs: new Set(),
            isUsed: false,
            load: undefined,
            loadAskedAtMs: -Infinity,
            failuresInRow: 0,
            failureShare: 0,
            ejectedUntilMs: -Infinity,
        });
    }

    delete(id: UpstreamId): void {
        this.rows.delete(id);
    }

    /** Drops all rows that are not named. */
    keepOnly(ids: ReadonlySet<UpstreamId>): void {
        [...this.rows.keys()].filter(id => !ids.has(id)).forEach(id => this.rows.delete(id));
    }

    list(): readonly UpstreamRow[] {
        return [...this.rows.values()];
    }

    countEjected(nowMs: number): number {
        return this.list().filter(row => row.ejectedUntilMs > nowMs).length;
    }

    /** Returns whether a new request may still go to a row that was chosen a moment ago. */
    isCurrent(row: UpstreamRow): boolean {
        return this.rows.get(row.registration.id) === row && row.registration.state === RegistrationState.ready;
    }

    /** Returns the upstreams of a service that may get new requests. All are returned when all are ejected. */
    listEligible(service: ServiceName, excluded: ReadonlySet<UpstreamId>, nowMs: number): readonly UpstreamRow[] {
        const ready = this.list().filter(({ registration }) =>
            registration.service === service && registration.state === RegistrationState.ready &&
            !excluded.has(registration.id)
        );
        const sound = ready.filter(row => row.ejectedUntilMs <= nowMs);
        return sound.length > 0 ? sound : ready;
    }

    /** Takes note of how a use ended; returns true when the upstream is left out from now on. */
    noteOutcome(row: UpstreamRow, outcome: UseOutcome, nowMs: number): boolean {
        const isFailure = outcome !== UseOutcome.good;
        row.failureShare += failureWeight * ((isFailure ? 1 : 0) - row.failureShare);
        row.failuresInRow = isFailure ? row.failuresInRow + 1 : 0;
        if (row.failuresInRow < failuresToEject || row.ejectedUntilMs > nowMs) {
            return false;
        }
        if (outcome !== UseOutcome.broken && !this.isOutlier(row)) {
            return false;
        }
        const ejectionMs = firstEjectionMs * 2 ** Math.min(10, row.failuresInRow - failuresToEject);
        row.ejectedUntilMs = nowMs + Math.min(maxEjectionMs, ejectionMs);
        return true;
    }

    private isOutlier(row: UpstreamRow): boolean {
        const peers = this.list().filter(other => other.registration.service === row.registration.service);
        const meanShare = peers.reduce((sum, other) => sum + other.failureShare, 0) / Math.max(1, peers.length);
        return row.failureShare > outlierFactor * meanShare + outlierShare;
    }
}
