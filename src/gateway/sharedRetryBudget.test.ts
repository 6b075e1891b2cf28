import test from "ava";
import fc from "fast-check";
import { SharedRetryBudget } from "./sharedRetryBudget.js";

const limits = { ratio: 0.2, slack: 62, windowMs: 10_000 };

function makeBudget(entries: number | (() => number), startedAtMs: number, budgetLimits = limits): SharedRetryBudget {
    const countEntries = typeof entries === "number" ? () => entries : entries;
    return new SharedRetryBudget({ limits: budgetLimits, countEntries, isCounted: () => true, startedAtMs });
}

/** Returns whether each window that ends with a retry is within the limits; both lists contain times in ms. */
function isWithinBudget(requests: readonly number[], retries: readonly number[]): boolean {
    return retries.every(endMs => {
        const isInWindow = (atMs: number) => atMs <= endMs && atMs > endMs - limits.windowMs;
        const allowed = limits.ratio * requests.filter(isInWindow).length + limits.slack;
        return retries.filter(isInWindow).length <= allowed;
    });
}

/** Counts a request and takes retries for it; returns the times of those that the budget allows. */
function sendRequest(budget: SharedRetryBudget, requestedCount: number, nowMs: number): readonly number[] {
    budget.countRequest("orders", nowMs);
    return Array.from({ length: requestedCount }, () => nowMs).filter(() => budget.take("orders", nowMs));
}

test("guards against more retries in a window than operators allow, over all entries", t => {
    const entryCount = 17;
    const property = fc.property(
        fc.array(fc.record({ gapMs: fc.nat(400), entry: fc.nat(entryCount - 1), retries: fc.nat(3) }), {
            minLength: 200,
            maxLength: 600,
        }),
        steps => {
            const budgets = Array.from({ length: entryCount }, () => makeBudget(entryCount, 0));
            const requests: number[] = [];
            const retries: number[] = [];
            let nowMs = 0;
            for (const { gapMs, entry, retries: requestedCount } of steps) {
                nowMs += gapMs;
                requests.push(nowMs);
                retries.push(...sendRequest(budgets[entry], requestedCount, nowMs));
            }
            return isWithinBudget(requests, retries);
        },
    );
    fc.assert(property, { seed: 7, numRuns: 60 });
    t.pass();
});

test("guards against more retries than operators allow while entries restart and control VMs report too few", t => {
    const entryCount = 17;
    const settledMs = 2 * limits.windowMs;
    const property = fc.property(
        fc.array(
            fc.record({
                gapMs: fc.nat(60),
                entry: fc.nat(entryCount - 1),
                retries: fc.nat(4),
                isRestart: fc.boolean(),
                reportedEntryCount: fc.constantFrom(1, 6, 17),
            }),
            { minLength: 400, maxLength: 700 },
        ),
        steps => {
            let reportedCount = entryCount;
            const start = (nowMs: number) => makeBudget(() => reportedCount, nowMs);
            const budgets = Array.from({ length: entryCount }, () => start(0));
            const requests: number[] = [];
            const retries: number[] = [];
            let nowMs = 0;
            // All entries know the true count before the control VMs report too few.
            for (nowMs = 0; nowMs < settledMs; nowMs += 500) {
                budgets.forEach(budget => budget.countRequest("orders", nowMs));
                requests.push(...budgets.map(() => nowMs));
            }
            for (const { gapMs, entry, retries: requestedCount, isRestart, reportedEntryCount } of steps) {
                nowMs += gapMs;
                reportedCount = reportedEntryCount;
                if (isRestart && requestedCount === 0) {
                    budgets[entry] = start(nowMs);
                }
                requests.push(nowMs);
                retries.push(...sendRequest(budgets[entry], requestedCount, nowMs));
            }
            return isWithinBudget(requests, retries);
        },
    );
    fc.assert(property, { seed: 11, numRuns: 40 });
    t.pass();
});

test("guards against a budget that is never refilled", t => {
    const budget = makeBudget(1, -20_000, { ...limits, slack: 2 });
    t.true(budget.take("orders", 0));
    t.false(budget.take("orders", 0));
    t.true(budget.take("orders", 11_000));
});
