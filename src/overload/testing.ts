import type { RandomSource } from "../core/random.js";
import { drawRetryAfterMs, RefusalCause } from "../gateway/refusals.js";
import { Admission, computeAdmission } from "./admission.js";
import { CapacityOutcome, DemandCounter, DemandTable } from "./demand.js";
import { weighPriority } from "./requestWorth.js";
import { type PendingRequest, SheddingOrder } from "./sheddingOrder.js";

const stepMs = 5;
const msPerSecond = 1000;
const maxWaitShareOfTarget = 0.4;
const lateShare = 0.1;
const rateWindowMs = 1000;
const reportIntervalMs = 400;
const service = "orders";

/** Requests of one kind in a simulated load. */
export interface LoadKind {
    readonly name: string;
    readonly priority: number;
    readonly workMs: number;
    readonly targetMs: number;
    readonly deadlineMs: number;
    /** Requests a second at a time. */
    readonly perSecond: (atMs: number) => number;
}

/** A simulated load. */
export interface SimulatedLoad {
    readonly kinds: readonly LoadKind[];
    readonly slots: number;
    readonly entryCount: number;
    readonly durationMs: number;
    /** Whether rejected callers return once. */
    readonly isRetrying: boolean;
    /** Whether entries share their demand through a control VM. */
    readonly isShared: boolean;
}

/** Outcome of a simulated load by kind. */
export interface KindOutcome {
    offered: number;
    onTime: number;
    late: number;
}

/** Outcome of a simulated load. */
export interface LoadOutcome {
    readonly byKind: ReadonlyMap<string, KindOutcome>;
    readonly worth: number;
    /** Worth of the requests that a planner with perfect knowledge would serve in the same instance time. */
    readonly reachableWorth: number;
}

interface SimulatedRequest extends PendingRequest {
    readonly load: LoadKind;
    readonly outcome: KindOutcome;
    readonly firstSentAtMs: number;
}

interface SimulatedEntry {
    readonly order: SheddingOrder;
    waiting: SimulatedRequest[];
    placedAtMs: number[];
    readonly counter: DemandCounter;
    readonly admission: Admission;
    /** Undefined while the service is not known to be short. */
    fractions: ReadonlyMap<number, number> | undefined;
}

/** Simulates entries that place requests on the free slots of shared instances in the order of the decision. */
export function simulateLoad(load: SimulatedLoad, random: RandomSource): LoadOutcome {
    const entries: SimulatedEntry[] = Array.from({ length: load.entryCount }, () => ({
        order: new SheddingOrder(),
        waiting: [],
        placedAtMs: [],
        counter: new DemandCounter(),
        admission: new Admission(random),
        fractions: undefined,
    }));
    const table = new DemandTable();
    const byKind = new Map<string, KindOutcome>();
    const running: { readonly endsAtMs: number; readonly request: SimulatedRequest; }[] = [];
    const returning: { readonly atMs: number; readonly request: SimulatedRequest; }[] = [];
    let worth = 0;
    const reject = (
        entry: SimulatedEntry,
        request: SimulatedRequest,
        outcome: CapacityOutcome | undefined,
        atMs: number,
    ) => {
        entry.order.record(request, false, atMs);
        if (outcome !== undefined) {
            entry.counter.record(service, request.priority, outcome, atMs);
        }
        if (load.isRetrying && !request.wasRejected) {
            const untilDeadlineMs = request.firstSentAtMs + request.load.deadlineMs - atMs;
            const refused = { cause: RefusalCause.noCapacity, untilTargetMs: 0, baselineMs: 0, untilDeadlineMs };
            returning.push({ atMs: atMs + drawRetryAfterMs(refused, random), request });
        }
    };
    const arrive = (
        kind: LoadKind,
        outcome: KindOutcome,
        firstSentAtMs: number,
        wasRejected: boolean,
        atMs: number,
    ) => {
        const entry = entries[random.nextInt(entries.length)];
        const request: SimulatedRequest = {
            kind: kind.name,
            priority: kind.priority,
            targetAtMs: firstSentAtMs + kind.targetMs,
            waitUntilMs: atMs + maxWaitShareOfTarget * kind.targetMs,
            workMs: kind.workMs,
            wasRejected,
            load: kind,
            outcome,
            firstSentAtMs,
        };
        const isShort = entry.fractions !== undefined || entry.order.isShort(atMs);
        if (isShort && entry.order.isDispensable(request, atMs)) {
            reject(entry, request, undefined, atMs);
            return;
        }
        if (!entry.admission.isAdmitted(kind.priority, entry.fractions ?? new Map())) {
            reject(entry, request, CapacityOutcome.notAdmitted, atMs);
            return;
        }
        entry.waiting.push(request);
        entry.placedAtMs = entry.placedAtMs.filter(placedAtMs => atMs - placedAtMs < rateWindowMs);
        if (!entry.order.isShort(atMs)) {
            return;
        }
        const perMs = entry.placedAtMs.length * kind.workMs / rateWindowMs;
        const rejected = entry.order.selectRejected(entry.waiting, perMs, atMs);
        rejected.forEach(request => reject(entry, request, CapacityOutcome.unplaced, atMs));
        entry.waiting = entry.waiting.filter(request => !rejected.includes(request));
    };
    for (let atMs = 0; atMs < load.durationMs; atMs += stepMs) {
        for (const { request } of running.filter(work => work.endsAtMs <= atMs)) {
            const isOnTime = atMs <= request.targetAtMs;
            request.outcome[isOnTime ? "onTime" : "late"]++;
            worth += weighPriority(request.priority) * (isOnTime ? 1 : lateShare);
        }
        running.splice(0, running.length, ...running.filter(work => work.endsAtMs > atMs));
        for (const kind of load.kinds) {
            let expected = kind.perSecond(atMs) * stepMs / msPerSecond;
            for (; random.nextUnit() < expected; expected -= 1) {
                const outcome = byKind.get(kind.name) ?? { offered: 0, onTime: 0, late: 0 };
                byKind.set(kind.name, outcome);
                outcome.offered++;
                arrive(kind, outcome, atMs, false, atMs);
            }
        }
        const returned = returning.filter(caller => caller.atMs <= atMs);
        returning.splice(0, returning.length, ...returning.filter(caller => caller.atMs > atMs));
        returned.forEach(({ request }) => arrive(request.load, request.outcome, request.firstSentAtMs, true, atMs));
        for (let index = 0; load.isShared && index < entries.length; index++) {
            const entry = entries[index];
            if ((atMs + stepMs * index) % reportIntervalMs === 0) {
                const demand = entry.counter.describe(() => entry.fractions !== undefined, atMs);
                table.record(`e-${index}`, "az-1", demand, atMs);
                const zoneDemand = table.describe(atMs)?.at(0);
                entry.fractions = zoneDemand && computeAdmission(zoneDemand.rows);
            }
        }
        const firstEntry = random.nextInt(entries.length);
        for (let index = 0; index < entries.length; index++) {
            const entry = entries[(firstEntry + index) % entries.length];
            for (const request of entry.order.sort(entry.waiting, atMs)) {
                if (request.waitUntilMs <= atMs) {
                    reject(entry, request, CapacityOutcome.unplaced, atMs);
                    entry.waiting = entry.waiting.filter(other => other !== request);
                }
                else if (running.length < load.slots) {
                    running.push({ endsAtMs: atMs + request.workMs * (0.5 + random.nextUnit()), request });
                    entry.order.record(request, true, atMs);
                    entry.counter.record(service, request.priority, CapacityOutcome.placed, atMs);
                    entry.placedAtMs.push(atMs);
                    entry.waiting = entry.waiting.filter(other => other !== request);
                }
            }
        }
    }
    return { byKind, worth, reachableWorth: computeReachableWorth(load, byKind) };
}

function computeReachableWorth({ kinds, slots, durationMs }: SimulatedLoad, byKind: LoadOutcome["byKind"]): number {
    let leftMs = slots * durationMs;
    let worth = 0;
    const density = (kind: LoadKind) => weighPriority(kind.priority) / kind.workMs;
    for (const kind of [...kinds].sort((first, second) => density(second) - density(first))) {
        const served = Math.min(byKind.get(kind.name)?.offered ?? 0, leftMs / kind.workMs);
        leftMs -= served * kind.workMs;
        worth += served * weighPriority(kind.priority);
    }
    return worth;
}
