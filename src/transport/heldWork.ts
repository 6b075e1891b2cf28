/** Limit of what is held for one peer; beyond it, the oldest is dropped, whose caller has most likely given up. */
const maxHeldCount = 256;

interface HeldItem {
    readonly run: () => void;
    readonly expiresAtMs: number;
}

/** Calls and answers that wait until a peer has read earlier answers, in order of arrival. */
export class HeldWork {
    private items: HeldItem[] = [];

    get count(): number {
        return this.items.length;
    }

    /** Holds an action; an undefined `timeoutMs` comes from callers of earlier versions, whose calls do not expire. */
    add(run: () => void, timeoutMs: number | undefined, nowMs: number): void {
        this.items.push({ run, expiresAtMs: nowMs + (timeoutMs ?? Infinity) });
        this.items.splice(0, this.items.length - maxHeldCount);
    }

    /** Removes and returns the first action whose caller still waits, or undefined. */
    takeNext(nowMs: number): (() => void) | undefined {
        const position = this.items.findIndex(({ expiresAtMs }) => nowMs < expiresAtMs);
        const next = this.items.at(position === -1 ? this.items.length : position);
        this.items = position === -1 ? [] : this.items.slice(position + 1);
        return next?.run;
    }
}
