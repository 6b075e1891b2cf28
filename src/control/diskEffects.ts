import type { ControlStore } from "../storage/controlStore.js";
import type { ControlEffect } from "./messages.js";

/** Does a disk effect other than `sync`, which the caller can do once for a batch; ignores other effects. */
export function performOnDisk(store: ControlStore, effect: ControlEffect): void {
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
