import test from "ava";
import { SystemClock } from "../core/clock.js";
import { SeededRandom } from "../core/random.js";
import type { RoutedService } from "../directory/model.js";
import { makeRegistration, makeTable } from "../directory/testing.js";
import type { InstanceLoad } from "./dialect.js";
import type { ProbeResult } from "./loadProber.js";
import { type LeasedPlacement, Placer } from "./placer.js";
import { type QueuePolicy, WorthQueuePolicy } from "./queuePolicy.js";
import { UpstreamAffinity } from "./upstreamAffinity.js";
import { UpstreamLimits } from "./upstreamLimits.js";
import { type UpstreamState, UpstreamStateTable } from "./upstreamStateTable.js";

const longWaitMs = 60_000;
const service: RoutedService = makeTable(1).services[0];

/** A placer whose upstreams answer each load probe immediately. */
class PlacerSetup {
    readonly upstreamTable = new UpstreamStateTable();
    readonly placer: Placer;
    probeCount = 0;
    readonly probedIds = new Set<string>();
    /** Whether probes are answered. */
    isAnswering = true;
    private readonly clock = new SystemClock();
    private readonly loads = new Map<string, InstanceLoad>();

    constructor(
        loads: readonly InstanceLoad[],
        { entryId = "entry-1", makeQueuePolicy }: { entryId?: string; makeQueuePolicy?: () => QueuePolicy; } = {},
    ) {
        const { upstreamTable, clock } = this;
        loads.forEach((load, index) => {
            const registration = makeRegistration({ id: `i-${index}`, address: `10.0.0.${index}:80` });
            upstreamTable.set(registration, clock.monotonicMs());
            this.loads.set(registration.id, load);
        });
        this.placer = new Placer({
            affinity: new UpstreamAffinity(entryId),
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
                probeAll: candidates => Promise.resolve(this.answerProbes(candidates)),
                isConnected: upstreamState => upstreamState.isUsed,
            },
            availabilityZone: "az-1",
            probesPerSecond: () => 1000,
            clock,
            random: new SeededRandom(1),
            makeQueuePolicy,
        });
    }

    setLoad(id: string, load: InstanceLoad): void {
        this.loads.set(id, load);
    }

    place(waitMs: number): Promise<LeasedPlacement | undefined> {
        const nowMs = this.clock.monotonicMs();
        return this.placer.place({
            service,
            excluded: new Set(),
            priority: 1,
            targetAtMs: nowMs + 2 * longWaitMs,
            onTimeOnlyUntilMs: nowMs + waitMs,
            waitUntilMs: nowMs + waitMs,
            baselineMs: longWaitMs,
            isExchangeEnded: () => false,
        });
    }

    private answerProbes(candidates: readonly UpstreamState[]): readonly ProbeResult[] {
        this.probeCount += candidates.length;
        return (this.isAnswering ? candidates : []).map(upstreamState => {
            this.probedIds.add(upstreamState.registration.id);
            upstreamState.load = this.loads.get(upstreamState.registration.id);
            upstreamState.loadAskedAtMs = this.clock.monotonicMs();
            return {
                upstreamState,
                connection: { dispatcher: undefined as never, release: () => 0, discard: () => 0 },
            };
        });
    }
}

const idle: InstanceLoad = { running: 0, waiting: 0, slots: 3, slowdown: 1 };
const full: InstanceLoad = { ...idle, running: 3 };

test("guards against probing all upstreams for each request and against upstreams that stay unused", async t => {
    const setup = new PlacerSetup(Array.from({ length: 8 }, () => idle));
    const requestCount = 24;
    for (let number = 0; number < requestCount; number++) {
        const placement = await setup.place(longWaitMs);
        if (placement !== undefined) {
            placement.upstreamState.isUsed = true;
        }
    }
    t.true(setup.upstreamTable.list().every(upstreamState => upstreamState.isUsed), "each upstream got a request");
    t.is(setup.probeCount, 4 * requestCount);
});

test("guards against an entry that opens connections to all upstreams of a large service, and against gaps", async t => {
    const upstreamCount = 66;
    const entryCount = 39;
    // More requests within a second would enlarge the set of preferred upstreams.
    const requestCount = 8;
    const usedIds = new Set<string>();
    for (let number = 0; number < entryCount; number++) {
        const setup = new PlacerSetup(Array.from({ length: upstreamCount }, () => idle), {
            entryId: `entry-${number}`,
        });
        for (let request = 0; request < requestCount; request++) {
            await setup.place(longWaitMs);
        }
        t.true(setup.probedIds.size <= 16, `entry-${number} probed ${setup.probedIds.size} upstreams`);
        setup.probedIds.forEach(id => usedIds.add(id));
    }
    t.is(usedIds.size, upstreamCount, "the entries together use all upstreams");
});

test("guards against a refusal while only upstreams beyond the preferred ones have free capacity", async t => {
    const setup = new PlacerSetup(Array.from({ length: 66 }, () => full));
    await setup.place(1);
    const unprobedId = setup.upstreamTable.list().map(({ registration }) => registration.id)
        .find(id => !setup.probedIds.has(id));
    t.not(unprobedId, undefined);
    setup.setLoad(unprobedId ?? "", idle);
    t.is((await setup.place(longWaitMs))?.upstreamState.registration.id, unprobedId);
});

test("guards against a request that waits while an upstream outside the first sample has free capacity", async t => {
    const setup = new PlacerSetup([full, full, full, full, full, full, full, idle]);
    setup.upstreamTable.list().forEach(upstreamState => upstreamState.isUsed = upstreamState.registration.id !== "i-7");
    for (let number = 0; number < 5; number++) {
        t.is((await setup.place(longWaitMs))?.upstreamState.registration.id, "i-7");
    }
});

test("guards against a refusal that the log cannot explain", async t => {
    const setup = new PlacerSetup([{ ...full, slowdown: 5 }]);
    t.is(await setup.place(1), undefined);
    const [seen] = setup.placer.describe(service);
    t.like(seen, { upstream: "i-0", busy: 3, slots: 3, slowdown: 5, isEjected: false, isDraining: false });
    t.is(typeof seen.ageMs, "number");
});

test("guards against waits for capacity that is known to be insufficient", async t => {
    const shed: string[] = [];
    const ignored = { isZoneShort: () => false, isAdmitted: () => true, onEnd: () => undefined };
    const observer = { ...ignored, onShortage: () => shed.push("shortage"), onShed: () => shed.push("shed") };
    const setup = new PlacerSetup([full], { makeQueuePolicy: () => new WorthQueuePolicy(observer) });
    t.is(await setup.place(1), undefined, "nothing is known before the first wait has ended");
    const kept = setup.place(200);
    t.is(await setup.place(longWaitMs), undefined, "one request waits for freed capacity, the other is refused");
    t.deepEqual(shed, ["shortage", "shed"]);
    t.is(await kept, undefined);
});

test("guards against load probes that keep machines too busy to answer them", async t => {
    const upstreamCount = 30;
    const setup = new PlacerSetup(Array.from({ length: upstreamCount }, () => idle));
    setup.isAnswering = false;
    const firstWaitMs = 200;
    t.is(await setup.place(firstWaitMs), undefined);
    setup.probeCount = 0;
    const waitMs = 500;
    t.is(await setup.place(waitMs), undefined);
    // Each round has up to three steps, one every 25 ms; unreduced, a round probes all upstreams.
    t.true(setup.probeCount <= 3 * waitMs / 25, `${setup.probeCount} probes`);
    setup.isAnswering = true;
    t.truthy(await setup.place(longWaitMs), "answers end the reduction");
    setup.probeCount = 0;
    await setup.place(longWaitMs);
    t.is(setup.probeCount, 4);
});
