import test from "ava";
import { SeededRandom } from "../core/random.js";
import { type ConcurrencyLimit, getMaxOutstanding, isNearlyFull, lowerLimit, raiseLimit } from "./concurrencyLimit.js";

test("guards against limits learned from resets that the load did not cause", t => {
    t.deepEqual([1, 2, 3, 4, 5, 6].map(outstanding => isNearlyFull(outstanding, 6)), [
        false,
        false,
        false,
        false,
        true,
        true,
    ]);
    t.false(isNearlyFull(1, 2));
    t.true(isNearlyFull(1, 1));
});

test("guards against an instance that is filled up again right after it reset a connection", t => {
    const limit = lowerLimit(undefined, 5, 4, 0);
    t.is(getMaxOutstanding(limit, 4, 14_999), 3);
    t.is(getMaxOutstanding(limit, 4, 15_000), 4);
    const again = lowerLimit(limit, 4, 4, 16_000);
    t.is(getMaxOutstanding(again, 4, 45_999), 3, "the time until the next try doubles");
    t.is(getMaxOutstanding(again, 4, 46_000), 4);
});

test("guards against a limit that leaves no request to an instance or stays too low", t => {
    let limit: ConcurrencyLimit | undefined;
    for (let number = 0; number < 10; number++) {
        limit = lowerLimit(limit, 4, 4, number);
    }
    t.is(limit?.maxOutstanding, 1);
    t.is(limit?.recoveryMs, 240_000);
    t.is(limit && raiseLimit(limit, 2, 4).maxOutstanding, 2, "it reported two requests");
    t.is(limit && raiseLimit(limit, 9, 4).maxOutstanding, 3, "never all slots");
});

test("guards against requests that are lost again and again at an instance that resets when full", t => {
    const random = new SeededRandom(5);
    const slots = 6;
    const stepMs = 10;
    let running: number[] = [];
    let limit: ConcurrencyLimit | undefined;
    const result = { sent: 0, lost: 0, lostWithoutLimit: 0 };
    for (let nowMs = 0; nowMs < 600_000; nowMs += stepMs) {
        running = running.filter(endsAtMs => endsAtMs > nowMs);
        // Demand of twice the capacity; each request runs for 100 ms.
        const arrivals = random.nextUnit() < 2 * slots * stepMs / 100 % 1 ? 2 : 1;
        for (let number = 0; number < arrivals; number++) {
            result.lostWithoutLimit += running.length >= slots ? 1 : 0;
            // Another entry may have sent a request since the last report.
            const known = running.length - (random.nextUnit() < 0.5 ? 1 : 0);
            if (limit !== undefined && known >= getMaxOutstanding(limit, slots, nowMs)) {
                continue;
            }
            result.sent++;
            if (running.length >= slots) {
                result.lost++;
                limit = lowerLimit(limit, running.length + 1, slots, nowMs);
            }
            else {
                running.push(nowMs + 100);
            }
        }
    }
    t.log(result);
    t.true(result.lost <= 10, "about one for each try of the last slot");
    t.true(result.sent >= 0.75 * slots * 6000, "three quarters of the capacity are used");
});
