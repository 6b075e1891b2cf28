import { ServiceClass } from "../catalogue/model.js";

const classPriority: Record<ServiceClass, number> = { interactive: 0, standard: 1, batch: 2 };

/** A queued slot request. */
export interface Waiter {
    readonly class: ServiceClass;
    readonly deadlineAtMs: number;
}

/** Priority queue of waiters, ordered by class, then by deadline. */
export class WaitQueue<T extends Waiter> {
    private readonly items = new Map<string, T>();
    private readonly order: string[] = [];

    get size(): number {
        return this.items.size;
    }

    /** Adds a waiter. Replaces a queued one with the same key, e.g. when its request was sent again. */
    add(key: string, waiter: T): void {
        this.remove(key);
        const position = this.positionOf(waiter);
        this.order.splice(position, 0, key);
        this.items.set(key, waiter);
    }

    has(key: string): boolean {
        return this.items.has(key);
    }

    /** Removes a waiter; returns false when it is not queued. */
    remove(key: string): boolean {
        if (!this.items.delete(key)) {
            return false;
        }
        this.order.splice(this.order.indexOf(key), 1);
        return true;
    }

    /** Iterates over a snapshot in priority order, without waiters that are removed meanwhile. */
    *entries(): Iterable<[key: string, waiter: T]> {
        for (const key of [...this.order]) {
            const waiter = this.items.get(key);
            if (waiter !== undefined) {
                yield [key, waiter];
            }
        }
    }

    first(): [key: string, waiter: T] | undefined {
        const key = this.order[0];
        const waiter = key === undefined ? undefined : this.items.get(key);
        return waiter === undefined ? undefined : [key, waiter];
    }

    private positionOf(waiter: T): number {
        let low = 0;
        let high = this.order.length;
        while (low < high) {
            const middle = (low + high) >> 1;
            if (isBefore(waiter, this.items.get(this.order[middle])!)) {
                high = middle;
            }
            else {
                low = middle + 1;
            }
        }
        return low;
    }
}

function isBefore(a: Waiter, b: Waiter): boolean {
    const difference = classPriority[a.class] - classPriority[b.class];
    return difference < 0 || difference === 0 && a.deadlineAtMs < b.deadlineAtMs;
}
