import type { Clock } from "../core/clock.js";
import type { ServiceName, UpstreamId } from "../core/ids.js";
import { isWarmupLimited, type Registration, type RoutedService } from "./model.js";
import type { ColdReport } from "./rateLimits.js";
import { warmupToleranceMs } from "./registrations.js";

interface TrackedInstance {
    registration: Registration;
    /** When this VM applied the registration; the true one is earlier, so the warmup never ends too soon. */
    appliedAtMs: number;
    /** When this VM first knew the incarnation. */
    readonly appearedAtMs: number;
    /** End of the warmup by the reports of entries. */
    reportedUntilMs: number;
}

/** A cold instance whose service limits the rate of cold instances. */
export interface ColdInstance {
    readonly id: UpstreamId;
    readonly bornAtMs: number;
    readonly perSecond: number;
    readonly coldUntilMs: number;
    readonly appearedAtMs: number;
    /** Whether the registration does not show the warmup, or not its end. */
    readonly isOnlyReported: boolean;
}

/** Dependencies of ColdInstances. */
export interface ColdInstancesOptions {
    readonly clock: Clock;
    readonly listRegistrations: () => readonly Registration[];
    readonly listServices: () => readonly RoutedService[];
}

/**
 * Instances that are cold, as a control VM knows them from registrations and from entries. Times are monotonic: a wall
 * clock that is set forward must not end a warmup.
 */
export class ColdInstances {
    private readonly tracked = new Map<UpstreamId, TrackedInstance>();

    constructor(private readonly options: ColdInstancesOptions) {}

    /** Whether a service limits the rate of its cold instances. */
    get isConfigured(): boolean {
        return this.options.listServices().some(isWarmupLimited);
    }

    /** Follows the registrations; returns whether an instance is cold that was not, or is cold for longer. */
    refresh(): boolean {
        const nowMs = this.nowMs();
        const limitedServices = this.listRates();
        const registrations = this.options.listRegistrations();
        let hasNews = false;
        for (const registration of registrations) {
            const known = this.tracked.get(registration.id);
            if (known !== undefined && isSameHeartbeat(known.registration, registration)) {
                known.registration = registration;
                continue;
            }
            const isSameIncarnation = known?.registration.bornAtMs === registration.bornAtMs;
            const wasColdUntilMs = isSameIncarnation ? findColdUntilMs(known) : -Infinity;
            this.tracked.set(registration.id, {
                registration,
                appliedAtMs: nowMs,
                appearedAtMs: isSameIncarnation ? known.appearedAtMs : nowMs,
                reportedUntilMs: isSameIncarnation ? known.reportedUntilMs : -Infinity,
            });
            hasNews ||= limitedServices.has(registration.service) && registration.warmupMs > 0 &&
                nowMs + registration.warmupMs > wasColdUntilMs + warmupToleranceMs;
        }
        if (this.tracked.size > registrations.length) {
            const ids = new Set(registrations.map(({ id }) => id));
            [...this.tracked.keys()].filter(id => !ids.has(id)).forEach(id => this.tracked.delete(id));
        }
        return hasNews;
    }

    /** Records what an entry saw; returns whether the instance is cold for longer than was known. */
    recordReport({ id, bornAtMs, warmupMs }: ColdReport): boolean {
        const known = this.tracked.get(id);
        const untilMs = this.nowMs() + warmupMs;
        if (known?.registration.bornAtMs !== bornAtMs || untilMs <= findColdUntilMs(known) + warmupToleranceMs) {
            return false;
        }
        known.reportedUntilMs = untilMs;
        return this.listRates().has(known.registration.service);
    }

    list(): readonly ColdInstance[] {
        const nowMs = this.nowMs();
        const rates = this.listRates();
        if (rates.size === 0) {
            return [];
        }
        return [...this.tracked.values()].flatMap(tracked => {
            const { registration: { id, bornAtMs, service }, appearedAtMs, reportedUntilMs } = tracked;
            const perSecond = rates.get(service);
            const coldUntilMs = findColdUntilMs(tracked);
            return perSecond === undefined || coldUntilMs <= nowMs ? [] : [{
                id,
                bornAtMs,
                perSecond,
                coldUntilMs,
                appearedAtMs,
                isOnlyReported: reportedUntilMs > findRegisteredUntilMs(tracked),
            }];
        });
    }

    /** Lists the warmups that only entries have reported, for the leader. */
    listReported(): readonly ColdReport[] {
        const nowMs = this.nowMs();
        return this.list().filter(({ isOnlyReported }) => isOnlyReported)
            .map(({ id, bornAtMs, coldUntilMs }) => ({ id, bornAtMs, warmupMs: coldUntilMs - nowMs }));
    }

    /** Returns a registration with the warmup that remains now; unchanged if its service has no limit. */
    adjust(registration: Registration): Registration {
        const warmupMs = this.findRemainingMs(registration);
        return warmupMs === undefined || registration.warmupMs === 0 ? registration : { ...registration, warmupMs };
    }

    /** Returns the rest of the warmup that the registration of an instance shows; undefined without a limit. */
    findRemainingMs({ id, service }: Registration): number | undefined {
        if (!this.listRates().has(service)) {
            return undefined;
        }
        const tracked = this.tracked.get(id);
        return tracked === undefined ? 0 : Math.max(0, findRegisteredUntilMs(tracked) - this.nowMs());
    }

    private listRates(): ReadonlyMap<ServiceName, number> {
        return new Map(
            this.options.listServices().filter(isWarmupLimited).map(({ name, warmupPerSecond }) =>
                [name, warmupPerSecond] as const
            ),
        );
    }

    private nowMs(): number {
        return this.options.clock.monotonicMs();
    }
}

function isSameHeartbeat(first: Registration, second: Registration): boolean {
    return first === second || first.bornAtMs === second.bornAtMs && first.sequence === second.sequence &&
            first.warmupMs === second.warmupMs;
}

function findRegisteredUntilMs({ registration, appliedAtMs }: TrackedInstance): number {
    return appliedAtMs + registration.warmupMs;
}

function findColdUntilMs(tracked: TrackedInstance): number {
    return Math.max(findRegisteredUntilMs(tracked), tracked.reportedUntilMs);
}
