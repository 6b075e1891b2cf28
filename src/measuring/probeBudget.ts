import type { Service } from "../catalogue/model.js";

const minTokenLifetimeMs = 1000;
/** Length of the window in which the budget is never exceeded, in token lifetimes. */
const budgetWindowLifetimes = 10;
const spendingWindowMs = 10_000;
const msPerSecond = 1000;
/** A started entry accrues nothing for this time, because peers may still compute their shares without it. */
const startupDelayMs = 3000;

/** Returns the lifetime of unspent probe time in milliseconds: long enough to accrue two probes. */
export function tokenLifetimeMs(service: Service): number {
    const twoProbesMs = 2 * service.probeCostMs / service.measuringBudgetMsPerSecond * msPerSecond;
    return Number.isFinite(twoProbesMs) ? Math.max(minTokenLifetimeMs, twoProbesMs) : minTokenLifetimeMs;
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
        // Probe time accrued before a window, one lifetime here and one at the owner, can be spent in the window; the
        // lower rate compensates for it.
        const rate = service.measuringBudgetMsPerSecond / msPerSecond * budgetWindowLifetimes /
            (budgetWindowLifetimes + 2);
        const share = rate / Math.max(1, entryCount);
        this.accruedMs = Math.min(share * tokenLifetimeMs(service), this.accruedMs + share * elapsedMs);
    }

    /** Removes and returns the accrued probe time, in upstream milliseconds. */
    take(): number {
        const taken = this.accruedMs;
        this.accruedMs = 0;
        return taken;
    }
}

interface ProbeCredit {
    readonly expiresAtMs: number;
    unspentMs: number;
}

interface Spending {
    readonly atMs: number;
    readonly spentMs: number;
}

/** Probe time that the owner of a service received from the entries. */
export class ProbeBudget {
    private credits: ProbeCredit[] = [];
    private spendings: Spending[] = [];

    add(unspentMs: number, lifetimeMs: number, nowMs: number): void {
        if (unspentMs > 0) {
            this.credits.push({ expiresAtMs: nowMs + lifetimeMs, unspentMs });
        }
    }

    /** Spends the cost of a probe; returns false when the unexpired probe time is insufficient. */
    trySpend(costMs: number, nowMs: number): boolean {
        this.credits = this.credits.filter(credit => credit.expiresAtMs > nowMs);
        const availableMs = this.credits.reduce((sum, credit) => sum + credit.unspentMs, 0);
        if (availableMs < costMs) {
            return false;
        }
        let uncoveredMs = costMs;
        for (const credit of this.credits) {
            const usedMs = Math.min(credit.unspentMs, uncoveredMs);
            credit.unspentMs -= usedMs;
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
