import type { Catalogue } from "../catalogue/model.js";
import type { AttemptId, EntryId, ServiceName, UpstreamId } from "../core/ids.js";
import type { RandomSource } from "../core/random.js";
import type { EntryEffect } from "../entry/messages.js";
import type { UpstreamRow } from "../membership/view.js";
import type { RouteDecision } from "../requests/router.js";

/** What a service's local routing needs from its entry. */
export interface ServiceRouteContext {
    readonly selfId: EntryId;
    readonly availabilityZone: string;
    readonly random: RandomSource;
    readonly catalogue: () => Catalogue;
    readonly roster: (nowMs: number) => readonly EntryId[];
    readonly eligible: (service: ServiceName, nowMs: number) => readonly UpstreamRow[];
}

/** What the slots of a service need from their entry. */
export interface ServiceSlotsContext extends ServiceRouteContext {
    readonly findUpstream: (service: ServiceName, id: UpstreamId) => UpstreamRow | undefined;
    readonly livePeerIds: (nowMs: number) => readonly EntryId[];
    readonly emit: (effect: EntryEffect) => void;
    readonly decide: (attemptId: AttemptId, decision: RouteDecision) => void;
}
