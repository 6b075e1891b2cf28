import test from "ava";
import { SeededRandom } from "../core/random.js";
import { makeRegistration } from "../directory/testing.js";
import { PartitionDetector, Reachability } from "./partitionDetector.js";
import { chooseChecked } from "./reachabilityCheck.js";

const nowMs = 10_000;

function makeSuspicious(isConnectFailure: boolean): PartitionDetector {
    const detector = new PartitionDetector();
    ["a", "b", "c", "d"].forEach(id => detector.recordFailure(id, isConnectFailure, nowMs));
    return detector;
}

test("guards against overlooking a partition from all instances", t => {
    const detector = makeSuspicious(false);
    t.true(detector.shouldCheck(nowMs));
    detector.startCheck(nowMs);
    t.false(detector.shouldCheck(nowMs + 999), "checks are bounded");
    t.true(detector.applyCheck({ startedAtMs: nowMs, checkedCount: 12, answeredCount: 0 }));
    t.is(detector.reachability, Reachability.cutOff);
    t.true(detector.shouldCheck(nowMs + 500), "it checks for recovery");
});

test("guards against overlooking that no new connections can be opened while existing ones work", t => {
    const detector = makeSuspicious(true);
    detector.recordResponse(false, nowMs);
    t.true(detector.shouldCheck(nowMs));
    detector.recordResponse(false, nowMs + 100);
    detector.applyCheck({ startedAtMs: nowMs, checkedCount: 12, answeredCount: 0 });
    t.is(detector.reachability, Reachability.noNewConnections);
    detector.applyCheck({ startedAtMs: nowMs + 500, checkedCount: 3, answeredCount: 0 });
    t.is(detector.reachability, Reachability.cutOff, "the last existing connection has ended");
});

const calmCases: readonly { readonly name: string; readonly fail: (detector: PartitionDetector) => void; }[] = [
    {
        name: "two crashed instances",
        fail: detector => ["a", "b"].forEach(id => detector.recordFailure(id, true, nowMs)),
    },
    {
        name: "one instance that fails many times",
        fail: detector => Array.from({ length: 50 }, () => detector.recordFailure("a", true, nowMs)),
    },
    {
        name: "slow instances among others",
        fail: detector =>
            ["a", "b", "c", "d", "e"].forEach(id => {
                detector.recordFailure(id, false, nowMs);
                detector.recordResponse(false, nowMs);
            }),
    },
    {
        name: "failures over a long time",
        fail: detector =>
            ["a", "b", "c", "d"].forEach((id, index) => detector.recordFailure(id, true, nowMs - 3000 * index)),
    },
];

for (const { name, fail } of calmCases) {
    test(`guards against checks without a reason: ${name}`, t => {
        const detector = new PartitionDetector();
        fail(detector);
        t.false(detector.shouldCheck(nowMs));
    });
}

const falseAlarms = [
    { name: "slow instances that answer the check", checkedCount: 12, answeredCount: 1 },
    { name: "a service without instances", checkedCount: 0, answeredCount: 0 },
    { name: "the only two instances crashed", checkedCount: 2, answeredCount: 0 },
];

for (const { name, checkedCount, answeredCount } of falseAlarms) {
    test(`guards against a false alarm: ${name}`, t => {
        const detector = makeSuspicious(true);
        t.false(detector.applyCheck({ startedAtMs: nowMs, checkedCount, answeredCount }));
        t.is(detector.reachability, Reachability.reachable);
    });
}

test("guards against a false alarm: an instance that was not checked answers on a new connection", t => {
    const detector = makeSuspicious(true);
    detector.recordResponse(true, nowMs + 100);
    t.false(detector.applyCheck({ startedAtMs: nowMs, checkedCount: 12, answeredCount: 0 }));
});

test("guards against an entry that stays cut off, or returns after a single answer", t => {
    const detector = makeSuspicious(false);
    detector.applyCheck({ startedAtMs: nowMs, checkedCount: 12, answeredCount: 0 });
    t.false(detector.applyCheck({ startedAtMs: nowMs + 500, checkedCount: 3, answeredCount: 1 }));
    t.true(detector.applyCheck({ startedAtMs: nowMs + 1000, checkedCount: 3, answeredCount: 2 }));
    t.is(detector.reachability, Reachability.reachable);
    t.false(detector.shouldCheck(nowMs + 5000), "earlier failures are forgotten");
});

test("guards against a check that leaves out a zone", t => {
    const registrations = Array.from(
        { length: 30 },
        (_, index) =>
            makeRegistration({ id: `i-${index}`, availabilityZone: index < 28 ? "az-1" : `az-${index - 26}` }),
    );
    const random = new SeededRandom(3);
    const zonesOf = (isRecovery: boolean) =>
        chooseChecked(registrations, isRecovery, random).map(chosen => chosen.availabilityZone).sort().join();
    t.is(zonesOf(false), "az-1,az-1,az-1,az-1,az-2,az-3");
    t.is(zonesOf(true), "az-1,az-2,az-3");
});
