import type { Service } from "../catalogue/model.js";

const minTokenLifetimeMs = 1000;
/** Windows over which the budget holds, in token lifetimes. */
const windowLifetimes = 10;
const spendingWindowMs = 10_000;
const msPerSecond = 1000;
/** An entry accrues nothing at first, since peers may still count with a catalogue without it. */
const settleMs = 3000;

/** How long unspent probe time stays valid: long enough to save up for two probes. */
export function tokenLifetimeMs(service: Service): number {
    const twoProbesMs = 2 * service.probeCostMs / service.measuringBudgetMsPerSecond * msPerSecond;
    return Number.isFinite(twoProbesMs) ? Math.max(minTokenLifetimeMs, twoProbesMs) : minTokenLifetimeMs;
}

/**
 * An entry's share of a service's measuring budget. The share accrues at the entry and is passed on to one owner at a
 * time, so the sum over all entries holds whoever believes to be the owner: probe time is never copied.
 */
export class ProbeShare {
    private accruedMs = 0;
    private accruedUntilMs: number;

    constructor(startedAtMs: number) {
        this.accruedUntilMs = startedAtMs + settleMs;
    }

    /** Accrues one of `entryCount` equal shares. */
    accrue(service: Service, entryCount: number, nowMs: number): void {
        const elapsedMs = nowMs - this.accruedUntilMs;
        if (elapsedMs <= 0) {
            return;
        }
        this.accruedUntilMs = nowMs;
        // Probe time saved before a window, one lifetime here and one at the owner, may be spent in the window; the reduced
        // rate makes up for it.
        const rate = service.measuringBudgetMsPerSecond / msPerSecond * windowLifetimes / (windowLifetimes + 2);
        const share = rate / Math.max(1, entryCount);
        this.accruedMs = Math.min(share * tokenLifetimeMs(service), this.accruedMs + share * elapsedMs);
    }

    /** Takes what has accrued, in upstream milliseconds. */
    take(): number {
        const taken = this.accruedMs;
        this.accruedMs = 0;
        return taken;
    }
}

interface ProbeTime {
    readonly expiresAtMs: number;
    ms: number;
}

interface Spending {
    readonly atMs: number;
    readonly ms: number;
}

/** Probe time that entries passed to the owner of a service. */
export class ProbeBudget {
    private received: ProbeTime[] = [];
    private spent: Spending[] = [];

    add(ms: number, lifetimeMs: number, nowMs: number): void {
        if (ms > 0) {
            this.received.push({ expiresAtMs: nowMs + lifetimeMs, ms });
        }
    }

    /** Spends the cost of a probe; false when the budget does not allow it. */
    trySpend(costMs: number, nowMs: number): boolean {
        this.received = this.received.filter(part => part.expiresAtMs > nowMs);
        const availableMs = this.received.reduce((sum, part) => sum + part.ms, 0);
        if (availableMs < costMs) {
            return false;
        }
        let openMs = costMs;
        for (const part of this.received) {
            const usedMs = Math.min(part.ms, openMs);
            part.ms -= usedMs;
            openMs -= usedMs;
        }
        this.spent.push({ atMs: nowMs, ms: costMs });
        return true;
    }

    /** Upstream milliseconds per second, over the last 10 s. */
    spentMsPerSecond(nowMs: number): number {
        this.spent = this.spent.filter(spending => spending.atMs > nowMs - spendingWindowMs);
        return this.spent.reduce((sum, spending) => sum + spending.ms, 0) * msPerSecond / spendingWindowMs;
    }
}
