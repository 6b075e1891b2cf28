import { type Catalogue, emptyCatalogue, PolicyName, type Service } from "../src/catalogue/model.js";
import { SeededRandom } from "../src/core/random.js";
import type { PeerView, UpstreamRow, UpstreamView } from "../src/membership/view.js";
import type { RequestMetadata } from "../src/requests/model.js";
import type { RouteDecision } from "../src/requests/router.js";
import { ServiceRouter } from "../src/routing/serviceRouter.js";
import { EventQueue } from "./eventQueue.js";
import * as scenario from "./routingScenario.js";

// Simulates the routers of all entries in one process, with simulated time and message delays, for quick trials of
// policies. The benchmark with real processes is routing.ts.

const entryCount = 8;
const zones = ["a", "b", "c"];
const sameZoneDelayMs = 0.1;
const crossZoneDelayMs = 1;
const tickMs = 5;
const durationMs = 20_000;
const warmUpMs = 4000;
const deadlineMs = 2000;
const probeMs = 6;
/** Simulated pause of one entry, as by SIGSTOP; PAUSED_ENTRY is its index, and -1 pauses none. */
const entryPause = { entry: Number(process.env.PAUSED_ENTRY ?? -1), atMs: 8000, durationMs: 150 };

const zoneOf = (index: number) => zones[index % zones.length];
const messageDelayMs = (from: string, to: string) => from === to ? sameZoneDelayMs : crossZoneDelayMs;

class Instance {
    private busySlots = 0;
    private readonly waiting: (() => void)[] = [];

    constructor(
        readonly row: UpstreamRow,
        private readonly index: number,
        private readonly events: EventQueue,
        private readonly faults: scenario.Faults,
    ) {}

    get inFlight(): number {
        return this.busySlots + this.waiting.length;
    }

    /** Runs a request when a slot is free, and calls `done` at its end. */
    run(workMs: number, done: (isOk: boolean) => void): void {
        if (this.faults.isFailing(this.index, this.events.nowMs)) {
            done(false);
            return;
        }
        const start = () => {
            this.busySlots++;
            const runMs = workMs * this.faults.slowdown(this.index, this.events.nowMs);
            this.events.schedule(this.events.nowMs + runMs, () => this.finishRequest(done));
        };
        if (this.busySlots < this.row.announcement.slots) {
            start();
        }
        else {
            this.waiting.push(start);
        }
    }

    private finishRequest(done: (isOk: boolean) => void): void {
        this.busySlots--;
        this.waiting.shift()?.();
        done(true);
    }
}

function makeService(policy: PolicyName): Service {
    return {
        name: "orders",
        owner: "bench",
        class: "interactive",
        policy,
        limits: {
            maxInFlight: 10_000,
            requestsPerSecond: 1_000_000,
            maxQueuedPerEntry: 1000,
            maxPerCallerPerEntry: 1000,
            maxBodyBytes: 1000,
            defaultDeadlineMs: deadlineMs,
        },
        measuringBudgetMsPerSecond: 200,
        probeCostMs: probeMs,
        retryRatio: 0.1,
        hedging: { enabled: false, afterQuantile: 0.95 },
        idempotentMethods: ["GET"],
        rampMs: 0,
    };
}

/** Routers of all entries, connected by simulated messages. */
class RoutingSimulation {
    readonly events = new EventQueue();
    readonly latenciesMs: number[] = [];
    failed = 0;
    probeSpentMs = 0;
    private readonly instances: Instance[];
    private readonly routers: ServiceRouter[];
    private readonly waiting = new Map<string, (decision: RouteDecision) => void>();

    constructor(private readonly fleet: scenario.Fleet, faults: scenario.Faults, policy: PolicyName, seed: number) {
        this.instances = Array.from({ length: fleet.instances }, (_, index) => this.makeInstance(index, faults));
        const catalogue: Catalogue = { ...emptyCatalogue, revision: 1, services: { orders: makeService(policy) } };
        const ids = Array.from({ length: entryCount }, (_, index) => `entry-${index}`);
        this.routers = ids.map((selfId, index) =>
            new ServiceRouter({
                selfId,
                peers: this.makePeers(ids, index),
                upstreams: this.makeUpstreams(),
                catalogue: () => catalogue,
                random: new SeededRandom(seed + index),
            })
        );
    }

    run(arrivals: readonly scenario.Arrival[], seed: number): void {
        const random = new SeededRandom(seed);
        this.routers.forEach((router, index) => this.tick(router, index));
        arrivals.forEach((arrival, index) => {
            const entry = random.nextInt(entryCount);
            this.scheduleAtEntry(entry, arrival.atMs, () => this.start(entry, `r${index}`, arrival, 0, arrival.atMs));
        });
        this.events.runUntil(durationMs + deadlineMs);
    }

    /** Schedules an action of an entry; one that falls into the entry's pause runs at the end of the pause. */
    private scheduleAtEntry(entry: number, atMs: number, run: () => void): void {
        const isPaused = entry === entryPause.entry && atMs >= entryPause.atMs &&
            atMs < entryPause.atMs + entryPause.durationMs;
        this.events.schedule(isPaused ? entryPause.atMs + entryPause.durationMs : atMs, run);
    }

    private start(entry: number, id: string, arrival: scenario.Arrival, attempt: number, startedAtMs: number): void {
        const attemptId = `${id}.${attempt}`;
        const request = {
            id,
            service: "orders",
            method: "GET",
            deadlineAtMs: startedAtMs + deadlineMs,
        } as RequestMetadata;
        const avoid = attempt > 0 ? ["none"] : [];
        const decision = this.routers[entry].route(attemptId, request, avoid, this.events.nowMs);
        const dispatchDecision = (resolved: RouteDecision) =>
            this.dispatch(entry, id, arrival, attempt, startedAtMs, resolved);
        if (decision.kind === "wait") {
            this.waiting.set(attemptId, dispatchDecision);
        }
        else {
            dispatchDecision(decision);
        }
        this.flush(entry);
    }

    private dispatch(
        entry: number,
        id: string,
        arrival: scenario.Arrival,
        attempt: number,
        startedAtMs: number,
        decision: RouteDecision,
    ): void {
        if (decision.kind !== "upstream") {
            this.recordResult(startedAtMs, false);
            return;
        }
        const instance = this.instances[Number(decision.upstreamId)];
        const hopMs = messageDelayMs(zoneOf(entry), instance.row.announcement.availabilityZone);
        const sentAtMs = this.events.nowMs;
        const finish = (isOk: boolean) => {
            const { nowMs } = this.events;
            const load = { inFlight: instance.inFlight, state: "ready", incarnation: 1 } as const;
            this.routers[entry].finish({
                attemptId: `${id}.${attempt}`,
                service: "orders",
                upstreamId: decision.upstreamId,
                latencyMs: nowMs - sentAtMs,
                failure: undefined,
                status: isOk ? 200 : 500,
                load,
            }, nowMs);
            if (!isOk && attempt < 2 && this.routers[entry].takeRetry("orders", nowMs)) {
                this.start(entry, id, arrival, attempt + 1, startedAtMs);
            }
            else {
                this.recordResult(startedAtMs, isOk);
            }
            this.flush(entry);
        };
        const afterHop = (run: () => void) => this.events.schedule(this.events.nowMs + hopMs, run);
        afterHop(() =>
            instance.run(
                arrival.workMs,
                isOk => this.scheduleAtEntry(entry, this.events.nowMs + hopMs, () => finish(isOk)),
            )
        );
    }

    private recordResult(startedAtMs: number, isOk: boolean): void {
        if (startedAtMs < warmUpMs) {
            return;
        }
        this.latenciesMs.push(this.events.nowMs - startedAtMs);
        this.failed += isOk ? 0 : 1;
    }

    private tick(router: ServiceRouter, index: number): void {
        router.tick(this.events.nowMs);
        this.flush(index);
        if (this.events.nowMs < durationMs) {
            this.scheduleAtEntry(index, this.events.nowMs + tickMs, () => this.tick(router, index));
        }
    }

    private flush(entry: number): void {
        for (const { attemptId, decision } of this.routers[entry].takeDecisions()) {
            const dispatchDecision = this.waiting.get(attemptId);
            this.waiting.delete(attemptId);
            dispatchDecision?.(decision);
        }
        for (const effect of this.routers[entry].takeEffects()) {
            if (effect.kind === "send-peer") {
                const to = Number(effect.to.slice("entry-".length));
                this.scheduleAtEntry(to, this.events.nowMs + messageDelayMs(zoneOf(entry), zoneOf(to)), () => {
                    this.routers[to].handlePeerMessage(`entry-${entry}`, effect.message, this.events.nowMs);
                    this.flush(to);
                });
            }
            else if (effect.kind === "probe") {
                this.probe(entry, effect.upstreamId);
            }
        }
    }

    private probe(entry: number, upstreamId: string): void {
        this.probeSpentMs += this.events.nowMs >= warmUpMs ? probeMs : 0;
        const sentAtMs = this.events.nowMs;
        const instance = this.instances[Number(upstreamId)];
        instance.run(probeMs, isOk => {
            const load = isOk ? { inFlight: instance.inFlight, state: "ready" as const, incarnation: 1 } : undefined;
            const { nowMs } = this.events;
            this.routers[entry].finishProbe("orders", upstreamId, nowMs - sentAtMs, load, nowMs);
            this.flush(entry);
        });
    }

    private makeInstance(index: number, faults: scenario.Faults): Instance {
        const announcement = {
            id: String(index),
            service: "orders",
            address: `upstream-${index}`,
            availabilityZone: zoneOf(index),
            slots: this.fleet.slots,
            state: "ready",
            incarnation: 1,
            sequence: 1,
            leaseMs: 2500,
        } as const;
        return new Instance({ announcement, evidenceAtMs: 0, readySinceMs: 0 }, index, this.events, faults);
    }

    private makeUpstreams(): UpstreamView {
        const rows = this.instances.map(instance => instance.row);
        return { eligibleUpstreams: () => rows, findUpstream: (_service, id) => rows[Number(id)] };
    }

    private makePeers(ids: readonly string[], self: number): PeerView {
        const rows = ids.map((id, index) => ({
            id,
            availabilityZone: zoneOf(index),
            incarnation: 1,
            revision: 1,
            isDraining: false,
            lastHeartbeatAtMs: 0,
        })).filter(row => row.id !== ids[self]);
        return {
            selfId: ids[self],
            availabilityZone: zoneOf(self),
            livePeers: () => rows,
            findPeer: id => rows.find(row => row.id === id),
        };
    }
}

const seed = Number(process.argv[2] ?? 1);
const load = Number(process.argv[3] ?? 0.7);
const kind = process.argv[4] ?? "slow";
const policies = (process.argv[5]?.split(",") ?? Object.values(PolicyName)) as PolicyName[];
const fleet = { instances: 17, slots: 3 };
const faultsByKind: Record<string, () => scenario.Faults> = {
    steady: () => scenario.noFaults,
    slow: () => {
        const slowness = { factor: 10, periodMs: 200, instances: 1 };
        return scenario.makeSlownessFaults(scenario.drawSlowInstances(fleet, slowness, 110, seed), slowness);
    },
    failing: () => scenario.makeFastFailure(3, 8000),
};
const arrivals = scenario.makeArrivals(fleet, load, durationMs, seed);
const bound = scenario.simulatePerfectKnowledge(fleet, arrivals, faultsByKind[kind]());
const summarize = (name: string, latenciesMs: readonly number[], failed: number, spentMs: number) => ({
    name,
    requests: latenciesMs.length,
    p50: quantileOf(latenciesMs, 0.5),
    p99: quantileOf(latenciesMs, 0.99),
    p999: quantileOf(latenciesMs, 0.999),
    failed,
    measuringMsPerSecond: spentMs / (durationMs - warmUpMs) * 1000,
});
const quantileOf = (latenciesMs: readonly number[], quantile: number) =>
    Number(scenario.quantileOf(latenciesMs, quantile).toFixed(2));
const measured = bound.filter((_, index) => arrivals[index].atMs >= warmUpMs);
console.log(`trial: scenario ${kind}, load ${load}, seed ${seed}`);
console.table([
    summarize("perfect knowledge", measured, 0, 0),
    ...policies.map(policy => {
        const simulation = new RoutingSimulation(fleet, faultsByKind[kind](), policy, seed);
        simulation.run(arrivals, seed + 1);
        return summarize(policy, simulation.latenciesMs, simulation.failed, simulation.probeSpentMs);
    }),
]);
