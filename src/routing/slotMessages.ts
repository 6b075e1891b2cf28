import type { ServiceClass } from "../catalogue/model.js";
import type { AttemptId, ServiceName, UpstreamId } from "../core/ids.js";
import type { RouteDecision } from "../requests/router.js";
import type { SampleKind } from "./instanceHealth.js";

/** Methods of the messages between an entry and a service's owner entry. */
export const SlotMethod = {
    acquire: "slot.acquire",
    grant: "slot.grant",
    release: "slot.release",
    /** Owner to entry: asks which slots the entry uses. */
    sync: "slot.sync",
    /** Entry to owner: the slots it uses and its share of the measuring budget. */
    held: "slot.held",
    /** Load reports that entries share, for policies that use them. */
    report: "slot.report",
} as const;

export type SlotMethod = typeof SlotMethod[keyof typeof SlotMethod];

/** Asks the owner for a slot; the attempt id pairs the grant with it. */
export interface AcquireParams {
    readonly service: ServiceName;
    readonly attemptId: AttemptId;
    readonly class: ServiceClass;
    /** Time left until the deadline; clocks of two processes differ. */
    readonly remainingMs: number;
    readonly avoid: readonly UpstreamId[];
    readonly availabilityZone: string;
    /** Retries and hedges do not count against requests per second. */
    readonly isRetry: boolean;
}

/** The owner's answer. `queued` says that a decision follows. */
export interface GrantParams {
    readonly service: ServiceName;
    readonly attemptId: AttemptId;
    readonly decision: RouteDecision | { readonly kind: "queued"; } | { readonly kind: "none"; };
}

/** Gives a slot back, with what the attempt showed of the instance. */
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

/** All slots that an entry uses of a service. */
export interface HeldParams {
    readonly service: ServiceName;
    readonly slots: readonly HeldSlot[];
    /** Whether the entry sends its requests for slots to the receiver. */
    readonly isOwnerAccepted: boolean;
    /** Probe time in upstream milliseconds that the entry passes to the receiver. */
    readonly probeMs: number;
}

/** Asks an entry for `slot.held`. */
export interface SyncParams {
    readonly service: ServiceName;
}

/** Load reports of instances with their age. */
export interface ReportParams {
    readonly service: ServiceName;
    readonly reports: readonly SharedReport[];
}

/** One load report that another entry received. */
export interface SharedReport {
    readonly upstreamId: UpstreamId;
    readonly inFlight: number;
    readonly ageMs: number;
}
