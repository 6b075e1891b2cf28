import test from "ava";
import { ManualClock } from "../core/clock.js";
import { ColdLimits } from "./coldLimits.js";
import { shareTtlMs } from "./limitShares.js";
import type { Registration } from "./model.js";
import { makeRegistration, makeTable } from "./testing.js";

const service = { ...makeTable(1).services[0], warmupPerSecond: 4.6 };
const entries = ["e-0", "e-1", "e-2", "e-3", "e-4", "e-5"].map(id => ({
    id,
    availabilityZone: "az-1",
    services: ["orders"],
}));

class Setup {
    readonly clock = new ManualClock();
    registrations: readonly Registration[] = [];
    readonly limits = new ColdLimits({
        clock: this.clock,
        logger: { info: () => 0, warn: () => 0, error: () => 0 },
        listRegistrations: () => this.registrations,
        listServices: () => [service],
    });

    register(overrides: Partial<Registration>): void {
        this.clock.advance(1);
        const registration = makeRegistration({ warmupMs: 3000, ...overrides });
        this.registrations = [...this.registrations.filter(({ id }) => id !== registration.id), registration];
        this.limits.refresh();
    }

    /** Divides as the leader; returns the sum of the shares by instance. */
    allocate(isLeading = true): ReadonlyMap<string, number> {
        const nowMs = this.clock.monotonicMs();
        if (isLeading) {
            this.limits.confirm();
            const expiresAtMs = nowMs + shareTtlMs;
            this.limits.allocate({ nowMs, expiresAtMs, entries, registrations: this.registrations });
        }
        const rows = this.limits.describeForMember(new Map(entries.map(({ id }, position) => [id, position]))) ?? [];
        return new Map(
            rows.map((
                { id, shares },
            ) => [id, Math.round(100 * shares.reduce((sum, [, share]) => sum + share, 0)) / 100]),
        );
    }
}

test("guards against a new leader that divides what the previous one may have divided, or leaves new instances idle", t => {
    const setup = new Setup();
    setup.register({ id: "i-1", address: "10.0.0.1:80" });
    setup.limits.startLeading();
    t.deepEqual([...setup.allocate()], []);
    setup.register({ id: "i-2", address: "10.0.0.2:80" });
    t.deepEqual([...setup.allocate()], [["i-2", 1]], "no earlier leader knew it");
    setup.register({ id: "i-1", address: "10.0.0.1:80", sequence: 2, warmupMs: 9000 });
    t.false(setup.allocate().has("i-1"), "the same incarnation is cold for longer");
    setup.clock.advance(shareTtlMs);
    t.is(setup.allocate().get("i-1"), 1);
});

test("guards against first permits for an instance that has just got requests without a limit", t => {
    const setup = new Setup();
    setup.register({ warmupMs: 0 });
    setup.limits.startLeading();
    setup.clock.advance(shareTtlMs);
    setup.allocate();
    setup.register({ warmupMs: 3000, sequence: 2 });
    setup.allocate();
    const again = entries.map(({ id }) => setup.limits.describe(id)?.[0].start?.[0] ?? 0);
    t.true(again.every(permits => permits < 1), `${again.join()}`);
    setup.register({ warmupMs: 3000, bornAtMs: 2000 });
    setup.allocate();
    const restarted = entries.map(({ id }) => setup.limits.describe(id)?.[0].start?.[0] ?? 0);
    t.deepEqual(restarted, [1, 1, 1, 1, 1, 0], "at most five entries share it");
});

test("guards against shares that return to the first holders twice when a warmup is extended", t => {
    const setup = new Setup();
    setup.limits.startLeading();
    setup.clock.advance(shareTtlMs);
    setup.allocate();
    setup.register({ warmupMs: 1000 });
    setup.allocate();
    setup.clock.advance(1500);
    t.deepEqual([...setup.allocate()], [], "the warmup has ended");
    setup.register({ warmupMs: 3000, sequence: 2 });
    t.is(setup.allocate().get("i-1"), 1);
    const starts = entries.map(({ id }) => setup.limits.describe(id)?.[0].start);
    t.true(starts.every(start => start === undefined || start[2] >= 1500), "no holding has begun anew");
});

test("guards against a warmup that entries do not learn of without a leader", t => {
    const setup = new Setup();
    setup.register({ warmupMs: 0 });
    t.is(setup.limits.describe("e-0"), undefined);
    t.true(setup.limits.recordReports([{ id: "i-1", bornAtMs: 1000, warmupMs: 3000 }]));
    t.like(setup.limits.describe("e-0")?.[0], { id: "i-1", warmupMs: 3000, share: 0 });
    t.deepEqual(setup.limits.listReported(), [{ id: "i-1", bornAtMs: 1000, warmupMs: 3000 }]);
});
