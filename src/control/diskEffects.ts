import type { ControlStore } from "../storage/controlStore.js";
import type { ControlEffect } from "./messages.js";

/** Performs a disk effect, except `sync`, which the caller can perform once per batch; ignores other effects. */
export function performDiskEffect(store: ControlStore, effect: ControlEffect): void {
    switch (effect.kind) {
        case "save-vote":
            store.saveVote(effect.term, effect.votedFor);
            break;
        case "append":
            store.append(effect.records);
            break;
        case "save-snapshot":
            store.saveSnapshot(effect.snapshot, effect.records);
            break;
    }
}
