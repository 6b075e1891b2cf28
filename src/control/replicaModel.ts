import type { VoterId } from "../core/ids.js";
import type { RandomSource } from "../core/random.js";
import type { PersistedState } from "./messages.js";
import type { ReplicaLimits } from "./replicaState.js";
import type { StateMachine } from "./stateMachine.js";

/** What a replica does at the moment. */
export const ReplicaRole = {
    leader: "leader",
    follower: "follower",
    candidate: "candidate",
    learner: "learner",
} as const;

export type ReplicaRole = typeof ReplicaRole[keyof typeof ReplicaRole];

/** Options of a replica. `persisted` is what its disk held at the start. */
export interface ReplicaOptions {
    readonly selfId: VoterId;
    readonly persisted: PersistedState;
    readonly machine: StateMachine;
    readonly random: RandomSource;
    readonly nowMs: number;
    readonly limits?: ReplicaLimits;
}

/** What a replica last heard from another one. */
export interface HeardMember {
    readonly atMs: number;
    readonly revision: number | undefined;
}
