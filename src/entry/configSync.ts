import type { Catalogue } from "../catalogue/model.js";
import type { EntryId } from "../core/ids.js";
import type { ConfigLease, ConfirmAnswer } from "../membership/configLease.js";
import type { PeerTable } from "../membership/peerTable.js";
import type { EntryEffect, EntryEvent, PeerMessage } from "./messages.js";

const syncIntervalMs = 500;
/** Age of the last confirmation after which peers are asked to confirm the revision. */
const peerConfirmDelayMs = 1000;
const peerConfirmIntervalMs = 300;

/** Renews the confirmation of the catalogue revision: through the control VMs, or else through peers. */
export class ConfigSync {
    private lastSyncAtMs = Number.NEGATIVE_INFINITY;
    private lastPeerRoundAtMs = Number.NEGATIVE_INFINITY;

    constructor(
        private readonly lease: ConfigLease,
        private readonly peers: PeerTable,
        private readonly onCatalogue: (catalogue: Catalogue) => void,
    ) {}

    tick(nowMs: number): EntryEffect[] {
        const effects: EntryEffect[] = [];
        if (nowMs - this.lastSyncAtMs >= syncIntervalMs) {
            this.lastSyncAtMs = nowMs;
            effects.push({ kind: "sync-control", revision: this.lease.catalogue.revision });
        }
        const isOverdue = this.lease.confirmationAgeMs(nowMs) > peerConfirmDelayMs;
        if (isOverdue && nowMs - this.lastPeerRoundAtMs >= peerConfirmIntervalMs) {
            effects.push(...this.requestPeerConfirmation(nowMs));
        }
        return effects;
    }

    handleControlAnswer(event: Extract<EntryEvent, { readonly kind: "control-answer"; }>): EntryEffect[] {
        const effects = event.catalogue === undefined ? [] : this.applyCatalogue(event.catalogue);
        this.lease.applyControlAnswer(event.isQuorumConfirmed, event.revision, event.sentAtMs);
        return effects;
    }

    handlePeerMessage(from: EntryId, message: PeerMessage, nowMs: number): EntryEffect[] {
        switch (message.method) {
            case "config.confirm":
                return this.answerConfirm(from, message.params as { readonly askedAtMs: number; });
            case "config.confirmed": {
                const { mustFetch } = this.lease.applyPeerAnswer(from, message.params as ConfirmAnswer, nowMs);
                return mustFetch ? [send(from, "config.fetch", {})] : [];
            }
            case "config.fetch":
                return [send(from, "config.catalogue", { catalogue: this.lease.catalogue })];
            case "config.catalogue": {
                const effects = this.applyCatalogue((message.params as { readonly catalogue: Catalogue; }).catalogue);
                return effects.length > 0 ? [...effects, ...this.requestPeerConfirmation(nowMs)] : [];
            }
            default:
                return [];
        }
    }

    /** Asks all known peers: a restarted entry has no list of entries, only the peers that have contacted it. */
    private requestPeerConfirmation(nowMs: number): EntryEffect[] {
        this.lastPeerRoundAtMs = nowMs;
        this.lease.startRound(nowMs);
        return this.peers.allPeers().map(peer => send(peer.id, "config.confirm", { askedAtMs: nowMs }));
    }

    /** An entry that was never confirmed may hold an old revision, and must not count towards a majority. */
    private answerConfirm(from: EntryId, confirmRequest: { readonly askedAtMs: number; }): EntryEffect[] {
        if (!this.lease.wasConfirmed) {
            return [];
        }
        const answer: ConfirmAnswer = { askedAtMs: confirmRequest.askedAtMs, revision: this.lease.catalogue.revision };
        return [send(from, "config.confirmed", answer)];
    }

    private applyCatalogue(catalogue: Catalogue): EntryEffect[] {
        if (!this.lease.apply(catalogue)) {
            return [];
        }
        this.onCatalogue(catalogue);
        const fields = { revision: catalogue.revision };
        return [{ kind: "log", level: "info", text: "applied a new revision of the catalogue", fields }];
    }
}

function send(to: EntryId, method: string, params: unknown): EntryEffect {
    return { kind: "send-peer", to, message: { method, params } };
}
