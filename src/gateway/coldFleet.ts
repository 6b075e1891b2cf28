import type { Registration, RoutedService } from "../directory/model.js";
import { makeTable } from "../directory/testing.js";
import { type FleetScale, LimitFleet, type SimulatedInstance } from "./limitFleet.js";

/** Rule of the platform: requests that a cold instance may get in any second. */
const ruleWindowMs = 1000;
const overshoot = 1.5;
const tolerance = 8;
const heartbeatDelayMs = 20;

/** A service that limits the rate of its cold instances. */
export function makeColdService(warmupPerSecond: number): RoutedService {
    return { ...makeTable(1).services[0], warmupMs: 3000, warmupPerSecond };
}

/** A fleet whose instances become cold; registrations reach control VMs and entries as in the product. */
export class ColdFleet extends LimitFleet {
    /** Times in which each instance is cold and known to be, by id. */
    private readonly coldTimes = new Map<string, { readonly fromMs: number; readonly untilMs: number; }[]>();
    private nextBornAtMs = 10_000;

    constructor(scale: FleetScale, seed: number, readonly perSecond: number) {
        super({ ...scale, services: [makeColdService(perSecond)] }, seed);
    }

    /** Starts an instance anew, in the middle of the traffic. */
    restartCold(instance: SimulatedInstance, warmupMs: number): void {
        const { registration } = instance;
        instance.arrivals.length = 0;
        this.coldTimes.delete(registration.id);
        this.setCold(instance, { ...registration, bornAtMs: this.nextBornAtMs++, sequence: 1, warmupMs }, 0);
    }

    /** Lets a running instance become cold, or stay cold for longer; the rule applies once entries can know. */
    extend(instance: SimulatedInstance, warmupMs: number, knownAfterMs: number): void {
        const { registration } = instance;
        this.setCold(instance, { ...registration, sequence: registration.sequence + 1, warmupMs }, knownAfterMs);
    }

    /** Returns the largest number of messages in any second in which an instance was cold, less what the rule allows. */
    findColdExcess({ registration: { id }, arrivals }: SimulatedInstance): number {
        let excess = -Infinity;
        for (const { fromMs, untilMs } of this.coldTimes.get(id) ?? []) {
            const times = arrivals.map(({ atMs }) => atMs).filter(atMs => atMs >= fromMs && atMs < untilMs);
            times.forEach((atMs, index) => {
                const count = times.slice(index).filter(other => other < atMs + ruleWindowMs).length;
                excess = Math.max(excess, count - overshoot * this.perSecond - tolerance);
            });
        }
        return excess;
    }

    /** Counts the requests that an instance got in a time. */
    countRequests({ arrivals }: SimulatedInstance, fromMs: number, untilMs: number): number {
        return arrivals.filter(({ atMs, kind }) => kind === "request" && atMs >= fromMs && atMs < untilMs).length;
    }

    private setCold(instance: SimulatedInstance, registration: Registration, knownAfterMs: number): void {
        const { nowMs } = this;
        const { id } = registration;
        instance.registration = registration;
        instance.coldUntilMs = nowMs + registration.warmupMs;
        const times = this.coldTimes.get(id) ?? [];
        const last = times.at(-1);
        const untilMs = instance.coldUntilMs;
        this.coldTimes.set(
            id,
            last !== undefined && last.untilMs >= nowMs
                ? [...times.slice(0, -1), { fromMs: last.fromMs, untilMs: Math.max(last.untilMs, untilMs) }]
                : [...times, { fromMs: nowMs + knownAfterMs, untilMs }],
        );
        // The heartbeat reaches a control VM of the zone; the log takes its change when there is a leader.
        const receiver = this.controls[this.scale.controlZones.indexOf(registration.availabilityZone)];
        this.schedule(heartbeatDelayMs, () => void receiver?.service.register(registration));
        this.publish(registration);
    }
}
