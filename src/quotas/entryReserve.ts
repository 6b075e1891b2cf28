/**
 * Time for which the part of an entry that is no longer attached is kept. It may have lost contact and continue with its
 * fraction of the rates.
 */
export const reserveMs = 30_000;

/** Entries that were attached lately and are not now, as a share of all entries. */
export class EntryReserve {
    private readonly totals: { readonly atMs: number; readonly total: number; }[] = [];

    /** Records the number of attached entries, if it is known; returns the share of the missing ones. */
    record(total: number | undefined, nowMs: number): number {
        while (this.totals.length > 0 && nowMs - this.totals[0].atMs > reserveMs) {
            this.totals.shift();
        }
        if (total !== undefined) {
            this.totals.push({ atMs: nowMs, total });
        }
        const peak = this.totals.reduce((max, sample) => Math.max(max, sample.total), 0);
        const current = this.totals.at(-1)?.total ?? 0;
        return peak === 0 ? 0 : 1 - current / peak;
    }
}
