import type { VoterId } from "../core/ids.js";
import type { CatalogueState } from "./catalogueState.js";
import type { ChangeCommand, ChangeResult } from "./messages.js";
import type { VoterStatus } from "./operatorApi.js";

/** How a proposed change ended. */
export type ProposalEnd =
    | { readonly kind: "applied"; readonly result: ChangeResult; }
    /** The change was not taken and will not be made. */
    | { readonly kind: "refused"; }
    /** Whether the change becomes durable is not known. */
    | { readonly kind: "unknown"; };

/** The replicated log, as the services of a control VM use it. */
export abstract class CatalogueLog {
    /** Holds the effect of all records that this VM knows to be durable at a majority. */
    abstract readonly state: CatalogueState;
    abstract readonly selfId: VoterId;
    abstract readonly isLeader: boolean;
    /** Peer address of the leader, when another VM leads. */
    abstract readonly leaderAddress: string | undefined;
    abstract propose(change: ChangeCommand): Promise<ProposalEnd>;
    /** Returns whether a quorum round that started after the call confirmed that this VM leads. */
    abstract confirmLeadership(): Promise<boolean>;
    abstract listVoters(): readonly VoterStatus[];
}
