import type { RandomSource } from "../core/random.js";
import type { DemandRow } from "./demand.js";

/**
 * Amount that is admitted relative to what was served while admitted requests are not placed. Without the surplus,
 * entries would not find out that capacity has grown. With a tenth, admitted callers that leave or return too late left
 * capacity unused.
 */
const admittedPerServed = 1.2;
/** The same while nearly all admitted requests are placed, so that the admission and not the capacity is the limit. */
const admittedPerServedBelowCapacity = 1.5;
/** Share of the demand that is always admitted; otherwise nothing would be served after an outage of all instances. */
const minAdmittedShare = 0.2;
/** Unplaced requests, as a share of those placed, up to which capacity is not the limit. */
const maxUnplacedShare = 0.05;
/** Smallest admitted share of a priority relative to the mean; twice the quarter that callers are promised. */
const minShareOfMean = 0.5;

/**
 * Returns the fraction of the requests of each priority that is admitted: all of the most urgent ones as far as the
 * capacity reaches, a fraction of the next one, and the smallest share of the others. All entries with the same figures
 * decide alike.
 */
export function computeAdmission(rows: readonly DemandRow[]): ReadonlyMap<number, number> {
    const demandedTotal = rows.reduce((sum, [, demanded]) => sum + demanded, 0);
    const rejectedTotal = rows.reduce((sum, [, , rejected]) => sum + rejected, 0);
    const unplacedTotal = rows.reduce((sum, [, , , unplaced]) => sum + unplaced, 0);
    const servedTotal = Math.max(0, demandedTotal - rejectedTotal);
    const isBelowCapacity = unplacedTotal <= maxUnplacedShare * servedTotal;
    const capacity = Math.max(
        servedTotal * (isBelowCapacity ? admittedPerServedBelowCapacity : admittedPerServed),
        minAdmittedShare * demandedTotal,
    );
    if (demandedTotal === 0 || capacity >= demandedTotal) {
        return new Map();
    }
    const minShare = minShareOfMean * capacity / demandedTotal;
    let left = capacity - minShare * demandedTotal;
    const fractions = new Map<number, number>();
    for (const [priority, demanded] of [...rows].sort(([first], [second]) => first - second)) {
        const added = demanded === 0 ? 0 : Math.min(1 - minShare, left / demanded);
        left -= added * demanded;
        fractions.set(priority, minShare + added);
    }
    return fractions;
}

/** Admits a fraction of the requests of each priority, evenly spaced. */
export class Admission {
    private readonly credits = new Map<number, number>();

    constructor(private readonly random: RandomSource) {}

    /** Returns whether a request is admitted; priorities without a fraction are. */
    isAdmitted(priority: number, fractions: ReadonlyMap<number, number>): boolean {
        const fraction = fractions.get(priority);
        if (fraction === undefined || fraction >= 1) {
            return true;
        }
        // The random start keeps entries with few requests from rounding alike.
        const credit = (this.credits.get(priority) ?? this.random.nextUnit()) + fraction;
        this.credits.set(priority, credit >= 1 ? credit - 1 : credit);
        return credit >= 1;
    }
}
