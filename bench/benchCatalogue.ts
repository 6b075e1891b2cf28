import type { Catalogue, EntryVm, Service } from "../src/catalogue/model.js";

/** Availability zones of the benchmarks. */
export const availabilityZones: readonly string[] = ["az-1", "az-2", "az-3"];
/** Default region of the VMs in benchmarks and tests. */
export const benchRegion = "bench";
/** Cluster secret of the benchmarks and tests. */
export const benchSecret = "bench-secret-of-one-run";
/** Bearer token of the operator `bench`. */
export const benchOperatorToken = "bench-operator-token";

/** Returns a service whose limits are high enough not to take effect. */
export function benchService(name: string, overrides: Partial<Service> = {}): Service {
    return {
        name,
        owner: "bench",
        class: "interactive",
        limits: {
            maxInFlight: 10_000,
            requestsPerSecond: 100_000,
            maxQueuedPerEntry: 1000,
            maxPerCallerPerEntry: 10_000,
            maxBodyBytes: 1024 * 1024,
            defaultDeadlineMs: 5000,
        },
        policy: "least-outstanding",
        measuringBudgetMsPerSecond: 20,
        probeCostMs: 6,
        retryRatio: 0.1,
        hedging: { enabled: false, afterQuantile: 0.99 },
        idempotentMethods: ["GET", "HEAD", "OPTIONS"],
        rampMs: 0,
        ...overrides,
    };
}

/** Returns a catalogue with the given services and entry VMs. */
export function benchCatalogue(
    revision: number,
    services: readonly Service[],
    entryVms: readonly EntryVm[],
): Catalogue {
    return {
        revision,
        services: Object.fromEntries(services.map(service => [service.name, service])),
        entryVms: Object.fromEntries(entryVms.map(vm => [vm.id, vm])),
        upstreamOverrides: [],
        runbookCommands: {},
        entryLists: [{
            revision,
            entryIds: entryVms.map(vm => vm.id),
            availabilityZones: entryVms.map(vm => vm.availabilityZone),
        }],
    };
}
