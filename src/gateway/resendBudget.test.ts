import test from "ava";
import fc from "fast-check";
import { ResendBudget } from "./resendBudget.js";

const limits = { ratio: 0.2, slack: 62, windowMs: 10_000 };

test("guards against more resends in a window than operators allow, over all entries", t => {
    const entryCount = 17;
    const property = fc.property(
        fc.array(fc.record({ gapMs: fc.nat(400), entry: fc.nat(entryCount - 1), resends: fc.nat(3) }), {
            minLength: 200,
            maxLength: 600,
        }),
        steps => {
            const budgets = Array.from({ length: entryCount }, () => new ResendBudget(limits, () => entryCount));
            const requests: number[] = [];
            const resends: number[] = [];
            let nowMs = 0;
            for (const { gapMs, entry, resends: wanted } of steps) {
                nowMs += gapMs;
                budgets[entry].countRequest("orders", nowMs);
                requests.push(nowMs);
                for (let count = 0; count < wanted; count++) {
                    if (budgets[entry].take("orders", nowMs)) {
                        resends.push(nowMs);
                    }
                }
            }
            return resends.every(endMs => {
                const isInWindow = (atMs: number) => atMs <= endMs && atMs > endMs - limits.windowMs;
                const allowed = limits.ratio * requests.filter(isInWindow).length + limits.slack;
                return resends.filter(isInWindow).length <= allowed;
            });
        },
    );
    fc.assert(property, { seed: 7, numRuns: 60 });
    t.pass();
});

test("guards against a budget that is never refilled", t => {
    const budget = new ResendBudget({ ratio: 0.2, slack: 2, windowMs: 10_000 }, () => 1);
    t.true(budget.take("orders", 0));
    t.false(budget.take("orders", 0));
    t.true(budget.take("orders", 11_000));
});
