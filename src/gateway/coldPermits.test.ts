import test from "ava";
import { ManualClock, readInstant } from "../core/clock.js";
import { coldLimitKind } from "../directory/limitKinds.js";
import { makeRegistration, makeTable } from "../directory/testing.js";
import { makeColdService } from "./coldFleet.js";
import { UpstreamLimits } from "./upstreamLimits.js";
import { type UpstreamState, UpstreamStateTable } from "./upstreamStateTable.js";

const perSecond = 4.6;
const warmupMs = 3000;
const silentLogger = { debug: () => 0, info: () => 0, warn: () => 0, error: () => 0 };

class Setup {
    readonly clock = new ManualClock(10_000);
    readonly upstreamTable = new UpstreamStateTable();
    reportCount = 0;
    readonly limits: UpstreamLimits;

    constructor(services = [makeColdService(perSecond)]) {
        this.limits = new UpstreamLimits({
            upstreamTable: this.upstreamTable,
            clock: this.clock,
            logger: silentLogger,
            metrics: undefined as never,
            onObserved: () => this.reportCount++,
        });
        this.limits.cold.setServices(services);
        this.clock.advance(1000);
    }

    register(): UpstreamState {
        this.upstreamTable.set(makeRegistration({ warmupMs }), this.clock.monotonicMs());
        return this.upstreamTable.list()[0];
    }

    grant(share: number, start?: readonly [number, number, number], validMs = 4000): void {
        const cold = [{ id: "i-1", bornAtMs: 1000, warmupMs, perSecond, share, start }];
        this.limits.apply({ version: this.limits.version + 1, validMs, rows: [], cold }, readInstant(this.clock));
    }

    /** Takes all permits; returns their number. */
    drain(upstreamState: UpstreamState): number {
        let count = 0;
        while (this.limits.isPermitted(upstreamState)) {
            this.limits.takePermit(upstreamState);
            count++;
        }
        return count;
    }
}

test("guards against messages to a cold upstream without a share, and against a limit that outlives the warmup", t => {
    const setup = new Setup();
    const upstreamState = setup.register();
    t.true(setup.limits.isLimited(upstreamState), "the placer probes no limited upstream");
    t.is(setup.drain(upstreamState), 0);
    t.is(setup.limits.countPermitsUntil(upstreamState, setup.clock.monotonicMs() + 1000), 0);
    setup.clock.suspend(60_000);
    t.true(setup.limits.isLimited(upstreamState), "the wall clock does not end a warmup");
    setup.clock.advance(warmupMs);
    t.false(setup.limits.isLimited(upstreamState));
    t.true(setup.limits.isPermitted(upstreamState));
});

test("guards against a limit of cold upstreams that is not configured", t => {
    const setup = new Setup([makeTable(1).services[0]]);
    const upstreamState = setup.register();
    setup.limits.cold.recordProbe(upstreamState, 3000);
    t.false(setup.limits.isLimited(upstreamState));
    t.is(setup.reportCount, 0);
});

test("guards against more than the rule allows in a second", t => {
    for (const limit of [0, 1, 4.6, 6.1, 100]) {
        const allowed = 1.5 * limit + 8;
        const usable = coldLimitKind.usableRatePerSecond(limit) + coldLimitKind.usableBurst(limit);
        t.true(usable <= allowed - 1, `${limit}: ${usable} of ${allowed}`);
        const starts = coldLimitKind.maxHolders(limit) * coldLimitKind.findStart(0, 1, true);
        t.true(starts <= coldLimitKind.usableBurst(limit), `${limit}: ${starts} at the start`);
    }
});

test("guards against permits that are given twice: renewed, after a restart, or after the share has expired", t => {
    const setup = new Setup();
    const upstreamState = setup.register();
    setup.grant(0.25, [1, 7, 0]);
    t.is(setup.drain(upstreamState), 1);
    setup.grant(0.25, [1, 7, 100]);
    t.is(setup.drain(upstreamState), 0, "the same holding");
    setup.clock.suspend(5000);
    setup.clock.advance(1000);
    t.is(setup.drain(upstreamState), 0, "the share has expired");
    const restarted = new Setup();
    const other = restarted.register();
    restarted.grant(0.25, [1, 7, 1001]);
    t.is(restarted.drain(other), 0, "the process started after the grant");
});

test("guards against the loss of a permit that an answer with 421 returns", t => {
    const setup = new Setup();
    const upstreamState = setup.register();
    setup.grant(0.5, [1, 7, 0]);
    t.is(setup.drain(upstreamState), 1);
    setup.limits.cold.returnPermit(upstreamState);
    t.is(setup.drain(upstreamState), 1);
});

test("guards against an upstream that becomes cold again unnoticed, and against repeated reports", t => {
    const setup = new Setup();
    const upstreamState = setup.register();
    setup.clock.advance(warmupMs);
    setup.limits.cold.recordProbe(upstreamState, undefined);
    t.false(setup.limits.isLimited(upstreamState));
    setup.limits.cold.recordProbe(upstreamState, 2000);
    setup.limits.cold.recordProbe(upstreamState, 1990);
    t.true(setup.limits.isLimited(upstreamState));
    t.is(setup.reportCount, 1);
    t.deepEqual(setup.limits.cold.describeUnreported(), { cold: [{ id: "i-1", bornAtMs: 1000, warmupMs: 2000 }] });
    setup.grant(0.5);
    t.deepEqual(setup.limits.cold.describeUnreported(), {}, "the control VM knows it");
});
