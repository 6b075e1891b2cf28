import type { UpstreamId } from "../core/ids.js";
import type { Fingerprint } from "../requests/suspectTable.js";

/** An incarnation of an instance that was lost while a request of this fingerprint was in flight on it. */
export type LossRow = readonly [fingerprint: Fingerprint, id: UpstreamId, bornAtMs: number];

/** A fingerprint with the number of instances that were lost with it. */
export type SuspectRow = readonly [fingerprint: Fingerprint, lossCount: number];

/** What an entry saw, or what a control VM heard from its entries. */
export interface SuspectReport {
    readonly losses: readonly LossRow[];
    /** Fingerprints of suspects that an instance has survived. */
    readonly survived: readonly Fingerprint[];
}

/** Suspects for an entry, as its control VM knows them. */
export interface EntrySuspects {
    /** Changes with the rows. */
    readonly version: number;
    readonly rows: readonly SuspectRow[];
}
