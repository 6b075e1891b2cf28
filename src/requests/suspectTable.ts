import { createHash } from "node:crypto";
import type { ServiceName, UpstreamId } from "../core/ids.js";
import type { RequestMetadata } from "./model.js";

/** Time for which the loss of an instance counts. */
export const lossWindowMs = 10 * 60_000;
const maxSuspects = 10_000;
const maxLosses = 2;
const expiryIntervalMs = 1000;

/** Identifies equal requests: hash of service, method, path and body hash. */
export type Fingerprint = string;

/** Loss of an instance while a request was in flight on it. */
export interface Loss {
    readonly fingerprint: Fingerprint;
    readonly service: ServiceName;
    readonly upstreamId: UpstreamId;
    readonly incarnation: number;
}

/** Whether a request may run, given the recent losses of its fingerprint. */
export const SuspectStatus = {
    clear: "clear",
    /** The next attempt is a trial, which needs a claim on the fingerprint. */
    suspect: "suspect",
    /** No further attempt until the losses have expired. */
    refused: "refused",
} as const;

export type SuspectStatus = typeof SuspectStatus[keyof typeof SuspectStatus];

interface TimedLoss {
    readonly loss: Loss;
    readonly atMs: number;
}

/** Losses of the last ten minutes by fingerprint. */
export class SuspectTable {
    private readonly losses = new Map<Fingerprint, TimedLoss[]>();
    private nextExpiryAtMs = 0;

    get size(): number {
        return this.losses.size;
    }

    /** Adds a loss; false if it is already known. Several reports of one lost instance are one loss. */
    add(loss: Loss, atMs: number): boolean {
        const known = this.losses.get(loss.fingerprint) ?? [];
        if (
            known.some(timedLoss =>
                timedLoss.loss.upstreamId === loss.upstreamId && timedLoss.loss.incarnation === loss.incarnation
            )
        ) {
            return false;
        }
        this.losses.set(loss.fingerprint, [...known, { loss, atMs }]);
        if (this.losses.size > maxSuspects) {
            const [oldest] = this.losses.keys();
            this.losses.delete(oldest);
        }
        return true;
    }

    /** Returns the number of instances that were recently lost with a fingerprint. */
    countLosses(fingerprint: Fingerprint, nowMs: number): number {
        return this.listRecent(fingerprint, nowMs).length;
    }

    /** Returns the recent losses of all fingerprints. */
    listLosses(nowMs: number): readonly Loss[] {
        return [...this.losses.keys()].flatMap(fingerprint => this.listRecent(fingerprint, nowMs));
    }

    /** Removes the losses of a fingerprint that an instance has survived; false if there were none. */
    clear(fingerprint: Fingerprint): boolean {
        return this.losses.delete(fingerprint);
    }

    suspectStatusOf(fingerprint: Fingerprint, nowMs: number): SuspectStatus {
        const lossCount = this.countLosses(fingerprint, nowMs);
        if (lossCount === 0) {
            return SuspectStatus.clear;
        }
        return lossCount < maxLosses ? SuspectStatus.suspect : SuspectStatus.refused;
    }

    private listRecent(fingerprint: Fingerprint, nowMs: number): readonly Loss[] {
        return (this.losses.get(fingerprint) ?? [])
            .filter(timedLoss => nowMs - timedLoss.atMs < lossWindowMs)
            .map(timedLoss => timedLoss.loss);
    }

    tick(nowMs: number): void {
        if (nowMs < this.nextExpiryAtMs) {
            return;
        }
        this.nextExpiryAtMs = nowMs + expiryIntervalMs;
        for (const fingerprint of this.losses.keys()) {
            if (this.suspectStatusOf(fingerprint, nowMs) === SuspectStatus.clear) {
                this.losses.delete(fingerprint);
            }
        }
    }
}

/** Returns the fingerprint of a request. */
export function fingerprintOf(
    request: Pick<RequestMetadata, "service" | "method" | "path" | "bodyHash">,
): Fingerprint {
    const { service, method, path, bodyHash } = request;
    return createHash("sha256").update(JSON.stringify([service, method, path, bodyHash ?? ""])).digest("base64");
}
