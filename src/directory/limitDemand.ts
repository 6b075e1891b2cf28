import type { EntryId, ServiceName, UpstreamId } from "../core/ids.js";
import { type Registration, RegistrationState } from "./model.js";
import type { EntryDemand } from "./rateLimits.js";

/** Entries and instances of a deployment. */
export interface DemandInput {
    readonly entries: readonly EntryDemand[];
    readonly registrations: readonly Registration[];
}

/** The entries that need limited instances of one service and zone. */
export interface ZoneDemand {
    readonly wanting: readonly EntryId[];
    /** Whether some of them have no other instance, so that shares must move. */
    readonly isRotating: boolean;
}

/** The entries that need limited instances, by zone and service. */
export class LimitDemand {
    /** Keys of zones and services that have an instance without a limit. */
    private readonly unlimitedKeys: ReadonlySet<string>;
    private readonly demandsByKey = new Map<string, ZoneDemand>();

    constructor(private readonly input: DemandInput, limitedIds: ReadonlySet<UpstreamId>) {
        this.unlimitedKeys = new Set(
            input.registrations.filter(({ id, state }) => state === RegistrationState.ready && !limitedIds.has(id))
                .map(({ availabilityZone, service }) => toZoneKey(availabilityZone, service)),
        );
    }

    find({ availabilityZone, service }: Registration): ZoneDemand {
        const key = toZoneKey(availabilityZone, service);
        const demand = this.demandsByKey.get(key) ?? this.compute(availabilityZone, service);
        this.demandsByKey.set(key, demand);
        return demand;
    }

    /** Entries use limited instances of other zones only if their own zone has no unlimited one of the service. */
    private compute(availabilityZone: string, service: ServiceName): ZoneDemand {
        const isWithoutOther = (entry: EntryDemand) =>
            !this.unlimitedKeys.has(toZoneKey(entry.availabilityZone, service));
        const wanting = this.input.entries.filter(entry =>
            entry.services.includes(service) && (entry.availabilityZone === availabilityZone || isWithoutOther(entry))
        );
        return { wanting: wanting.map(({ id }) => id).sort(), isRotating: wanting.some(isWithoutOther) };
    }
}

function toZoneKey(availabilityZone: string, service: ServiceName): string {
    return `${availabilityZone} ${service}`;
}
