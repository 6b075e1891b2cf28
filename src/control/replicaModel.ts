import type { ControlVmId } from "../core/ids.js";
import type { RandomSource } from "../core/random.js";
import type { PersistedState } from "./messages.js";
import type { ReplicaLimits } from "./replicaState.js";
import type { StateMachine } from "./stateMachine.js";

/** Current role of a replica. */
export const ReplicaRole = {
    leader: "leader",
    follower: "follower",
    candidate: "candidate",
    learner: "learner",
} as const;

export type ReplicaRole = typeof ReplicaRole[keyof typeof ReplicaRole];

/** Options of a replica. `persisted` is the state that was loaded from its disk. */
export interface ReplicaOptions {
    readonly selfId: ControlVmId;
    readonly persisted: PersistedState;
    readonly machine: StateMachine;
    readonly random: RandomSource;
    readonly nowMs: number;
    readonly limits?: ReplicaLimits;
}

/** Last contact with another replica: its time, and the revision of the latest answer. */
export interface PeerContact {
    readonly atMs: number;
    readonly revision: number | undefined;
}
