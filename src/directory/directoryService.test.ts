import test from "ava";
import { ManualClock } from "../core/clock.js";
import { type DirectoryLog, DirectoryService } from "./directoryService.js";
import { type DirectoryChange, DirectoryState } from "./directoryState.js";
import type { ForwardedOutcome } from "./messages.js";
import { makeRegistration, makeRoute, makeTable } from "./testing.js";

const heartbeatIntervalMs = 1000;

interface Setup {
    readonly service: DirectoryService;
    readonly clock: ManualClock;
    readonly state: DirectoryState;
    readonly log: {
        isLeader: boolean;
        isLed: boolean;
        confirmedAtMs: number;
        onContactChange: () => void;
        leaderAddress: string | undefined;
        propose: (change: DirectoryChange) => Promise<ForwardedOutcome>;
    };
    readonly calls: string[];
}

/** Makes a service whose log applies changes immediately and whose calls to other VMs fail. */
function makeService(): Setup {
    const clock = new ManualClock();
    const state = new DirectoryState();
    const calls: string[] = [];
    const log = {
        isLeader: true,
        isLed: true,
        confirmedAtMs: 0,
        onContactChange: () => undefined,
        leaderAddress: undefined as string | undefined,
        selfId: "a",
        state,
        members: { voters: [{ id: "a", peerAddress: "10.1.0.1:7000" }], learners: [] },
        propose: (change: DirectoryChange): Promise<ForwardedOutcome> =>
            Promise.resolve({ kind: "applied", result: state.apply(change) }),
        confirmLeadership: () => Promise.resolve(log.isLeader),
    };
    const links = {
        isConnected: (address: string) => !address.startsWith("10.9."),
        call: (_address: string, method: string) => {
            calls.push(method);
            return Promise.reject(new Error("no answer"));
        },
        notify: (_address: string, method: string) => void calls.push(method),
    };
    const logger = { info: () => 0, warn: () => 0, error: () => 0 };
    const service = new DirectoryService({
        log: log as unknown as DirectoryLog & typeof log,
        links,
        clock,
        logger,
        heartbeatIntervalMs,
    });
    return { service, clock, state, log, calls };
}

function runMaintenance({ service, clock }: Setup, seconds: number): void {
    for (let second = 0; second < seconds; second++) {
        clock.advance(1000);
        service.runMaintenance();
    }
}

test("guards against expiring a new instance whose heartbeats are not yet reported to the leader", async t => {
    const setup = makeService();
    runMaintenance(setup, 60);
    // Registered through another control VM, which reports its heartbeats later.
    setup.state.apply({ kind: "register", registration: makeRegistration() });
    setup.service.runMaintenance();
    t.is(setup.state.registrations.size, 1);
    runMaintenance(setup, 30);
    t.is(setup.state.registrations.size, 0, "no heartbeat was received for 20 intervals");
});

test("guards against an expired instance that cannot register again", async t => {
    const setup = makeService();
    t.true(await setup.service.register(makeRegistration()));
    runMaintenance(setup, 40);
    t.is(setup.state.registrations.size, 0);
    t.true(await setup.service.register(makeRegistration({ sequence: 40 })));
    t.is(setup.state.registrations.size, 1);
    t.true(await setup.service.deregister("i-1", undefined));
    t.true(await setup.service.register(makeRegistration({ sequence: 41 })));
    t.is(setup.state.registrations.size, 0, "a deregistration is final");
});

test("guards against acknowledging a drain that was not committed", async t => {
    const { service, log, state, calls } = makeService();
    state.apply({ kind: "register", registration: makeRegistration() });
    log.isLeader = false;
    t.false(await service.register(makeRegistration({ state: "draining", sequence: 5 })), "no leader is known");
    log.leaderAddress = "10.0.0.9:7000";
    t.false(await service.register(makeRegistration({ state: "draining", sequence: 6 })), "the leader does not answer");
    t.deepEqual(calls, ["directory.propose"]);
    t.true(
        await service.register(makeRegistration({ sequence: 7 })),
        "a heartbeat without changes is acknowledged without the leader",
    );
});

test("guards against acknowledging an evacuation that was not committed", async t => {
    const { service, log, state, calls } = makeService();
    t.true(await service.changeEvacuation("az-2", true));
    t.true(await service.changeEvacuation("az-2", true), "a resend");
    t.deepEqual(state.evacuatedZones, ["az-2"]);
    log.isLeader = false;
    t.false(await service.changeEvacuation("az-2", true), "no leader is known");
    log.leaderAddress = "10.0.0.9:7000";
    t.false(await service.changeEvacuation("az-2", false), "the leader does not answer");
    t.deepEqual(calls, ["directory.propose"]);
    t.deepEqual(state.evacuatedZones, ["az-2"]);
});

test("guards against stale reads: routes are not returned without a confirmed leader", async t => {
    const { service, log, state } = makeService();
    state.apply({ kind: "routes", baseVersion: 0, table: makeTable(3), update: undefined, proposedAtMs: 0 });
    t.is((await service.readRoutes())?.version, 3);
    log.isLeader = false;
    t.is(await service.readRoutes(), undefined);
    log.leaderAddress = "10.0.0.9:7000";
    t.is(await service.readRoutes(), undefined);
});

test("guards against entries that do not learn what their zone rejects, and against bytes while nothing is", async t => {
    const { service, clock } = makeService();
    const entry = { id: "e-1", address: "10.0.1.1:80", availabilityZone: "az-1", isServing: true };
    const watch = () => service.watch({ entry: { ...entry, id: "e-3" }, version: -1, waitMs: 1 });
    t.false("demand" in await watch());
    const demand = [{ service: "orders", rows: [[1, 10, 4, 4]] as const }];
    service.recordEntry({ ...entry, demand });
    service.recordEntry({ ...entry, id: "e-2", demand });
    const expected = [{ service: "orders", availabilityZone: "az-1", rows: [[1, 20, 8, 8]] as const }];
    t.deepEqual((await watch()).demand, expected);
    clock.advance(1501);
    t.false("demand" in await watch());
});

test("guards against offering callers an entry that is gone or stopping", t => {
    const { service, clock } = makeService();
    const report = { id: "e-1", address: "10.0.1.1:80", availabilityZone: "az-1", isServing: true };
    service.recordEntry(report);
    service.recordEntry({ ...report, id: "e-2", address: "10.0.2.1:80", availabilityZone: "az-2" });
    t.deepEqual(service.listEntryAddresses("az-1", 64, "10.0.9.9"), ["10.0.1.1:80"]);
    service.recordEntry({ ...report, isServing: false });
    t.deepEqual(
        service.listEntryAddresses("az-1", 64, "10.0.9.9"),
        ["10.0.2.1:80"],
        "an entry in another availability zone, as there is none in the caller's",
    );
    clock.advance(1500);
    t.deepEqual(service.listEntryAddresses("az-1", 64, "10.0.9.9"), []);
});

test("guards against more addresses than a caller accepts, and against entries that are offered unevenly", t => {
    const { service } = makeService();
    const report = { id: "e-1", address: "", availabilityZone: "az-1", isServing: true };
    for (let index = 0; index < 100; index++) {
        service.recordEntry({ ...report, id: `e-${index}`, address: `10.0.0.${index}:80` });
    }
    const offers = new Map<string, number>();
    for (let caller = 0; caller < 2000; caller++) {
        const callerIp = `10.9.${caller % 250}.${Math.floor(caller / 250)}`;
        const addresses = service.listEntryAddresses("az-1", 64, callerIp);
        t.is(new Set(addresses).size, 64);
        t.deepEqual(
            service.listEntryAddresses("az-1", 64, callerIp),
            addresses,
            "a caller gets the same addresses again",
        );
        addresses.forEach(address => offers.set(address, (offers.get(address) ?? 0) + 1));
    }
    t.is(offers.size, 100);
    const meanOffers = 2000 * 64 / 100;
    t.true([...offers.values()].every(count => Math.abs(count - meanOffers) < meanOffers / 10));
});

test("guards against heartbeats to a control VM that is down or was replaced", async t => {
    const setup = makeService();
    const { service, state } = setup;
    const announce = (peerAddress: string, availabilityZone: string) =>
        service.publishNode({ peerAddress, operatorAddress: `${peerAddress}0`, availabilityZone });
    await announce("10.9.0.1:7000", "az-2");
    t.is(service.findHeartbeatAddress("az-2"), undefined, "the VM is not connected");
    await announce("10.2.0.1:7000", "az-2");
    t.is(service.findHeartbeatAddress("az-2"), "10.2.0.1:70000");
    await announce("10.1.0.1:7000", "az-1");
    runMaintenance(setup, 3);
    t.is(state.nodes.length, 3, "a VM that lost its disk rejoins within this time");
    runMaintenance(setup, 10);
    t.deepEqual(state.nodes.map(node => node.peerAddress), ["10.1.0.1:7000"], "VMs that are not members are removed");
});

test("guards against peers that are sent unasked, and against an entry that asks and gets none", async t => {
    const { service } = makeService();
    const report = { id: "e-1", address: "10.2.0.1:80", availabilityZone: "az-1", isServing: true };
    service.recordEntry({ ...report, id: "e-2", address: "10.2.0.2:80" });
    const params = { entry: report, version: 0, waitMs: 0 };
    t.false("peers" in await service.watch(params));
    const { peers } = await service.watch({ ...params, wantsPeers: true });
    t.deepEqual(peers, [{ address: "10.2.0.2:80", availabilityZone: "az-1" }]);
    t.deepEqual(service.listRelayPeers().length, 2);
});

test("guards against other entries that still use an instance which announced to one of them that it leaves", async t => {
    const { service, state } = makeService();
    await service.register(makeRegistration({ bornAtMs: 5 }));
    const entry = { id: "e-1", address: "10.2.0.1:80", availabilityZone: "az-1", isServing: true };
    await service.watch({ entry: { ...entry, leaving: [{ id: "i-1", bornAtMs: 5 }] }, version: 0, waitMs: 0 });
    t.is(state.registrations.get("i-1")?.state, "draining");
});

test("guards against an entry that relies on a state from the time of its call instead of its confirmation", async t => {
    const { service, clock, log, state } = makeService();
    state.apply({ kind: "register", registration: makeRegistration() });
    const entry = { id: "e-1", address: "10.2.0.1:80", availabilityZone: "az-1", isServing: true };
    clock.advance(900);
    log.confirmedAtMs = 300;
    t.like(await service.watch({ entry, version: 0, waitMs: 0 }), { isLed: true, confirmedAgeMs: 600 });
    log.isLed = false;
    t.false("confirmedAgeMs" in await service.watch({ entry, version: 0, waitMs: 0 }));
});

test("guards against a control VM without a leader that holds the calls of entries", async t => {
    const { service, log, state } = makeService();
    state.apply({ kind: "register", registration: makeRegistration() });
    const entry = { id: "e-1", address: "10.2.0.1:80", availabilityZone: "az-1", isServing: true };
    const held = service.watch({ entry, version: state.revision, waitMs: 300_000 });
    log.isLed = false;
    log.onContactChange();
    t.false((await held).isLed);
    t.is((await service.watch({ entry, version: 0, waitMs: 0 })).delta, undefined, "the entry could not use it");
    t.false((await service.watch({ entry, version: state.revision, waitMs: 300_000 })).isLed);
});

test("guards against entries that leave the control VM of their zone while the group forms", async t => {
    const { service, log } = makeService();
    const entry = { id: "e-1", address: "10.2.0.1:80", availabilityZone: "az-1", isServing: true };
    log.isLed = false;
    const held = service.watch({ entry, version: 0, waitMs: 300_000 });
    await new Promise(resolve => setImmediate(resolve));
    log.isLed = true;
    log.onContactChange();
    t.true((await held).isLed);
});

test("guards against an update through any control VM that drops routes of a host that is listed twice", async t => {
    const { service, state } = makeService();
    const routes = ["stock", "pour"].map(name => makeRoute({ name, pathPrefix: `/${name}/` }));
    const host = "shop.example";
    const hosts = routes.map(route => ({ host, routes: [route] }));
    await service.changeRoutes({ baseVersion: 0, table: { ...makeTable(1), hosts }, update: undefined });
    const empty = { limits: undefined, services: [], removedRoutes: [], removedServices: [] };
    const makeUpdate = (version: number) => ({
        ...empty,
        version,
        hosts: [{ host, routes: [{ ...routes[1], timeoutMs: 700 + version }] }],
    });
    const direct = { baseVersion: 1, table: undefined, update: makeUpdate(2) };
    const forwarded = {
        kind: "routes" as const,
        baseVersion: 2,
        table: undefined,
        update: makeUpdate(3),
        proposedAtMs: 0,
    };
    for (let sending = 0; sending < 2; sending++) {
        t.is((await service.changeRoutes(direct))?.outcome, "accepted");
        const outcome = await service.handleProposal({ change: forwarded });
        t.deepEqual(outcome.kind === "applied" && outcome.result.outcome, "accepted");
        t.deepEqual(state.routes.hosts.flatMap(listed => listed.routes.map(route => route.name)), ["stock", "pour"]);
        t.is(state.routes.version, 3);
    }
});

test("guards against an update that drops routes since its base is committed while it arrives", async t => {
    const { service, state, log } = makeService();
    const routes = ["stock", "pour"].map(name => makeRoute({ name, pathPrefix: `/${name}/` }));
    const hosts = routes.map(route => ({ host: "shop.example", routes: [route] }));
    const applyAtOnce = log.propose;
    log.propose = async change => {
        await new Promise(resolve => setImmediate(resolve));
        return applyAtOnce(change);
    };
    const update = {
        version: 2,
        limits: undefined,
        hosts: [],
        services: [],
        removedRoutes: [],
        removedServices: [],
    };
    const results = await Promise.all([
        service.changeRoutes({ baseVersion: 0, table: { ...makeTable(1), hosts }, update: undefined }),
        service.changeRoutes({ baseVersion: 1, table: undefined, update }),
    ]);
    t.deepEqual(results.map(result => result?.outcome), ["accepted", "accepted"]);
    t.is(state.routes.hosts.flatMap(listed => listed.routes).length, 2);
});
