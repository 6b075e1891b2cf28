import { maxHolders, usableBurst, usableRatePerSecond } from "./rateLimits.js";

/** How a kind of limit is divided and used: amounts for all entries together, for a limit in requests a second. */
export abstract class LimitKind {
    /** Requests a second that may be sent. */
    abstract usableRatePerSecond(limitPerSecond: number): number;
    /** Requests that may be accumulated. */
    abstract usableBurst(limitPerSecond: number): number;
    /** Maximum number of entries that share a limit. */
    abstract maxHolders(limitPerSecond: number): number;
    /** Permits with which a holder starts; `index` is its position among `count` holders. */
    abstract findStart(index: number, count: number, isNewInstance: boolean): number;
}

/** A limit that an instance names in its responses; permits start from none. */
class NamedLimitKind extends LimitKind {
    usableRatePerSecond(limitPerSecond: number): number {
        return usableRatePerSecond(limitPerSecond);
    }

    usableBurst(limitPerSecond: number): number {
        return usableBurst(limitPerSecond);
    }

    maxHolders(limitPerSecond: number): number {
        return maxHolders(limitPerSecond);
    }

    findStart(): number {
        return 0;
    }
}

/** A cold instance may get 1.5 times its rate and 8 requests in any second. */
const coldOvershoot = 1.5;
const coldTolerance = 8;
/** Requests by which the usable amount stays below the allowed one: connecting can delay some into a later second. */
const coldMargin = 2;
/** Part of the rate that is given out. Holders without a request at the right time leave about a sixth of it unused. */
const coldRateFactor = 1.2;
/** Requests that each holder can accumulate at least; with fewer, uneven demand leaves the share idle. */
const coldBurstPerHolder = 1.4;

/** The limit of a cold instance; it ends with the warmup. */
class ColdLimitKind extends LimitKind {
    usableRatePerSecond(limitPerSecond: number): number {
        return coldRateFactor * limitPerSecond;
    }

    /** Rate and burst together stay below what the instance may get in one second. */
    usableBurst(limitPerSecond: number): number {
        return (coldOvershoot - coldRateFactor) * limitPerSecond + coldTolerance - coldMargin;
    }

    maxHolders(limitPerSecond: number): number {
        return Math.max(1, Math.floor(this.usableBurst(limitPerSecond) / coldBurstPerHolder));
    }

    /**
     * Warmups are short, so holders of a new instance start with a permit. An instance that has become cold again has
     * just got requests without a limit; first permits are spread evenly over time.
     */
    findStart(index: number, count: number, isNewInstance: boolean): number {
        return isNewInstance ? 1 : index / count;
    }
}

export const namedLimitKind: LimitKind = new NamedLimitKind();
export const coldLimitKind: LimitKind = new ColdLimitKind();
