import type { StateMachine } from "./stateMachine.js";

/** Outcome of a proposed change. */
export type ProposalOutcome<Result> =
    | { readonly kind: "applied"; readonly result: Result; }
    /** The change was not accepted and will not be applied. */
    | { readonly kind: "refused"; }
    /** The change may or may not become durable. */
    | { readonly kind: "unknown"; };

/** Interface of a replicated log to the services of a control VM. */
export abstract class ReplicatedLog<Machine extends StateMachine, Change, Result> {
    /** State after all records that this VM knows to be committed. */
    abstract readonly state: Machine;
    abstract readonly selfId: string;
    abstract readonly isLeader: boolean;
    /** Peer address of the leader, when another VM leads. */
    abstract readonly leaderAddress: string | undefined;
    abstract propose(change: Change): Promise<ProposalOutcome<Result>>;
    /** Returns whether a quorum round that started after the call confirmed that this VM leads. */
    abstract confirmLeadership(): Promise<boolean>;
}
