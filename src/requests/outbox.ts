import type { EntryId } from "../core/ids.js";
import type { EntryEffect } from "../entry/messages.js";

/** Collects effects until the shell takes them. */
export class Outbox {
    private effects: EntryEffect[] = [];

    push(effect: EntryEffect): void {
        this.effects.push(effect);
    }

    /** Queues a message to a peer. */
    send(to: EntryId, method: string, params: unknown): void {
        this.effects.push({ kind: "send-peer", to, message: { method, params } });
    }

    /** Queues an increment of a counter. */
    count(metric: string, tags: Readonly<Record<string, string>> = {}): void {
        this.effects.push({ kind: "count", metric, value: 1, tags });
    }

    /** Returns the queued effects and empties the queue. */
    take(): EntryEffect[] {
        const effects = this.effects;
        this.effects = [];
        return effects;
    }
}
