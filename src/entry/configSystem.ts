import type { Catalogue } from "../catalogue/model.js";
import type { EntryId } from "../core/ids.js";
import type { ConfigLease, ConfirmAnswer } from "../membership/configLease.js";
import type { PeerTable } from "../membership/peerTable.js";
import type { EntryEffect, EntryEvent, PeerMessage } from "./messages.js";

const syncIntervalMs = 500;
/** Peers are asked when control has not confirmed the revision for this long. */
const askPeersAfterMs = 1000;
const askPeersIntervalMs = 300;

/** Keeps the configuration lease confirmed: by control, or else by peers. */
export class ConfigSystem {
    private syncedAtMs = Number.NEGATIVE_INFINITY;
    private askedAtMs = Number.NEGATIVE_INFINITY;

    constructor(
        private readonly lease: ConfigLease,
        private readonly peers: PeerTable,
        private readonly onCatalogue: (catalogue: Catalogue) => void,
    ) {}

    tick(nowMs: number): EntryEffect[] {
        const effects: EntryEffect[] = [];
        if (nowMs - this.syncedAtMs >= syncIntervalMs) {
            this.syncedAtMs = nowMs;
            effects.push({ kind: "sync-control", revision: this.lease.catalogue.revision });
        }
        const isOverdue = this.lease.confirmationAgeMs(nowMs) > askPeersAfterMs;
        if (isOverdue && nowMs - this.askedAtMs >= askPeersIntervalMs) {
            effects.push(...this.askPeers(nowMs));
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
                return effects.length > 0 ? [...effects, ...this.askPeers(nowMs)] : [];
            }
            default:
                return [];
        }
    }

    /** A restarted entry has no entry list and asks every peer that has contacted it. */
    private askPeers(nowMs: number): EntryEffect[] {
        this.askedAtMs = nowMs;
        this.lease.ask(nowMs);
        return this.peers.allPeers().map(peer => send(peer.id, "config.confirm", { askedAtMs: nowMs }));
    }

    /** An entry that was never confirmed may hold an old revision and does not count towards a majority. */
    private answerConfirm(from: EntryId, question: { readonly askedAtMs: number; }): EntryEffect[] {
        if (!this.lease.wasConfirmed) {
            return [];
        }
        const answer: ConfirmAnswer = { askedAtMs: question.askedAtMs, revision: this.lease.catalogue.revision };
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
