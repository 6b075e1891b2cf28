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
    /** Maximum age of a claim at the dispatch of its request. */
    readonly maxClaimAgeMs: number;
    /** Maximum number of finished claims that the recorder keeps. */
    readonly maxFinishedClaims: number;
    readonly random: RandomSource;
    readonly lists: ActiveEntryLists;
    readonly peerIncarnation: (id: EntryId) => number | undefined;
    readonly table: ClaimTable;
    readonly replica: ClaimReplica;
    readonly recorder: ClaimRecorder;
    readonly outbox: Outbox;
}
