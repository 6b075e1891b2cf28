import { type Catalogue, emptyCatalogue } from "../catalogue/model.js";
import type { EntryId } from "../core/ids.js";

/** An entry serves only while its revision was confirmed within this time. */
export const confirmationLifeMs = 3000;
/** Answers to a question that is older than this do not count. */
const questionLifeMs = 1500;

/** An answer of a peer to `config.confirm`. */
export interface ConfirmAnswer {
    /** The time of the question, returned unchanged. */
    readonly askedAtMs: number;
    readonly revision: number;
}

/** What to do after an answer. */
export interface ConfirmResult {
    /** The answering peer holds a newer catalogue, which has to be fetched. */
    readonly mustFetch: boolean;
}

/** The catalogue that an entry holds, and when it was last confirmed to be in force. */
export class ConfigLease {
    catalogue: Catalogue = emptyCatalogue;
    /**
     * Revision of the first answer that a quorum of control VMs confirmed. No earlier incarnation of this entry can have
     * used a higher revision, because none existed when this process was already running.
     */
    firstControlRevision: number | undefined;
    private confirmedAtMs = Number.NEGATIVE_INFINITY;
    private question: { askedAtMs: number; revision: number; answered: Set<EntryId>; } | undefined;

    constructor(private readonly selfId: EntryId, private readonly region: string) {}

    /** Whether the revision has ever been confirmed since this process started. */
    get wasConfirmed(): boolean {
        return this.confirmedAtMs !== Number.NEGATIVE_INFINITY;
    }

    isConfirmed(nowMs: number): boolean {
        return nowMs - this.confirmedAtMs <= confirmationLifeMs;
    }

    /** Age of the last confirmation; infinite when there was none. */
    confirmationAgeMs(nowMs: number): number {
        return nowMs - this.confirmedAtMs;
    }

    /** Applies a catalogue. Returns false when it is not newer than the one held. */
    apply(catalogue: Catalogue): boolean {
        if (catalogue.revision <= this.catalogue.revision) {
            return false;
        }
        this.catalogue = catalogue;
        this.question = undefined;
        return true;
    }

    /** Applies an answer of control to a question sent at `sentAtMs`. */
    applyControlAnswer(isQuorumConfirmed: boolean, revision: number, sentAtMs: number): void {
        if (isQuorumConfirmed) {
            this.firstControlRevision ??= revision;
        }
        if (isQuorumConfirmed && revision > 0 && revision <= this.catalogue.revision) {
            this.confirm(sentAtMs);
        }
    }

    /** Starts a round of questions to peers. */
    ask(nowMs: number): void {
        this.question = { askedAtMs: nowMs, revision: this.catalogue.revision, answered: new Set() };
        this.settle();
    }

    /** Applies a peer's answer to `config.confirm`. */
    applyPeerAnswer(from: EntryId, answer: ConfirmAnswer, nowMs: number): ConfirmResult {
        if (answer.revision > this.catalogue.revision) {
            return { mustFetch: true };
        }
        const { question } = this;
        const isCurrent = question !== undefined && question.askedAtMs === answer.askedAtMs &&
            nowMs - question.askedAtMs <= questionLifeMs;
        if (isCurrent && this.regionEntryIds().includes(from)) {
            question.answered.add(from);
            this.settle();
        }
        return { mustFetch: false };
    }

    /** Entries of this region in the entry list. */
    regionEntryIds(): readonly EntryId[] {
        return Object.values(this.catalogue.entryVms).filter(vm => vm.region === this.region).map(vm => vm.id);
    }

    /**
     * An accepted change is held by a majority of the region's entries. This entry counts towards the majority of its
     * own question only when it was confirmed before: a restarted entry may be one of those that held the change and
     * has forgotten it.
     */
    private settle(): void {
        const { question } = this;
        const entryIds = this.regionEntryIds();
        if (question === undefined || question.revision !== this.catalogue.revision || entryIds.length === 0) {
            return;
        }
        const isSelfCounted = this.wasConfirmed && entryIds.includes(this.selfId);
        const count = question.answered.size + (isSelfCounted ? 1 : 0);
        if (count > Math.floor(entryIds.length / 2)) {
            this.confirm(question.askedAtMs);
        }
    }

    private confirm(atMs: number): void {
        this.confirmedAtMs = Math.max(this.confirmedAtMs, atMs);
    }
}
