import type { ServiceClass } from "../catalogue/model.js";
import type { AttemptId, ServiceName, UpstreamId } from "../core/ids.js";
import type { RouteDecision } from "../requests/router.js";
import type { SampleKind } from "./instanceHealth.js";

/** Methods of the slot protocol between the entries and a service's owner entry. */
export const SlotMethod = {
    acquire: "slot.acquire",
    grant: "slot.grant",
    release: "slot.release",
    /** Owner to entry: requests the slots that the entry uses. */
    sync: "slot.sync",
    /** Entry to owner: the slots that the entry uses and its share of the measuring budget. */
    held: "slot.held",
    /** Entry to entry: load reports, for policies that use them. */
    report: "slot.report",
} as const;

export type SlotMethod = typeof SlotMethod[keyof typeof SlotMethod];

/** Requests a slot from the owner; the attempt id correlates the grant. */
export interface AcquireParams {
    readonly service: ServiceName;
    readonly attemptId: AttemptId;
    readonly class: ServiceClass;
    /** Time until the deadline; a point in time would not be valid on the owner's clock. */
    readonly remainingMs: number;
    readonly avoid: readonly UpstreamId[];
    readonly availabilityZone: string;
    /** Retries and hedges do not count against requests per second. */
    readonly isRetry: boolean;
}

/** The owner's answer. `queued` means that a decision follows, `none` that the entry has to route locally. */
export interface GrantParams {
    readonly service: ServiceName;
    readonly attemptId: AttemptId;
    readonly decision: RouteDecision | { readonly kind: "queued"; } | { readonly kind: "none"; };
}

/** Releases a slot, with the attempt's outcome as a health sample. */
export interface ReleaseParams {
    readonly service: ServiceName;
    readonly attemptId: AttemptId;
    readonly kind: SampleKind;
    readonly latencyMs: number;
}

/** One slot in use. */
export interface HeldSlot {
    readonly attemptId: AttemptId;
    readonly upstreamId: UpstreamId;
}

/** All slots of a service that an entry uses. */
export interface HeldParams {
    readonly service: ServiceName;
    readonly slots: readonly HeldSlot[];
    /** Whether the entry sends its slot requests to the receiver. */
    readonly isOwnerAccepted: boolean;
    /** Probe time in upstream milliseconds that the entry transfers to the receiver. */
    readonly probeMs: number;
}

/** Requests `slot.held` from an entry. */
export interface SyncParams {
    readonly service: ServiceName;
}

/** Load reports of instances. */
export interface ReportParams {
    readonly service: ServiceName;
    readonly reports: readonly SharedReport[];
}

/** A load report that the sending entry received, with its age. */
export interface SharedReport {
    readonly upstreamId: UpstreamId;
    readonly inFlight: number;
    readonly ageMs: number;
}
