import type { Registration } from "./model.js";
import { RegistrationState } from "./model.js";

/** Begins or ends the evacuation of an availability zone. */
export interface EvacuationChange {
    readonly kind: "evacuation";
    readonly availabilityZone: string;
    readonly isEvacuated: boolean;
    /** Wall-clock time at the VM that received the change, in Unix milliseconds, for the audit trail. */
    readonly proposedAtMs: number;
}

/** Availability zones whose instances get no requests and no load probes. */
export class EvacuatedZones {
    /** Sorted; a new list after each change. */
    private zones: readonly string[] = [];

    list(): readonly string[] {
        return this.zones;
    }

    /** Replaces the zones by those of a snapshot; undefined in one of a version without evacuations. */
    restore(zones: readonly string[] | undefined): void {
        this.zones = [...zones ?? []];
    }

    /** Applies a change; returns whether it had an effect. */
    apply({ availabilityZone, isEvacuated }: EvacuationChange): boolean {
        if (this.zones.includes(availabilityZone) === isEvacuated) {
            return false;
        }
        const others = this.zones.filter(zone => zone !== availabilityZone);
        this.zones = isEvacuated ? [...others, availabilityZone].sort() : others;
        return true;
    }
}

/**
 * Returns the registrations as the division of rate limits must see them: instances of evacuated zones get no new
 * requests, so entries of these zones need shares of instances elsewhere.
 */
export function markEvacuated(
    registrations: readonly Registration[],
    evacuatedZones: readonly string[],
): readonly Registration[] {
    return evacuatedZones.length === 0 ?
        registrations :
        registrations.map(registered =>
            evacuatedZones.includes(registered.availabilityZone)
                ? { ...registered, state: RegistrationState.draining }
                : registered
        );
}
