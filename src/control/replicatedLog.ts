import type { StateMachine } from "./stateMachine.js";

/** How a proposed change ended. */
export type ProposalEnd<Result> =
    | { readonly kind: "applied"; readonly result: Result; }
    /** The change was not taken and will not be made. */
    | { readonly kind: "refused"; }
    /** Whether the change becomes durable is not known. */
    | { readonly kind: "unknown"; };

/** A replicated log, as the services of a control VM use it. */
export abstract class ReplicatedLog<Machine extends StateMachine, Change, Result> {
    /** Holds the effect of all records that this VM knows to be durable at a majority. */
    abstract readonly state: Machine;
    abstract readonly selfId: string;
    abstract readonly isLeader: boolean;
    /** Peer address of the leader, when another VM leads. */
    abstract readonly leaderAddress: string | undefined;
    abstract propose(change: Change): Promise<ProposalEnd<Result>>;
    /** Returns whether a quorum round that started after the call confirmed that this VM leads. */
    abstract confirmLeadership(): Promise<boolean>;
}
