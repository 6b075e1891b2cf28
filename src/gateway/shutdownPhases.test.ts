import test from "ava";
import { computeShutdownPhases } from "./shutdownPhases.js";

test("guards against a stopping entry that accepts requests which it then has no time to complete", t => {
    for (const graceMs of [6000, 10_000]) {
        const { acceptingMs, closingMs } = computeShutdownPhases({ graceMs, addressLifetimeMs: 3600 });
        t.true(acceptingMs <= graceMs / 2, `accepts for ${acceptingMs} of ${graceMs} ms`);
        t.true(
            closingMs > 5 * graceMs / 6,
            "in-flight requests are completed until the last sixth of the grace period",
        );
    }
});

test("guards against an entry that refuses callers with a cached address although it has time", t => {
    t.is(computeShutdownPhases({ graceMs: 10_000, addressLifetimeMs: 3600 }).acceptingMs, 3600);
});
