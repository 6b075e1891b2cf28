import test from "ava";
import { SeededRandom } from "../core/random.js";
import { makeRoute, makeTable } from "../directory/testing.js";
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

/** Weights of a route before and after a change. */
const weightChanges: readonly {
    readonly name: string;
    readonly before: Readonly<Record<string, number>>;
    readonly after: Readonly<Record<string, number>>;
}[] = [
    { name: "a smaller total, and 0", before: { stable: 999, canary: 1 }, after: { stable: 1, canary: 0 } },
    { name: "a smaller total", before: { stable: 900, canary: 100 }, after: { stable: 1, canary: 1 } },
    { name: "a larger total", before: { stable: 1, canary: 1 }, after: { stable: 10, canary: 90 } },
    { name: "0 from the larger share", before: { stable: 70, canary: 30 }, after: { stable: 0, canary: 30 } },
    { name: "a service more", before: { stable: 500, canary: 500 }, after: { stable: 5, canary: 3, third: 2 } },
    { name: "a service less", before: { stable: 50, canary: 30, third: 20 }, after: { third: 1, stable: 1 } },
    { name: "fractions", before: { stable: 99, canary: 1 }, after: { stable: 0.5, canary: 0.5 } },
];

function makeSplit(weights: Readonly<Record<string, number>>, name = "stock") {
    return makeRoute({
        name,
        targets: Object.entries(weights).map(([service, weight]) => ({ service, weight })),
        isSplit: true,
    });
}

for (const { name, before, after } of weightChanges) {
    for (const entryCount of [17, 117, 312]) {
        test(`guards against shares of earlier weights after a change to ${name}: ${entryCount} entries`, t => {
            for (let seed = 1; seed <= 3; seed++) {
                const random = new SeededRandom(seed);
                const entries = Array.from({ length: entryCount }, () => new WeightedRoundRobin(random));
                const choose = (weights: Readonly<Record<string, number>>) =>
                    entries[random.nextInt(entryCount)].choose(makeSplit(weights));
                for (let count = 0; count < 20 * entryCount; count++) {
                    choose(before);
                }
                const chosen = Array.from({ length: requestCount }, () => choose(after));
                checkShares(chosen, after, text => t.fail(`seed ${seed}: ${text}`));
                // Back again, as when a roll-out is resumed.
                checkShares(
                    Array.from({ length: requestCount }, () => choose(before)),
                    before,
                    text => t.fail(`seed ${seed}, back: ${text}`),
                );
            }
            t.pass();
        });
    }
}

/** Checks that no target of weight 0 is chosen, and the shares in each window. */
function checkShares(
    chosen: readonly string[],
    weights: Readonly<Record<string, number>>,
    fail: (text: string) => void,
): void {
    const total = Object.values(weights).reduce((sum, weight) => sum + weight, 0);
    for (const service of new Set(chosen)) {
        const weight = weights[service] ?? 0;
        if (weight === 0) {
            fail(`${service}, whose weight is 0, was chosen`);
        }
        for (let start = 0; start + windowRequests <= chosen.length; start += 50) {
            const count = chosen.slice(start, start + windowRequests).filter(other => other === service).length;
            if (Math.abs(count / windowRequests - weight / total) > maxDifference) {
                fail(`${count} of ${windowRequests} requests from ${start} on went to ${service}`);
            }
        }
    }
}

test("guards against a target of weight 0 that is chosen at any moment", t => {
    const random = new SeededRandom(3);
    const roundRobin = new WeightedRoundRobin(random);
    for (let change = 0; change < 500; change++) {
        const weights = Object.fromEntries(
            ["a", "b", "c"].map(service => [service, random.nextInt(3) === 0 ? 0 : random.nextInt(1000) / 10]),
        );
        if (Object.values(weights).every(weight => weight === 0)) {
            continue;
        }
        for (let count = 0; count < 50; count++) {
            const service = roundRobin.choose(makeSplit(weights));
            t.true(weights[service] > 0, `${service} of ${JSON.stringify(weights)}`);
        }
    }
});

test("guards against shares that begin anew with each change of another field, and against routes that are kept for ever", t => {
    const roundRobin = new WeightedRoundRobin(new SeededRandom(1));
    const weights = { stable: 99, canary: 1 };
    const chosen = Array.from(
        { length: 1000 },
        (_value, index) => roundRobin.choose({ ...makeSplit(weights), timeoutMs: 1000 + index }),
    );
    t.is(chosen.filter(service => service === "canary").length, 10);
    roundRobin.keepOnly(makeTable(2, []));
    t.deepEqual([...(roundRobin as unknown as { sequences: Map<string, unknown>; }).sequences.keys()], []);
});
