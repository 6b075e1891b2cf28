import type { Service } from "../catalogue/model.js";

const minProbeTimeLifetimeMs = 1000;
/** Length of the window over which spending never exceeds the budget, in lifetimes of probe time. */
const budgetWindowLifetimes = 10;
const spendingWindowMs = 10_000;
const msPerSecond = 1000;
/** An entry accrues nothing for this time after its start, because peers may still compute shares without it. */
const startupDelayMs = 3000;

/** Returns the time after which unspent probe time expires, in milliseconds: long enough to accrue two probes. */
export function probeTimeLifetimeMs(service: Service): number {
    const twoProbesMs = 2 * service.probeCostMs / service.measuringBudgetMsPerSecond * msPerSecond;
    return Number.isFinite(twoProbesMs) ? Math.max(minProbeTimeLifetimeMs, twoProbesMs) : minProbeTimeLifetimeMs;
}

/**
 * An entry's share of a service's measuring budget. Accrued probe time is transferred to one owner at a time and never
 * duplicated, so the total stays within the budget even when several entries consider themselves the owner.
 */
export class ProbeShare {
    private accruedMs = 0;
    private accruedUntilMs: number;

    constructor(startedAtMs: number) {
        this.accruedUntilMs = startedAtMs + startupDelayMs;
    }

    /** Accrues one of `entryCount` equal shares. */
    accrue(service: Service, entryCount: number, nowMs: number): void {
        const elapsedMs = nowMs - this.accruedUntilMs;
        if (elapsedMs <= 0) {
            return;
        }
        this.accruedUntilMs = nowMs;
        // Probe time accrued before a window, up to one lifetime here and one at the owner, can be spent in the window;
        // the rate is below the budget to compensate for it.
        const rate = service.measuringBudgetMsPerSecond / msPerSecond * budgetWindowLifetimes /
            (budgetWindowLifetimes + 2);
        const share = rate / Math.max(1, entryCount);
        this.accruedMs = Math.min(share * probeTimeLifetimeMs(service), this.accruedMs + share * elapsedMs);
    }

    /** Removes and returns the accrued probe time, in upstream milliseconds. */
    take(): number {
        const taken = this.accruedMs;
        this.accruedMs = 0;
        return taken;
    }
}

interface ProbeTimeTransfer {
    readonly expiresAtMs: number;
    unspentMs: number;
}

interface Spending {
    readonly atMs: number;
    readonly spentMs: number;
}

/** Probe time that the owner of a service received from the entries. */
export class ProbeBudget {
    private transfers: ProbeTimeTransfer[] = [];
    private spendings: Spending[] = [];

    add(unspentMs: number, lifetimeMs: number, nowMs: number): void {
        if (unspentMs > 0) {
            this.transfers.push({ expiresAtMs: nowMs + lifetimeMs, unspentMs });
        }
    }

    /** Spends the cost of a probe; returns false when the unexpired probe time is insufficient. */
    trySpend(costMs: number, nowMs: number): boolean {
        this.transfers = this.transfers.filter(transfer => transfer.expiresAtMs > nowMs);
        const availableMs = this.transfers.reduce((sum, transfer) => sum + transfer.unspentMs, 0);
        if (availableMs < costMs) {
            return false;
        }
        let uncoveredMs = costMs;
        for (const transfer of this.transfers) {
            const usedMs = Math.min(transfer.unspentMs, uncoveredMs);
            transfer.unspentMs -= usedMs;
            uncoveredMs -= usedMs;
        }
        this.spendings.push({ atMs: nowMs, spentMs: costMs });
        return true;
    }

    /** Returns the spending in upstream milliseconds per second, averaged over the last 10 s. */
    spentMsPerSecond(nowMs: number): number {
        this.spendings = this.spendings.filter(spending => spending.atMs > nowMs - spendingWindowMs);
        return this.spendings.reduce((sum, spending) => sum + spending.spentMs, 0) * msPerSecond / spendingWindowMs;
    }
}
