import { createHash } from "node:crypto";
import { ageMs, type Clock, type Instant } from "../core/clock.js";
import type { EntryId } from "../core/ids.js";
import type { EntryListAnswer, EntryRow } from "./messages.js";

/**
 * Time from the start of a poll for which its answer is used. Longer than three polls of the same zone, so that entries
 * of a lost control VM stay known until they have attached to another one, which takes about a second.
 */
const listTtlMs = 2500;
/** Maximum number of removals kept for answers with changes; a poller that missed an older one gets the whole list. */
const maxRemovals = 1024;

/** State of an entry as known to a control VM; times are those of the VM's monotonic clock. */
export interface EntryState {
    readonly id: EntryId;
    readonly address: string;
    readonly availabilityZone: string;
    readonly isServing: boolean;
    /** Whether the entry serves only by relaying; not known of entries attached to other control VMs. */
    readonly isRelaying?: boolean;
    /** When the entry first reported this state to the control VM that it is attached to. */
    readonly sinceMs: number;
}

/** Versioned list of the entries attached to a control VM, for answers that contain only changes. */
export class EntryListHistory {
    private version = 0;
    private readonly rows = new Map<EntryId, { readonly state: EntryState; readonly changedAt: number; }>();
    private removals: { readonly id: EntryId; readonly changedAt: number; }[] = [];
    private oldestVersion = 0;

    /** `startVersion` increases with each start of the VM, so that a restarted one does not repeat a version. */
    constructor(startVersion: number) {
        this.version = startVersion;
        this.oldestVersion = startVersion;
    }

    /** Compares the list with the previous one and counts each difference as a change. */
    update(states: readonly EntryState[]): void {
        const ids = new Set(states.map(state => state.id));
        for (const id of [...this.rows.keys()].filter(known => !ids.has(known))) {
            this.rows.delete(id);
            this.removals.push({ id, changedAt: ++this.version });
        }
        for (const state of states) {
            if (this.rows.get(state.id)?.state.sinceMs !== state.sinceMs) {
                this.rows.set(state.id, { state, changedAt: ++this.version });
            }
        }
        const evicted = this.removals.splice(0, this.removals.length - maxRemovals);
        this.oldestVersion = evicted.at(-1)?.changedAt ?? this.oldestVersion;
    }

    /** Returns whether a poller with a version lacks changes. */
    hasNews(heldVersion: number): boolean {
        return heldVersion !== this.version;
    }

    /** Returns the changes since a version, or the whole list when they are not known. */
    describe(heldVersion: number, nowMs: number): EntryListAnswer {
        const { version } = this;
        if (heldVersion === version) {
            return { version };
        }
        const isFull = heldVersion < this.oldestVersion || heldVersion > version;
        const rows = [...this.rows.values()].filter(row => isFull || row.changedAt > heldVersion).map((
            { state },
        ): EntryRow => [state.id, state.address, state.availabilityZone, state.isServing, nowMs - state.sinceMs]);
        const removed = this.removals.filter(removal => removal.changedAt > heldVersion).map(removal => removal.id);
        return isFull ? { version, isFull, rows } : { version, rows, removed };
    }
}

interface PeerList {
    version: number;
    confirmedAt: Instant;
    readonly states: Map<EntryId, EntryState>;
}

/** Entries attached to other control VMs, as these answered. */
export class PeerEntryLists {
    private readonly lists = new Map<string, PeerList>();

    constructor(private readonly clock: Clock) {}

    /** Returns the version held of a control VM's list; 0 if none. */
    versionOf(peerAddress: string): number {
        return this.lists.get(peerAddress)?.version ?? 0;
    }

    /** Applies the answer to a poll that was sent at `sentAt`. */
    apply(peerAddress: string, { version, isFull, rows, removed }: EntryListAnswer, sentAt: Instant): void {
        const nowMs = this.clock.monotonicMs();
        const previous = isFull === true ? undefined : this.lists.get(peerAddress);
        const states = previous?.states ?? new Map<EntryId, EntryState>();
        removed?.forEach(id => states.delete(id));
        rows?.forEach(([id, address, availabilityZone, isServing, stateAgeMs]) =>
            states.set(id, { id, address, availabilityZone, isServing, sinceMs: nowMs - stateAgeMs })
        );
        this.lists.set(peerAddress, { version, confirmedAt: sentAt, states });
    }

    /** Lists the entries of all control VMs that answered recently; forgets the lists of the others. */
    list(): readonly EntryState[] {
        for (const [peerAddress, { confirmedAt }] of this.lists) {
            if (ageMs(confirmedAt, this.clock) > listTtlMs) {
                this.lists.delete(peerAddress);
            }
        }
        return [...this.lists.values()].flatMap(list => [...list.states.values()]);
    }
}

/** Merges lists; of an entry that moved to another control VM, the state that began last applies. */
export function mergeEntryStates(...lists: readonly (readonly EntryState[])[]): readonly EntryState[] {
    const merged = new Map<EntryId, EntryState>();
    for (const state of lists.flat()) {
        if ((merged.get(state.id)?.sinceMs ?? -Infinity) < state.sinceMs) {
            merged.set(state.id, state);
        }
    }
    return [...merged.values()];
}

/** Returns whether an entry of an availability zone serves. */
export function isAnyServing(states: readonly EntryState[], availabilityZone: string): boolean {
    return states.some(state => state.isServing && state.availabilityZone === availabilityZone);
}

/**
 * Returns up to `maxAddresses` addresses of serving entries for a caller, from its availability zone if there are any.
 * If there are more, a hash of the caller's IP address selects them: callers spread evenly, and each keeps the same
 * entries.
 */
export function selectAddresses(
    states: readonly EntryState[],
    availabilityZone: string | undefined,
    maxAddresses: number,
    callerIp: string,
): readonly string[] {
    const connected = states.filter(state => state.isServing);
    // An entry that cannot reach instances relays requests, which is better than no address.
    const serving = connected.length > 0 ? connected : states.filter(state => state.isRelaying === true);
    const inZone = serving.filter(state => state.availabilityZone === availabilityZone);
    const addresses = (inZone.length > 0 ? inZone : serving).map(state => state.address).sort();
    if (addresses.length <= maxAddresses) {
        return addresses;
    }
    const firstIndex = createHash("sha256").update(callerIp).digest().readUInt32BE(0);
    return Array.from({ length: maxAddresses }, (_, index) => addresses[(firstIndex + index) % addresses.length]);
}
