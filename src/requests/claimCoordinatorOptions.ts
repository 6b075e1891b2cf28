import type { EntryId } from "../core/ids.js";
import type { RandomSource } from "../core/random.js";
import type { ClaimRecorder } from "./claimRecorder.js";
import type { ClaimReplica } from "./claimReplica.js";
import type { ClaimTable } from "./claimTable.js";
import type { ActiveEntryLists } from "./entryLists.js";
import type { Outbox } from "./outbox.js";

/** Options of `ClaimCoordinator`. */
export interface ClaimCoordinatorOptions {
    readonly selfId: EntryId;
    readonly incarnation: number;
    /** A claim is not dispatched when it is older. */
    readonly maxClaimAgeMs: number;
    /** Claims that were dispatched here and are remembered. */
    readonly maxFinished: number;
    readonly random: RandomSource;
    readonly lists: ActiveEntryLists;
    readonly peerIncarnation: (id: EntryId) => number | undefined;
    readonly table: ClaimTable;
    readonly replica: ClaimReplica;
    readonly recorder: ClaimRecorder;
    readonly outbox: Outbox;
}
