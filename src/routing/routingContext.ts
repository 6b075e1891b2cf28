import type { Catalogue } from "../catalogue/model.js";
import type { AttemptId, EntryId, ServiceName, UpstreamId } from "../core/ids.js";
import type { RandomSource } from "../core/random.js";
import type { EntryEffect } from "../entry/messages.js";
import type { UpstreamRow } from "../membership/view.js";
import type { RouteDecision } from "../requests/router.js";

/** State and functions that `LocalRouting` gets from its entry. */
export interface LocalRoutingContext {
    readonly selfId: EntryId;
    readonly availabilityZone: string;
    readonly random: RandomSource;
    readonly catalogue: () => Catalogue;
    readonly activeEntryIds: (nowMs: number) => readonly EntryId[];
    readonly listEligible: (service: ServiceName, nowMs: number) => readonly UpstreamRow[];
}

/** State and functions that `ServiceSlots` gets from its entry. */
export interface ServiceSlotsContext extends LocalRoutingContext {
    readonly findUpstream: (service: ServiceName, id: UpstreamId) => UpstreamRow | undefined;
    readonly livePeerIds: (nowMs: number) => readonly EntryId[];
    readonly emit: (effect: EntryEffect) => void;
    readonly emitDecision: (attemptId: AttemptId, decision: RouteDecision) => void;
}
