import { type Catalogue, emptyCatalogue } from "../catalogue/model.js";
import type { EntryId } from "../core/ids.js";

/** An entry serves only if its catalogue revision was confirmed within this time. */
export const confirmationLifetimeMs = 3000;
/** Answers of peers count only within this time after the start of their round. */
const roundTimeoutMs = 1500;

/** An answer of a peer to `config.confirm`. */
export interface ConfirmAnswer {
    /** Copied unchanged from the request. */
    readonly askedAtMs: number;
    readonly revision: number;
}

/** Result of a peer's answer. */
export interface ConfirmResult {
    /** Whether the peer has a newer catalogue, which must be fetched. */
    readonly mustFetch: boolean;
}

/** Holds an entry's catalogue and when its revision was last confirmed to be in force. */
export class ConfigLease {
    catalogue: Catalogue = emptyCatalogue;
    /**
     * Revision of the first answer that a quorum of control VMs confirmed. Earlier incarnations of this entry cannot
     * have used a higher revision, because they ended before any was created.
     */
    firstControlRevision: number | undefined;
    private confirmedAtMs = Number.NEGATIVE_INFINITY;
    private round: { askedAtMs: number; revision: number; confirmingIds: Set<EntryId>; } | undefined;

    constructor(private readonly selfId: EntryId, private readonly region: string) {}

    /** Whether a revision has been confirmed since this process started. */
    get wasConfirmed(): boolean {
        return this.confirmedAtMs !== Number.NEGATIVE_INFINITY;
    }

    isConfirmed(nowMs: number): boolean {
        return nowMs - this.confirmedAtMs <= confirmationLifetimeMs;
    }

    /** Age of the last confirmation; infinite when there was none. */
    confirmationAgeMs(nowMs: number): number {
        return nowMs - this.confirmedAtMs;
    }

    /** Applies a catalogue. Returns false when it is not newer than the current one. */
    apply(catalogue: Catalogue): boolean {
        if (catalogue.revision <= this.catalogue.revision) {
            return false;
        }
        this.catalogue = catalogue;
        this.round = undefined;
        return true;
    }

    /** Applies an answer of a control VM to a request sent at `sentAtMs`. */
    applyControlAnswer(isQuorumConfirmed: boolean, revision: number, sentAtMs: number): void {
        if (isQuorumConfirmed) {
            this.firstControlRevision ??= revision;
        }
        if (isQuorumConfirmed && revision > 0 && revision <= this.catalogue.revision) {
            this.confirm(sentAtMs);
        }
    }

    /** Starts a round of `config.confirm` requests to peers. */
    startRound(nowMs: number): void {
        this.round = { askedAtMs: nowMs, revision: this.catalogue.revision, confirmingIds: new Set() };
        this.evaluateRound();
    }

    /** Applies a peer's answer to `config.confirm`. */
    applyPeerAnswer(from: EntryId, answer: ConfirmAnswer, nowMs: number): ConfirmResult {
        if (answer.revision > this.catalogue.revision) {
            return { mustFetch: true };
        }
        const { round } = this;
        const isCurrent = round !== undefined && round.askedAtMs === answer.askedAtMs &&
            nowMs - round.askedAtMs <= roundTimeoutMs;
        if (isCurrent && this.regionEntryIds().includes(from)) {
            round.confirmingIds.add(from);
            this.evaluateRound();
        }
        return { mustFetch: false };
    }

    /** Returns the ids of this region's entries in the catalogue. */
    regionEntryIds(): readonly EntryId[] {
        return Object.values(this.catalogue.entryVms).filter(vm => vm.region === this.region).map(vm => vm.id);
    }

    /**
     * Confirms the revision when a majority of the region's entries has no newer one, because a majority stores each
     * accepted change. This entry counts itself only if its revision was confirmed since its start: a restarted entry
     * may have stored the change before and lost it.
     */
    private evaluateRound(): void {
        const { round } = this;
        const entryIds = this.regionEntryIds();
        if (round === undefined || round.revision !== this.catalogue.revision || entryIds.length === 0) {
            return;
        }
        const isSelfCounted = this.wasConfirmed && entryIds.includes(this.selfId);
        const count = round.confirmingIds.size + (isSelfCounted ? 1 : 0);
        if (count > Math.floor(entryIds.length / 2)) {
            this.confirm(round.askedAtMs);
        }
    }

    private confirm(atMs: number): void {
        this.confirmedAtMs = Math.max(this.confirmedAtMs, atMs);
    }
}
