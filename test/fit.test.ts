import test from "ava";
import { fitLines } from "../bench/slopes/fit.js";

function rowsOf(costs: readonly number[]) {
    return costs.map((cost, index) => ({ name: "x", size: index + 1, cost, unit: "us" as const }));
}

test("guards against wrong slopes and standard errors of exact and scattered points", t => {
    const [exact] = fitLines(rowsOf([5, 8, 11, 14]));
    t.is(exact.slope, 3);
    t.is(exact.intercept, 2);
    t.is(exact.standardError, 0);
    // Sizes 1 to 5, costs 2 4 5 4 5: slope 0.6, residual sum of squares 2.4, standard error sqrt(2.4 / 3 / 10).
    const [scattered] = fitLines(rowsOf([2, 4, 5, 4, 5]));
    t.true(Math.abs(scattered.slope - 0.6) < 1e-12);
    t.true(Math.abs(scattered.standardError - Math.sqrt(0.08)) < 1e-12);
});

test("guards against a slope from too few sizes", t => {
    t.throws(() => fitLines(rowsOf([1, 2, 3])), { instanceOf: RangeError });
});
