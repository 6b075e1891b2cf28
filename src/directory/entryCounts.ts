/** Age up to which the count of another control VM is used; counts come every second. */
const reportLifetimeMs = 3000;

interface CountReport {
    /** Undefined from a VM of an earlier version, which does not count. */
    readonly count: number | undefined;
    readonly atMs: number;
}

/**
 * Adds up the entries that are attached to the control VMs of the group. The VM that leads knows the sum, the others are
 * told. An entry that changes its control VM counts twice for a moment, which is safe: the sum divides budgets.
 */
export class EntryCounts {
    private readonly reports = new Map<string, CountReport>();
    private total: CountReport | undefined;

    /** Takes the number of entries that are attached to another control VM. */
    noteReport(memberId: string, count: number | undefined, nowMs: number): void {
        this.reports.set(memberId, { count, atMs: nowMs });
    }

    /** Takes the sum that the leader has told. */
    noteTotal(count: number | undefined, nowMs: number): void {
        this.total = { count, atMs: nowMs };
    }

    /**
     * Adds up the counts at the VM that leads since `ledSinceMs`. Until all VMs have had the time to report to a new
     * leader, the sum is not taken to be below the last one that was known.
     */
    addUp(ownCount: number, ledSinceMs: number, nowMs: number): void {
        const fresh = [...this.reports].filter(([, report]) => nowMs - report.atMs < reportLifetimeMs);
        this.reports.clear();
        fresh.forEach(([id, report]) => this.reports.set(id, report));
        const counts = [ownCount, ...fresh.map(([, report]) => report.count)];
        const isComplete = counts.every(count => count !== undefined);
        const sum = counts.reduce<number>((total, count) => total + (count ?? 0), 0);
        const isSettled = nowMs - ledSinceMs >= reportLifetimeMs;
        const before = this.find(nowMs);
        const isKnown = isComplete && (isSettled || before !== undefined);
        this.noteTotal(isKnown ? Math.max(sum, isSettled ? 0 : before ?? 0) : undefined, nowMs);
    }

    /** Returns how many entries follow the directory; undefined when that is not known. */
    find(nowMs: number): number | undefined {
        return this.total !== undefined && nowMs - this.total.atMs < reportLifetimeMs ? this.total.count : undefined;
    }
}
