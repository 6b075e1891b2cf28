import test from "ava";
import { SeededRandom } from "../core/random.js";
import { makeRoute } from "../directory/testing.js";
import { WeightedRoundRobin } from "./weightedRoundRobin.js";

/** Requests in the shortest window over which the share of a target counts. */
const windowRequests = 200;
/** Largest difference between the share of a target and its weight. */
const maxDifference = 0.2;
const requestCount = 1500;

/** Returns the largest difference in any window of the requests that callers spread over the entries. */
function findLargestDifference(entryCount: number, weight: number, seed: number): number {
    const random = new SeededRandom(seed);
    const entries = Array.from({ length: entryCount }, () => new WeightedRoundRobin(random));
    const route = makeRoute({
        targets: [{ service: "orders", weight }, { service: "moulds", weight: 100 - weight }],
        isSplit: true,
    });
    const chosen = Array.from(
        { length: requestCount },
        () => entries[random.nextInt(entryCount)].choose(route) === "orders" ? 1 : 0 as number,
    );
    let largest = 0;
    for (let start = 0; start + windowRequests <= requestCount; start++) {
        const count = chosen.slice(start, start + windowRequests).reduce((sum, isFirst) => sum + isFirst, 0);
        largest = Math.max(largest, Math.abs(count / windowRequests - weight / 100));
    }
    return largest;
}

for (const entryCount of [17, 117, 312]) {
    test(`guards against entries that all begin with the same target of a split route: ${entryCount} entries`, t => {
        for (const weight of [50, 60, 75, 90]) {
            for (let seed = 1; seed <= 5; seed++) {
                const difference = findLargestDifference(entryCount, weight, seed);
                t.true(difference <= maxDifference, `weight ${weight}, seed ${seed}: ${difference}`);
            }
        }
    });
}

test("guards against shares of one entry that differ from the weights", t => {
    const roundRobin = new WeightedRoundRobin(new SeededRandom(1));
    const route = makeRoute({
        targets: [{ service: "orders", weight: 70 }, { service: "moulds", weight: 30 }],
        isSplit: true,
    });
    const chosen = Array.from({ length: 100 }, () => roundRobin.choose(route));
    t.is(chosen.filter(service => service === "orders").length, 70);
});
