import type { UpstreamId } from "../core/ids.js";
import { type Registration, RegistrationState } from "./model.js";

/** Maximum number of ended incarnations kept, so that delayed heartbeats do not register them again. */
const maxEndedIncarnations = 4096;

/** Smaller extensions of a warmup are differences in the time that heartbeats take. */
export const warmupToleranceMs = 100;

/** Incarnation of an instance that has deregistered, or whose address another instance has taken over. */
interface EndedIncarnation {
    readonly id: UpstreamId;
    readonly bornAtMs: number;
}

/** Registered instances, by id. */
export class RegistrationTable {
    private readonly registrationsById = new Map<UpstreamId, Registration>();
    private readonly endedIncarnations = new Map<UpstreamId, EndedIncarnation>();

    get size(): number {
        return this.registrationsById.size;
    }

    list(): readonly Registration[] {
        return [...this.registrationsById.values()];
    }

    get(id: UpstreamId): Registration | undefined {
        return this.registrationsById.get(id);
    }

    /**
     * Returns whether a heartbeat would change the table. `remainingWarmupMs` is the rest of the warmup that the table
     * shows, by the clock of the caller; undefined if warmups do not matter. One that merely counts down is no change.
     */
    wouldChange(heartbeat: Registration, remainingWarmupMs?: number): boolean {
        if (this.isStale(heartbeat)) {
            return false;
        }
        const existing = this.registrationsById.get(heartbeat.id);
        return existing === undefined || existing.bornAtMs !== heartbeat.bornAtMs ||
            existing.state !== heartbeat.state ||
            existing.address !== heartbeat.address || existing.service !== heartbeat.service ||
            existing.slots !== heartbeat.slots ||
            remainingWarmupMs !== undefined && heartbeat.sequence > existing.sequence &&
                (heartbeat.warmupMs > remainingWarmupMs + warmupToleranceMs ||
                    heartbeat.warmupMs === 0 && existing.warmupMs > 0);
    }

    /**
     * Applies a heartbeat; returns the ids of the registrations that were changed or removed. With `tracksWarmup`, a
     * later heartbeat with another warmup is a change: only such that `wouldChange` accepted are proposed.
     */
    register(heartbeat: Registration, tracksWarmup = false): readonly UpstreamId[] {
        if (!this.wouldChange(heartbeat) && !(tracksWarmup && this.hasOtherWarmup(heartbeat))) {
            return [];
        }
        // The instance that started last owns the address.
        const displaced = this.list().filter(registered =>
            registered.address === heartbeat.address && registered.id !== heartbeat.id
        );
        displaced.forEach(registered => {
            this.registrationsById.delete(registered.id);
            this.recordEnd(registered);
        });
        this.endedIncarnations.delete(heartbeat.id);
        this.registrationsById.set(heartbeat.id, heartbeat);
        return [heartbeat.id, ...displaced.map(registered => registered.id)];
    }

    /**
     * Removes the registration of an instance, unless it is of a later incarnation than `bornAtMs`. Returns whether a
     * registration was removed. Unless `isFinal`, a later heartbeat of the incarnation registers it again.
     */
    remove(id: UpstreamId, bornAtMs: number | undefined, isFinal: boolean): boolean {
        const existing = this.registrationsById.get(id);
        if (existing !== undefined && bornAtMs !== undefined && bornAtMs < existing.bornAtMs) {
            return false;
        }
        if (isFinal) {
            // Also if it is not registered: heartbeats may be delayed until after the deregistration.
            this.recordEnd({ id, bornAtMs: Math.max(bornAtMs ?? 0, existing?.bornAtMs ?? 0) });
        }
        return this.registrationsById.delete(id);
    }

    /** Returns the content of the table for a snapshot. */
    toImage(): readonly [readonly Registration[], readonly EndedIncarnation[]] {
        return [this.list(), [...this.endedIncarnations.values()]];
    }

    /** Replaces the content of the table with that of a snapshot. */
    fromImage(
        [savedRegistrations, savedIncarnations]: readonly [readonly Registration[], readonly EndedIncarnation[]],
    ): void {
        this.registrationsById.clear();
        this.endedIncarnations.clear();
        savedRegistrations.forEach(registered => this.registrationsById.set(registered.id, registered));
        savedIncarnations.forEach(savedIncarnation =>
            this.endedIncarnations.set(savedIncarnation.id, savedIncarnation)
        );
    }

    private recordEnd({ id, bornAtMs }: EndedIncarnation): void {
        const latestBornAtMs = this.endedIncarnations.get(id)?.bornAtMs ?? 0;
        this.endedIncarnations.delete(id);
        this.endedIncarnations.set(id, { id, bornAtMs: Math.max(latestBornAtMs, bornAtMs) });
        for (const oldest of this.endedIncarnations.keys()) {
            if (this.endedIncarnations.size <= maxEndedIncarnations) {
                break;
            }
            this.endedIncarnations.delete(oldest);
        }
    }

    private hasOtherWarmup(heartbeat: Registration): boolean {
        const existing = this.registrationsById.get(heartbeat.id);
        return existing !== undefined && !this.isStale(heartbeat) && heartbeat.sequence > existing.sequence &&
            heartbeat.warmupMs !== existing.warmupMs;
    }

    /** Whether a heartbeat is from an earlier incarnation, or was sent before the state in the table. */
    private isStale(heartbeat: Registration): boolean {
        const existing = this.registrationsById.get(heartbeat.id);
        if (existing !== undefined && isOlder(heartbeat, existing)) {
            return true;
        }
        const endedIncarnation = this.endedIncarnations.get(heartbeat.id);
        if (endedIncarnation !== undefined && heartbeat.bornAtMs <= endedIncarnation.bornAtMs) {
            return true;
        }
        return this.list().some(other =>
            other.address === heartbeat.address && other.id !== heartbeat.id && other.bornAtMs > heartbeat.bornAtMs
        );
    }
}

/** Draining is final within an incarnation, so a `ready` that arrives after it is a delayed heartbeat. */
function isOlder(heartbeat: Registration, existing: Registration): boolean {
    if (heartbeat.bornAtMs !== existing.bornAtMs) {
        return heartbeat.bornAtMs < existing.bornAtMs;
    }
    return existing.state === RegistrationState.draining && heartbeat.state === RegistrationState.ready;
}
