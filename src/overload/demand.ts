import type { EntryId, ServiceName } from "../core/ids.js";

/** How a request ended with regard to capacity. */
export const CapacityOutcome = {
    placed: "placed",
    /** Admitted, but not placed in time or rejected behind others. */
    unplaced: "unplaced",
    /** Rejected since only a fraction of its priority is admitted. */
    notAdmitted: "not-admitted",
} as const;

export type CapacityOutcome = typeof CapacityOutcome[keyof typeof CapacityOutcome];

/**
 * Requests in ten seconds of one priority, those of them that were not placed, and those of these that were admitted.
 * Whole numbers, since small ones take a byte in a message and fractions nine.
 */
export type DemandRow = readonly [priority: number, demanded: number, rejected: number, unplaced: number];

/** Recent demand for a service at one entry. */
export interface ServiceDemand {
    readonly service: ServiceName;
    readonly rows: readonly DemandRow[];
}

/** Recent demand for a service at the entries of an availability zone. */
export interface ZoneDemand extends ServiceDemand {
    readonly availabilityZone: string;
}

/** Time constant of the rates; the decisions follow a burst within about a second. */
const timeConstantMs = 1000;
const msPerSecond = 1000;
const rowSeconds = 10;
/** Rates below this count as none. */
const minRate = 0.05;
/** Maximum age of an entry's report; entries report at least every 400 ms. */
const maxReportAgeMs = 1500;

interface Rates {
    demanded: number;
    rejected: number;
    unplaced: number;
    updatedAtMs: number;
}

function makeRates(updatedAtMs: number): Rates {
    return { demanded: 0, rejected: 0, unplaced: 0, updatedAtMs };
}

/** Counts the requests of one entry by service and priority. */
export class DemandCounter {
    private readonly services = new Map<ServiceName, Map<number, Rates>>();

    /** Records that a request was placed or rejected. */
    record(service: ServiceName, priority: number, outcome: CapacityOutcome, nowMs: number): void {
        const priorities = this.services.get(service) ?? new Map<number, Rates>();
        this.services.set(service, priorities);
        const rates = priorities.get(priority) ?? makeRates(nowMs);
        priorities.set(priority, rates);
        age(rates, nowMs);
        rates.demanded += msPerSecond / timeConstantMs;
        rates.rejected += outcome === CapacityOutcome.placed ? 0 : msPerSecond / timeConstantMs;
        rates.unplaced += outcome === CapacityOutcome.unplaced ? msPerSecond / timeConstantMs : 0;
    }

    /** Returns the demand for the services that `isShort` names or that had rejections; undefined if there are none. */
    describe(isShort: (service: ServiceName) => boolean, nowMs: number): readonly ServiceDemand[] | undefined {
        const demands: ServiceDemand[] = [];
        for (const [service, priorities] of this.services) {
            const rows = listRows(priorities, nowMs);
            if (rows.length === 0) {
                this.services.delete(service);
            }
            else if (isShort(service) || rows.some(([, , rejected]) => rejected > 0)) {
                demands.push({ service, rows });
            }
        }
        return demands.length === 0 ? undefined : demands;
    }
}

interface ReportedDemand {
    readonly availabilityZone: string;
    readonly demand: readonly ServiceDemand[];
    readonly reportedAtMs: number;
}

/** Sums the demand that the entries attached to a control VM report. */
export class DemandTable {
    private readonly reports = new Map<EntryId, ReportedDemand>();
    private shortKeys: ReadonlySet<string> = new Set();

    /** Records the report of an entry; returns true when a service becomes short of capacity in a zone. */
    record(
        id: EntryId,
        availabilityZone: string,
        demand: readonly ServiceDemand[] | null | undefined,
        nowMs: number,
    ): boolean {
        if (demand === undefined || demand === null) {
            this.reports.delete(id);
            return false;
        }
        this.reports.set(id, { availabilityZone, demand, reportedAtMs: nowMs });
        const keys = new Set((this.describe(nowMs) ?? []).map(toKey));
        const hasNews = [...keys].some(key => !this.shortKeys.has(key));
        this.shortKeys = keys;
        return hasNews;
    }

    /** Returns the demand for the services with rejections, by zone; undefined while nothing is rejected. */
    describe(nowMs: number): readonly ZoneDemand[] | undefined {
        const sums = new Map<
            string,
            { readonly service: ServiceName; readonly zone: string; rows: Map<number, Rates>; }
        >();
        for (const [id, { availabilityZone, demand, reportedAtMs }] of this.reports) {
            if (nowMs - reportedAtMs > maxReportAgeMs) {
                this.reports.delete(id);
                continue;
            }
            for (const { service, rows } of demand) {
                const key = toKey({ service, availabilityZone });
                const sum = sums.get(key) ?? { service, zone: availabilityZone, rows: new Map<number, Rates>() };
                sums.set(key, sum);
                for (const [priority, demanded, rejected, unplaced] of rows) {
                    const rates = sum.rows.get(priority) ?? makeRates(nowMs);
                    rates.demanded += demanded / rowSeconds;
                    rates.rejected += rejected / rowSeconds;
                    rates.unplaced += unplaced / rowSeconds;
                    sum.rows.set(priority, rates);
                }
            }
        }
        const zones = [...sums.values()]
            .map(({ service, zone, rows }) => ({ service, availabilityZone: zone, rows: listRows(rows, nowMs) }))
            .filter(({ rows }) => rows.some(([, , rejected]) => rejected > 0));
        return zones.length === 0 ? undefined : zones;
    }
}

function toKey({ service, availabilityZone }: Pick<ZoneDemand, "service" | "availabilityZone">): string {
    return `${service}\n${availabilityZone}`;
}

function listRows(priorities: ReadonlyMap<number, Rates>, nowMs: number): readonly DemandRow[] {
    return [...priorities].flatMap(([priority, rates]) => {
        age(rates, nowMs);
        const { demanded, rejected, unplaced } = rates;
        return demanded < minRate
            ? []
            : [[priority, round(demanded), rejected < minRate ? 0 : round(rejected), round(unplaced)] as const];
    }).sort(([first], [second]) => first - second);
}

function round(rate: number): number {
    return Math.round(rate * rowSeconds);
}

function age(rates: Rates, nowMs: number): void {
    const remaining = Math.exp(-Math.max(0, nowMs - rates.updatedAtMs) / timeConstantMs);
    rates.demanded *= remaining;
    rates.rejected *= remaining;
    rates.unplaced *= remaining;
    rates.updatedAtMs = nowMs;
}
