import type { UpstreamId } from "../core/ids.js";
import { type Registration, RegistrationState } from "./model.js";

/** Lives of instances that have ended; kept so that their late messages do not bring them back. */
const maxEnded = 4096;

/** A life of an instance that has ended. */
interface EndedLife {
    readonly id: UpstreamId;
    readonly bornAtMs: number;
}

/** The instances that have announced themselves, one row per id. */
export class RegistrationTable {
    private readonly rows = new Map<UpstreamId, Registration>();
    private readonly ended = new Map<UpstreamId, EndedLife>();

    get size(): number {
        return this.rows.size;
    }

    list(): readonly Registration[] {
        return [...this.rows.values()];
    }

    get(id: UpstreamId): Registration | undefined {
        return this.rows.get(id);
    }

    /** Returns whether a message would change the table. */
    isNews(message: Registration): boolean {
        if (this.isStale(message)) {
            return false;
        }
        const row = this.rows.get(message.id);
        return row === undefined || row.bornAtMs !== message.bornAtMs || row.state !== message.state ||
            row.address !== message.address || row.service !== message.service || row.slots !== message.slots;
    }

    /** Takes a message; returns the ids of the rows that have changed or ended. */
    register(message: Registration): readonly UpstreamId[] {
        if (!this.isNews(message)) {
            return [];
        }
        // The address belongs to whoever started there last.
        const former = this.list().filter(row => row.address === message.address && row.id !== message.id);
        former.forEach(row => {
            this.rows.delete(row.id);
            this.noteEnd(row);
        });
        this.ended.delete(message.id);
        this.rows.set(message.id, message);
        return [message.id, ...former.map(row => row.id)];
    }

    /**
     * Ends a life. `bornAtMs` names it; without it the one in the table ends. When the end is not final, a later message
     * of the same life brings the instance back.
     */
    end(id: UpstreamId, bornAtMs: number | undefined, isFinal: boolean): boolean {
        const row = this.rows.get(id);
        if (row !== undefined && bornAtMs !== undefined && bornAtMs < row.bornAtMs) {
            return false;
        }
        if (isFinal) {
            // Also without a row: messages of an instance can be held up until after its departure.
            this.noteEnd({ id, bornAtMs: Math.max(bornAtMs ?? 0, row?.bornAtMs ?? 0) });
        }
        return this.rows.delete(id);
    }

    toImage(): readonly [readonly Registration[], readonly EndedLife[]] {
        return [this.list(), [...this.ended.values()]];
    }

    fromImage([rows, ended]: readonly [readonly Registration[], readonly EndedLife[]]): void {
        this.rows.clear();
        this.ended.clear();
        rows.forEach(row => this.rows.set(row.id, row));
        ended.forEach(row => this.ended.set(row.id, row));
    }

    private noteEnd({ id, bornAtMs }: EndedLife): void {
        const known = this.ended.get(id)?.bornAtMs ?? 0;
        this.ended.delete(id);
        this.ended.set(id, { id, bornAtMs: Math.max(known, bornAtMs) });
        for (const oldest of this.ended.keys()) {
            if (this.ended.size <= maxEnded) {
                break;
            }
            this.ended.delete(oldest);
        }
    }

    /** A message of an earlier life, or one that was sent before the state that is known. */
    private isStale(message: Registration): boolean {
        const row = this.rows.get(message.id);
        if (row !== undefined && isBefore(message, row)) {
            return true;
        }
        const ended = this.ended.get(message.id);
        if (ended !== undefined && message.bornAtMs <= ended.bornAtMs) {
            return true;
        }
        return this.list().some(other =>
            other.address === message.address && other.id !== message.id && other.bornAtMs > message.bornAtMs
        );
    }
}

/** Draining is final in one life, so a message that says `ready` after it was held up on its way. */
function isBefore(message: Registration, row: Registration): boolean {
    if (message.bornAtMs !== row.bornAtMs) {
        return message.bornAtMs < row.bornAtMs;
    }
    return row.state === RegistrationState.draining && message.state === RegistrationState.ready;
}
