/** Maximum age of a reported count or total; both are reported every second. */
const maxReportAgeMs = 3000;

interface CountReport {
    /** Undefined if it is not known, or if the VM runs a version that does not report counts. */
    readonly count: number | undefined;
    readonly receivedAtMs: number;
}

/**
 * Number of entries attached to all control VMs of the group. The leader computes it and reports it to the others. An
 * entry that moves to another control VM briefly counts twice, which is safe: budgets are divided by the total.
 */
export class EntryCounts {
    private readonly reports = new Map<string, CountReport>();
    private total: CountReport | undefined;

    /** Records the number of entries attached to another control VM. */
    recordCount(memberId: string, count: number | undefined, nowMs: number): void {
        this.reports.set(memberId, { count, receivedAtMs: nowMs });
    }

    /** Records the total from the leader. */
    recordTotal(count: number | undefined, nowMs: number): void {
        this.total = { count, receivedAtMs: nowMs };
    }

    /**
     * Computes the total at the leader, which has led since `leaderSinceMs`. Until all VMs have had time to report to
     * it, the total is at least the previous one, or unknown without one. It is also unknown if a VM reports no count.
     */
    computeTotal(ownCount: number, leaderSinceMs: number, nowMs: number): void {
        const fresh = [...this.reports].filter(([, report]) => nowMs - report.receivedAtMs < maxReportAgeMs);
        this.reports.clear();
        fresh.forEach(([id, report]) => this.reports.set(id, report));
        const counts = [ownCount, ...fresh.map(([, report]) => report.count)];
        const isComplete = counts.every(count => count !== undefined);
        const sum = counts.reduce<number>((total, count) => total + (count ?? 0), 0);
        const isSettled = nowMs - leaderSinceMs >= maxReportAgeMs;
        const previousTotal = this.getTotal(nowMs);
        const isKnown = isComplete && (isSettled || previousTotal !== undefined);
        this.recordTotal(isKnown ? Math.max(sum, isSettled ? 0 : previousTotal ?? 0) : undefined, nowMs);
    }

    /** Returns the total number of attached entries; undefined while it is not known. */
    getTotal(nowMs: number): number | undefined {
        return this.total !== undefined && nowMs - this.total.receivedAtMs < maxReportAgeMs
            ? this.total.count
            : undefined;
    }
}
