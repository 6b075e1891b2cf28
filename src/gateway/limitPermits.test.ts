import test from "ava";
import { ManualClock, readInstant } from "../core/clock.js";
import { SeededRandom } from "../core/random.js";
import { makeRegistration, makeTable } from "../directory/testing.js";
import { drawRetryAfterMs, RefusalCause } from "./refusals.js";
import { TestEntry, TestUpstream } from "./testing.js";
import { MessageKind, UpstreamLimits } from "./upstreamLimits.js";
import { type UpstreamState, UpstreamStateTable } from "./upstreamStateTable.js";

const limit = { kind: "limit", perSecond: 2 } as const;
const noLimit = { kind: "none" } as const;
const validMs = 4000;

class LimitsSetup {
    readonly clock = new ManualClock(1000);
    readonly upstreamTable = new UpstreamStateTable();
    readonly warnings: string[] = [];
    readonly limits: UpstreamLimits;
    readonly upstreamState: UpstreamState;
    observedCount = 0;

    constructor() {
        const { clock, upstreamTable } = this;
        this.limits = new UpstreamLimits({
            upstreamTable,
            clock,
            logger: { debug: () => 0, info: () => 0, warn: text => this.warnings.push(text), error: () => 0 },
            metrics: undefined as never,
            onObserved: () => this.observedCount++,
        });
        upstreamTable.set(makeRegistration(), clock.monotonicMs());
        [this.upstreamState] = upstreamTable.list();
    }

    name(statement: Parameters<UpstreamLimits["recordStatement"]>[1], canWithdraw = true): void {
        this.limits.recordStatement(this.upstreamState, statement, MessageKind.request, canWithdraw);
    }

    applyShare(share: number, perSecond: number | undefined, ageMs = 0): void {
        const { id, bornAtMs } = this.upstreamState.registration;
        const version = this.limits.version + 1;
        this.limits.apply(
            { version, validMs, rows: [{ id, bornAtMs, perSecond, ageMs, share }] },
            readInstant(this.clock),
        );
    }

    /** Takes all permits; returns how many there were. */
    takeAll(): number {
        let count = 0;
        for (; this.limits.isPermitted(this.upstreamState); count++) {
            this.limits.takePermit(this.upstreamState);
        }
        return count;
    }
}

test("guards against a burst when an entry gets a share, and against permits that outlive it", t => {
    const setup = new LimitsSetup();
    setup.name(limit);
    t.is(setup.takeAll(), 0, "no permits without a share");
    setup.clock.advance(10_000);
    setup.applyShare(0.5, 2);
    t.is(setup.takeAll(), 0, "permits start from none");
    t.is(Math.round(setup.limits.findPermitAtMs(setup.upstreamState) - setup.clock.monotonicMs()), 1000);
    setup.clock.advance(3000);
    t.is(setup.takeAll(), 3, "half of the limit for 3 s");
    setup.clock.advance(2000);
    t.is(setup.takeAll(), 0, "the share has expired");
    t.is(setup.limits.findPermitAtMs(setup.upstreamState), Infinity);
    setup.applyShare(0.5, 2);
    t.is(setup.takeAll(), 0, "time without a share brings no permits");
});

test("guards against permits of a VM that was suspended", t => {
    const setup = new LimitsSetup();
    setup.applyShare(1, 2);
    setup.clock.advance(1000);
    setup.clock.suspend(validMs);
    t.is(setup.takeAll(), 0);
});

test("guards against an unused share that accumulates without bound", t => {
    const setup = new LimitsSetup();
    setup.applyShare(0.5, 2);
    for (let second = 0; second < 60; second++) {
        setup.clock.advance(1000);
        setup.applyShare(0.5, 2);
    }
    t.is(setup.takeAll(), 3, "half of the burst of 7");
});

test("guards against a lower limit that applies late", t => {
    const setup = new LimitsSetup();
    setup.applyShare(1, 20);
    setup.clock.advance(1000);
    t.is(setup.takeAll(), 20);
    setup.name(limit);
    setup.clock.advance(1000);
    t.is(setup.takeAll(), 2);
});

test("guards against losing a permit whose request was not sent", t => {
    const setup = new LimitsSetup();
    setup.applyShare(1, 2);
    setup.clock.advance(500);
    setup.limits.takePermit(setup.upstreamState);
    setup.limits.returnPermit(setup.upstreamState);
    t.is(setup.takeAll(), 1);
});

test("guards against a limit that ends too early or never", t => {
    const setup = new LimitsSetup();
    setup.name(limit);
    setup.clock.advance(500);
    setup.name(noLimit);
    t.true(setup.limits.isLimited(setup.upstreamState), "responses can overtake each other");
    setup.clock.advance(1000);
    setup.name(noLimit, false);
    t.true(setup.limits.isLimited(setup.upstreamState), "probes and rejections do not withdraw");
    setup.name({ kind: "invalid", text: "soon" });
    t.true(setup.limits.isLimited(setup.upstreamState));
    t.deepEqual(setup.warnings, ["upstream names an invalid rate limit"]);
    setup.name(noLimit);
    t.false(setup.limits.isLimited(setup.upstreamState));
    t.is(setup.observedCount, 2, "the limit and its end");
    setup.clock.advance(1);
    setup.applyShare(0, 2);
    t.true(setup.limits.isLimited(setup.upstreamState), "another entry saw it again");
});

test("guards against a limit that comes back when the control VM forgets its end", t => {
    const setup = new LimitsSetup();
    setup.name(limit);
    setup.clock.advance(1000);
    setup.applyShare(0, undefined);
    t.false(setup.limits.isLimited(setup.upstreamState), "another entry saw its end");
    setup.limits.apply({ version: setup.limits.version + 1, validMs, rows: [] }, readInstant(setup.clock));
    t.false(setup.limits.isLimited(setup.upstreamState));
    t.deepEqual(setup.limits.listUnreported(), []);
});

test("guards against a limit that is forgotten when all control VMs restart", t => {
    const setup = new LimitsSetup();
    setup.name(limit);
    setup.clock.advance(1000);
    setup.applyShare(1, 2);
    setup.limits.apply({ version: setup.limits.version + 1, validMs, rows: [] }, readInstant(setup.clock));
    t.true(setup.limits.isLimited(setup.upstreamState));
    t.like(setup.limits.listUnreported(), [{ perSecond: 2 }]);
});

test("guards against reports that repeat what the control VM knows", t => {
    const setup = new LimitsSetup();
    t.deepEqual(setup.limits.listUnreported(), []);
    setup.name(limit);
    t.like(setup.limits.listUnreported(), [{ id: "i-1", perSecond: 2, ageMs: 0 }]);
    setup.clock.advance(100);
    setup.applyShare(0, 2, 50);
    setup.name({ kind: "limit", perSecond: 2.01 });
    t.deepEqual(setup.limits.listUnreported(), []);
    setup.name({ kind: "limit", perSecond: 3 });
    t.like(setup.limits.listUnreported(), [{ perSecond: 3 }]);
});

test("guards against a limit of an earlier incarnation", t => {
    const setup = new LimitsSetup();
    setup.applyShare(0.5, 2);
    setup.upstreamTable.set(makeRegistration({ bornAtMs: 2000 }), setup.clock.monotonicMs());
    t.false(setup.limits.isLimited(setup.upstreamTable.list()[0]));
});

test("guards against callers that return before a limited upstream accepts a request", t => {
    const request = { cause: RefusalCause.limited, untilTargetMs: 280, baselineMs: 120, untilDeadlineMs: 2400 };
    const random = new SeededRandom(1);
    t.true(drawRetryAfterMs({ ...request, permitDelayMs: 2000 }, random) >= 2000);
    t.true(drawRetryAfterMs({ ...request, permitDelayMs: 0 }, random) < 800);
    t.true(drawRetryAfterMs({ ...request, permitDelayMs: Infinity }, random) < 800, "no permit is in sight");
});

test("guards against a request that waits although all upstreams are at their limit", async t => {
    const entry = new TestEntry();
    const upstream = new TestUpstream("i-1");
    upstream.answer = (_request, response) => response.writeHead(200, { "Rate-Limit": "0.4" }).end("done");
    await entry.start(makeTable(1));
    await entry.addUpstream(upstream);
    t.is((await entry.send("/stock/1", "a")).status, 200);
    t.is((await entry.send("/stock/1", "b")).status, 503);
    t.deepEqual(upstream.receivedIds, ["a"]);
    const refusal = entry.lines.find(({ text }) => text === "answered without an upstream");
    t.like(refusal?.fields, { requestId: "b", reason: "limited", verdict: "not-run", attempts: 0 });
    t.true(Number(refusal?.fields["retryAfterMs"]) > 0);
    entry.close();
    upstream.close();
});
