import test from "ava";
import { SystemClock } from "../core/clock.js";
import { SeededRandom } from "../core/random.js";
import { makeRegistration, makeTable } from "../directory/testing.js";
import { type LeasedPlacement, Placer } from "./placer.js";
import { TestEntry, TestUpstream, waitFor } from "./testing.js";
import { UpstreamAffinity } from "./upstreamAffinity.js";
import { UpstreamLimits } from "./upstreamLimits.js";
import { type UpstreamState, UpstreamStateTable } from "./upstreamStateTable.js";

const longWaitMs = 60_000;

/** A placer in az-1 with 12 upstreams in each of three zones; `probed` lists the upstreams of all load probes. */
class EvacuationSetup {
    readonly upstreamTable = new UpstreamStateTable();
    readonly probed: UpstreamState[] = [];
    isFull = false;
    readonly placer: Placer;
    private readonly clock = new SystemClock();

    constructor() {
        const { upstreamTable, clock } = this;
        for (let index = 0; index < 36; index++) {
            const availabilityZone = `az-${1 + index % 3}`;
            const address = `10.0.0.${index}:80`;
            upstreamTable.set(makeRegistration({ id: `i-${index}`, address, availabilityZone }), clock.monotonicMs());
        }
        this.placer = new Placer({
            affinity: new UpstreamAffinity("entry-1"),
            upstreamTable,
            upstreamLimits: new UpstreamLimits({
                upstreamTable,
                clock,
                logger: { debug: () => 0, info: () => 0, warn: () => 0, error: () => 0 },
                metrics: undefined as never,
                onObserved: () => undefined,
            }),
            prober: {
                connect: () => undefined,
                probeAll: candidates => Promise.resolve(candidates.map(upstreamState => this.answer(upstreamState))),
                isConnected: () => false,
            },
            availabilityZone: "az-1",
            probesPerSecond: () => 1000,
            clock,
            random: new SeededRandom(1),
        });
    }

    nowMs(): number {
        return this.clock.monotonicMs();
    }

    place(): Promise<LeasedPlacement | undefined> {
        const nowMs = this.clock.monotonicMs();
        return this.placer.place({
            service: makeTable(1).services[0],
            excluded: new Set(),
            priority: 1,
            targetAtMs: nowMs + 2 * longWaitMs,
            onTimeOnlyUntilMs: nowMs + longWaitMs,
            waitUntilMs: nowMs + longWaitMs,
            baselineMs: longWaitMs,
            isExchangeEnded: () => false,
        });
    }

    private answer(upstreamState: UpstreamState) {
        this.probed.push(upstreamState);
        upstreamState.load = { running: this.isFull ? 3 : 0, waiting: 0, slots: 3, slowdown: 1 };
        upstreamState.loadAskedAtMs = this.clock.monotonicMs();
        return { upstreamState, connection: { dispatcher: undefined as never, release: () => 0, discard: () => 0 } };
    }
}

function zoneOf(upstreamState: UpstreamState | undefined): string | undefined {
    return upstreamState?.registration.availabilityZone;
}

test("guards against requests and load probes to instances of an evacuated zone", async t => {
    const setup = new EvacuationSetup();
    t.is(zoneOf((await setup.place())?.upstreamState), "az-1");
    const [probedBefore] = setup.probed;
    setup.upstreamTable.setEvacuatedZones(["az-1"]);
    t.false(
        setup.upstreamTable.isCurrent(probedBefore, setup.nowMs()),
        "an upstream that was probed before gets no request",
    );
    await new Promise(resolve => setImmediate(resolve));
    setup.probed.splice(0);
    for (let count = 0; count < 10; count++) {
        t.not(zoneOf((await setup.place())?.upstreamState), "az-1");
        // A request that arrives within a round of probes would be served by the rest of that round.
        await new Promise(resolve => setImmediate(resolve));
    }
    t.false(setup.probed.some(upstreamState => zoneOf(upstreamState) === "az-1"));
    t.is(setup.probed.length, 4 * 10, "a request does not probe all instances of the other zones");
    setup.upstreamTable.setEvacuatedZones([]);
    t.is(zoneOf((await setup.place())?.upstreamState), "az-1", "the evacuation was withdrawn");
});

test("guards against a round of probes that goes on in a zone evacuated since it started", async t => {
    const setup = new EvacuationSetup();
    const first = setup.place();
    setup.upstreamTable.setEvacuatedZones(["az-1"]);
    const probedBefore = setup.probed.length;
    t.not(zoneOf((await first)?.upstreamState), "az-1");
    t.false(setup.probed.slice(probedBefore).some(upstreamState => zoneOf(upstreamState) === "az-1"));
});

test("guards against requests that wait although all zones are evacuated", async t => {
    const setup = new EvacuationSetup();
    setup.isFull = true;
    const waiting = setup.place();
    await waitFor(() => setup.probed.length > 0);
    setup.upstreamTable.setEvacuatedZones(["az-1", "az-2", "az-3"]);
    t.is(await waiting, undefined, "a request that waits when the last zone is evacuated");
    t.is(await setup.place(), undefined);
});

test("guards against a request in flight that ends early, or a later one that runs, when its zone is evacuated", async t => {
    const entry = new TestEntry();
    const upstream = new TestUpstream("i-1");
    let finish: () => void = () => undefined;
    upstream.answer = (_request, response) => finish = () => response.end("done");
    await entry.start(makeTable(1));
    await entry.addUpstream(upstream);
    const sendUntilPlaced = async () => {
        let response = await entry.send("/stock/1", "r-1");
        // On a busy machine, load probes can time out.
        while (response.status === 503) {
            response = await entry.send("/stock/1", "r-1");
        }
        return response;
    };
    const inFlight = sendUntilPlaced();
    await waitFor(() => upstream.receivedIds.length === 1);
    entry.upstreamTable.setEvacuatedZones(["az-1"]);
    t.is((await entry.send("/stock/2", "r-2")).status, 503);
    t.true(entry.lines.some(({ fields }) => fields.reason === "evacuated"), "the log names the reason");
    finish();
    t.deepEqual(await inFlight, { status: 200, text: "done" });
    t.deepEqual(upstream.receivedIds, ["r-1"]);
    upstream.close();
    entry.close();
});
