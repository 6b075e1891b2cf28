import test from "ava";
import { HeldWork } from "./heldWork.js";

function hold(work: HeldWork, timeoutsMs: readonly (number | undefined)[]): number[] {
    const ran: number[] = [];
    timeoutsMs.forEach((timeoutMs, index) => work.add(() => ran.push(index), timeoutMs, 0));
    return ran;
}

function runAll(work: HeldWork, nowMs: number): void {
    for (let next = work.takeNext(nowMs); next !== undefined; next = work.takeNext(nowMs)) {
        next();
    }
}

test("guards against answers to callers that have given up", t => {
    const work = new HeldWork();
    const ran = hold(work, [100, 300, 100, 300]);
    runAll(work, 200);
    t.deepEqual(ran, [1, 3]);
    t.is(work.count, 0);
});

test("guards against a caller of an earlier version whose call is dropped, as it names no timeout", t => {
    const work = new HeldWork();
    const ran = hold(work, [undefined, 100]);
    runAll(work, 60_000);
    t.deepEqual(ran, [0]);
});

test("guards against calls that are held without bound for a peer that does not read", t => {
    const work = new HeldWork();
    const ran = hold(work, Array.from({ length: 10_000 }, () => undefined));
    t.true(work.count < 1000);
    runAll(work, 0);
    t.is(ran.at(-1), 9999, "the latest ones are kept");
});
