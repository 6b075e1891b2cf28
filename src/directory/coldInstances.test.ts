import test from "ava";
import { ManualClock } from "../core/clock.js";
import { ColdInstances } from "./coldInstances.js";
import { DirectoryState } from "./directoryState.js";
import type { Registration, RoutedService } from "./model.js";
import { makeRegistration, makeTable } from "./testing.js";

const perSecond = 4.6;
const [plainService] = makeTable(1).services;
const limited: RoutedService = { ...plainService, warmupMs: 3000, warmupPerSecond: perSecond };

class Setup {
    readonly clock = new ManualClock();
    readonly state = new DirectoryState();
    readonly instances = new ColdInstances({
        clock: this.clock,
        listRegistrations: () => this.state.registrations.list(),
        listServices: () => this.state.routes.services,
    });

    constructor(service: RoutedService = limited) {
        const table = { ...makeTable(1), services: [service] };
        this.state.apply({ kind: "routes", baseVersion: 0, table, update: undefined, proposedAtMs: 0 });
        this.state.onChange = () => this.instances.refresh();
    }

    /** Returns whether the heartbeat is written to the log. */
    send(overrides: Partial<Registration>): boolean {
        const registration = makeRegistration(overrides);
        const { registrations, revision } = this.state;
        if (registrations.wouldChange(registration, this.instances.findRemainingMs(registration))) {
            this.state.apply({ kind: "register", registration });
        }
        return this.state.revision > revision;
    }
}

test("guards against a record of the log for each heartbeat of a warmup, and against one that is missed", t => {
    const setup = new Setup();
    t.true(setup.send({ sequence: 1, warmupMs: 3000 }));
    const { clock } = setup;
    clock.advance(1000);
    t.false(setup.send({ sequence: 2, warmupMs: 2000 }), "it counts down");
    clock.advance(1000);
    t.false(setup.send({ sequence: 3, warmupMs: 1050 }), "the heartbeat was delayed");
    t.true(setup.send({ sequence: 4, warmupMs: 2900 }), "cold again, for less than at the start");
    t.false(setup.send({ sequence: 3, warmupMs: 3000 }), "a delayed heartbeat");
    t.is(setup.instances.list()[0].coldUntilMs, clock.monotonicMs() + 2900);
    clock.advance(3000);
    t.true(setup.send({ sequence: 5, warmupMs: 0 }), "the end, so that a restarted control VM knows it");
    t.false(setup.send({ sequence: 6, warmupMs: 0 }));
    t.true(setup.send({ sequence: 7, warmupMs: 1500 }), "cold again after the end");
});

test("guards against other records of the log for a service that does not limit cold instances", t => {
    const setup = new Setup(plainService);
    t.true(setup.send({ sequence: 1, warmupMs: 3000 }));
    t.false(setup.send({ sequence: 2, warmupMs: 2500 }));
    t.false(setup.send({ sequence: 3, warmupMs: 9000 }));
    t.false(setup.send({ sequence: 4, warmupMs: 0 }));
    t.deepEqual(setup.instances.list(), []);
    const [registration] = setup.state.registrations.list();
    setup.clock.advance(1000);
    t.is(setup.instances.adjust(registration), registration, "messages stay as they are");
});

test("guards against a warmup that a restored snapshot or a wall clock that is set forward changes", t => {
    const setup = new Setup();
    setup.send({ warmupMs: 3000 });
    setup.clock.advance(1000);
    setup.clock.suspend(60_000);
    setup.state.restore(setup.state.toBytes());
    t.is(setup.instances.list()[0].coldUntilMs, 3000);
    t.is(setup.instances.adjust(setup.state.registrations.list()[0]).warmupMs, 2000);
});

test("guards against reports of another incarnation, and reports that repeat what is known", t => {
    const setup = new Setup();
    setup.send({ bornAtMs: 2000 });
    const report = { id: "i-1", bornAtMs: 2000, warmupMs: 3000 };
    t.false(setup.instances.recordReport({ ...report, bornAtMs: 1000 }));
    t.true(setup.instances.recordReport(report));
    t.like(setup.instances.list()[0], { perSecond, coldUntilMs: 3000, isOnlyReported: true });
    setup.clock.advance(500);
    t.false(setup.instances.recordReport({ ...report, warmupMs: 2500 }));
    t.deepEqual(setup.instances.listReported(), [{ ...report, warmupMs: 2500 }]);
    setup.clock.advance(2500);
    t.deepEqual(setup.instances.list(), []);
});
