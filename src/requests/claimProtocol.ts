import type { Catalogue } from "../catalogue/model.js";
import type { EntryId } from "../core/ids.js";
import type { RandomSource } from "../core/random.js";
import type { PeerMessage } from "../entry/messages.js";
import type { PeerView } from "../membership/view.js";
import { ClaimCoordinator } from "./claimCoordinator.js";
import { ClaimRecorder } from "./claimRecorder.js";
import { ClaimReplica } from "./claimReplica.js";
import { ClaimSync } from "./claimSync.js";
import { ClaimTable } from "./claimTable.js";
import { ActiveEntryLists } from "./entryLists.js";
import type { Outbox } from "./outbox.js";

/** Limits and retention of claims. */
export interface ClaimSettings {
    /** Time for which an outcome is kept after it was recorded. */
    readonly retentionMs: number;
    /** Maximum age of a claim at the dispatch of its request. */
    readonly maxClaimAgeMs: number;
    /** Maximum number of claims that an entry stores as a replica, and of finished claims it keeps as a claimant. */
    readonly maxClaims: number;
    /** Maximum total size of retained outcomes. */
    readonly maxRetainedBytes: number;
}

/** Default `ClaimSettings`. */
export const defaultClaimSettings: ClaimSettings = {
    retentionMs: 10 * 60_000,
    maxClaimAgeMs: 30_000,
    maxClaims: 100_000,
    maxRetainedBytes: 32 * 1024 * 1024,
};

/** Options of `ClaimProtocol`. */
export interface ClaimProtocolOptions {
    readonly selfId: EntryId;
    readonly incarnation: number;
    readonly catalogue: () => Catalogue;
    readonly peers: PeerView;
    readonly random: RandomSource;
    /**
     * First catalogue revision that a quorum of control VMs confirmed to this process; undefined before that. No
     * earlier incarnation granted claims under an entry list with a higher revision.
     */
    readonly firstControlRevision?: () => number | undefined;
    readonly settings: ClaimSettings;
    readonly outbox: Outbox;
}

/** Claim protocol at one entry: the claimant side, the replica side and the recovery of a restarted replica. */
export class ClaimProtocol {
    readonly settings: ClaimSettings;
    readonly table: ClaimTable;
    readonly coordinator: ClaimCoordinator;
    private readonly sync: ClaimSync;
    private readonly replica: ClaimReplica;
    private readonly recorder: ClaimRecorder;

    constructor(options: ClaimProtocolOptions) {
        const { selfId, incarnation, settings, outbox } = options;
        this.settings = settings;
        const { retentionMs, maxClaimAgeMs, maxClaims, maxRetainedBytes } = settings;
        const lists = new ActiveEntryLists(options.catalogue, retentionMs);
        this.table = new ClaimTable({ retentionMs, maxStoredClaims: maxClaims, maxRetainedBytes });
        this.sync = new ClaimSync(
            {
                selfId,
                incarnation,
                abstentionMs: retentionMs + maxClaimAgeMs,
                entryLists: nowMs => lists.listActive(nowMs),
                isNewList: list => list.revision > (options.firstControlRevision?.() ?? Number.POSITIVE_INFINITY),
            },
            this.table,
            outbox,
        );
        this.replica = new ClaimReplica(incarnation, this.table, this.sync, outbox);
        this.recorder = new ClaimRecorder(retentionMs, outbox);
        this.coordinator = new ClaimCoordinator({
            selfId,
            incarnation,
            maxClaimAgeMs,
            maxFinishedClaims: maxClaims,
            random: options.random,
            lists,
            peerIncarnation: id => id === selfId ? incarnation : options.peers.findPeer(id)?.incarnation,
            table: this.table,
            replica: this.replica,
            recorder: this.recorder,
            outbox,
        });
    }

    /** Handles a `claim.*` message of another entry. */
    handle(from: EntryId, message: PeerMessage, nowMs: number): void {
        this.replica.handle(from, message, nowMs);
        this.coordinator.handle(from, message, nowMs);
    }

    tick(nowMs: number): void {
        this.table.tick(nowMs);
        this.sync.tick(nowMs);
        this.recorder.tick(nowMs);
        this.coordinator.tick(nowMs);
    }
}
