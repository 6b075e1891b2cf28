import type { Clock } from "../core/clock.js";
import type { ServiceName, UpstreamId } from "../core/ids.js";
import type { RandomSource } from "../core/random.js";
import type { RoutedService } from "../directory/model.js";
import { LoadProbeBudget } from "./loadProbeBudget.js";
import type { LoadProber, ProbeResult } from "./loadProber.js";
import {
    describeUpstream,
    isWorthProbing,
    orderForProbing,
    placeRequest,
    type UpstreamSnapshot,
    type WaitingRequest,
} from "./placement.js";
import { ProbeThrottle } from "./probeThrottle.js";
import { countAhead, PriorityQueuePolicy, type QueuePolicy } from "./queuePolicy.js";
import type { PreferredUpstreams, UpstreamAffinity } from "./upstreamAffinity.js";
import type { LeasedConnection } from "./upstreamConnections.js";
import type { UpstreamLimits } from "./upstreamLimits.js";
import type { UpstreamState, UpstreamStateTable } from "./upstreamStateTable.js";

/**
 * Number of upstreams in other availability zones that are probed per round, unless the local zone has none; probe
 * traffic between zones is billed. Source: `docs/measurements.md`.
 */
const remoteSampleSize = 4;
/**
 * Number of upstreams in the local availability zone that a round probes first, per waiting request. Usually one of
 * these is idle and fast; others follow only if requests still wait, since each probe and new connection has a cost.
 */
const initialSampleSize = 4;
/** Number of upstreams beyond the preferred ones that a round probes; rounds follow each other with new samples. */
const otherSampleSize = 16;
/** Pause between rounds of probes, short compared with the 150 ms or so within which loads change. */
const probeIntervalMs = 25;
/** Share of the operators' probe budget that counted entries use together; the rest is for entries not counted yet. */
const probeBudgetShare = 0.8;
/** Window for the rate of placements; one second, so that their count is the rate per second. */
const placementRateWindowMs = 1000;
/** Maximum number of upstreams in a log line; more would add length without explaining more. */
const maxDescribedUpstreams = 8;

/** A request to be placed on an upstream. */
export interface PlacementRequest extends WaitingRequest {
    readonly service: RoutedService;
    /** Upstreams at which the request has already failed. */
    readonly excluded: ReadonlySet<UpstreamId>;
    /** Returns whether the caller has disconnected or was answered. */
    readonly isExchangeEnded: () => boolean;
}

/** The upstream chosen for a request, with a leased connection to it. */
export interface LeasedPlacement {
    readonly upstreamState: UpstreamState;
    /** See `Placement.cost`. */
    readonly cost: number;
    readonly connection: LeasedConnection;
}

/** Dependencies of a placer. */
export interface PlacerOptions {
    readonly upstreamTable: UpstreamStateTable;
    readonly upstreamLimits: UpstreamLimits;
    readonly prober: Pick<LoadProber, "probeAll" | "isConnected" | "connect">;
    /** The upstreams that this entry prefers. */
    readonly affinity: UpstreamAffinity;
    readonly availabilityZone: string;
    /** Returns this entry's probes per second and upstream; a service's upstreams share the sum as one budget. */
    readonly probesPerSecond: () => number;
    readonly clock: Clock;
    readonly random: RandomSource;
    /** Creates the queue policy of a service; undefined for the order by priority. */
    readonly makeQueuePolicy?: ((service: ServiceName) => QueuePolicy) | undefined;
}

/** Places requests on upstreams with free capacity. */
export class Placer {
    private readonly services = new Map<ServiceName, ServicePlacer>();

    constructor(private readonly options: PlacerOptions) {}

    /**
     * Waits for an upstream with free capacity. Resolves with undefined when none was found in time, or at once when no
     * upstream is eligible or the queue is too long.
     */
    place(request: PlacementRequest): Promise<LeasedPlacement | undefined> {
        return this.getServicePlacer(request.service.name).place(request);
    }

    /** Describes the upstreams of a service for the log, local availability zone first. */
    describe(service: RoutedService): readonly (UpstreamSnapshot & { readonly limitPerSecond: number | undefined; })[] {
        const { upstreamTable, upstreamLimits, availabilityZone, clock } = this.options;
        const nowMs = clock.monotonicMs();
        const isInLocalZone = (upstreamState: UpstreamState) =>
            upstreamState.registration.availabilityZone === availabilityZone;
        const candidates = upstreamTable.list().filter(upstreamState =>
            upstreamState.registration.service === service.name
        );
        return [
            ...candidates.filter(isInLocalZone),
            ...candidates.filter(upstreamState => !isInLocalZone(upstreamState)),
        ]
            .slice(0, maxDescribedUpstreams)
            .map(upstreamState => ({
                ...describeUpstream(upstreamState, nowMs),
                limitPerSecond: upstreamLimits.getLimit(upstreamState),
            }));
    }

    /** Lets a waiting request use an upstream that has just completed another; returns whether one did. */
    offer(service: ServiceName, upstreamState: UpstreamState, connection: LeasedConnection): boolean {
        return this.services.get(service)?.offer({ upstreamState, connection }) ?? false;
    }

    /**
     * Returns the time until a limited upstream of a service may get a request: Infinity if no permit is expected, and
     * undefined if an upstream without a limit is eligible.
     */
    findPermitDelayMs(service: ServiceName, excluded: ReadonlySet<UpstreamId>): number | undefined {
        const { upstreamTable, upstreamLimits, clock } = this.options;
        const nowMs = clock.monotonicMs();
        const eligible = upstreamTable.listEligible(service, excluded, nowMs, () => true);
        if (eligible.length === 0 || eligible.some(upstreamState => !upstreamLimits.isLimited(upstreamState))) {
            return undefined;
        }
        const permitAtMs = Math.min(...eligible.map(upstreamState => upstreamLimits.findPermitAtMs(upstreamState)));
        return Math.max(0, permitAtMs - nowMs);
    }

    /** Returns the time until an upstream of a service ends its back-off; undefined unless all of them back off. */
    findBackOffDelayMs(service: ServiceName): number | undefined {
        return this.options.upstreamTable.findBackOffDelayMs(service, this.options.clock.monotonicMs());
    }

    /** Returns the number of requests that wait for an upstream. */
    countWaiting(): number {
        return [...this.services.values()].reduce((sum, placer) => sum + placer.waitingCount, 0);
    }

    private getServicePlacer(service: ServiceName): ServicePlacer {
        const placer = this.services.get(service) ?? new ServicePlacer(service, this.options);
        this.services.set(service, placer);
        return placer;
    }
}

interface WaitingPlacement extends PlacementRequest {
    readonly settle: (placement: LeasedPlacement | undefined) => void;
}

/** Places the requests of one service; one round of probes at a time serves all that wait. */
class ServicePlacer {
    private readonly waiting = new Set<WaitingPlacement>();
    private readonly budget = new LoadProbeBudget();
    private readonly throttle = new ProbeThrottle();
    private isProbing = false;
    /** Whether a request arrived during the current round of probes. */
    private hasNewRequest = false;
    private probeTimer: NodeJS.Timeout | undefined;
    private placedAtMs: number[] = [];
    private readonly policy: QueuePolicy;

    constructor(private readonly service: ServiceName, private readonly options: PlacerOptions) {
        this.policy = options.makeQueuePolicy?.(service) ?? new PriorityQueuePolicy();
    }

    get waitingCount(): number {
        return this.waiting.size;
    }

    place(request: PlacementRequest): Promise<LeasedPlacement | undefined> {
        const nowMs = this.nowMs();
        const placedPerSecond = this.measurePlacementRate(nowMs);
        if (!this.hasCapacityUntil(request, countAhead(request, this.waiting))) {
            return Promise.resolve(undefined);
        }
        if (this.policy.isRefused(request, this.waiting, placedPerSecond, nowMs)) {
            return Promise.resolve(undefined);
        }
        return new Promise(resolve => {
            const timer = setTimeout(() => this.settle(waitingPlacement, undefined), request.waitUntilMs - nowMs);
            const settle = (placement: LeasedPlacement | undefined) => {
                clearTimeout(timer);
                resolve(placement);
            };
            const waitingPlacement: WaitingPlacement = { ...request, settle };
            this.waiting.add(waitingPlacement);
            this.policy.selectRefused([...this.waiting], placedPerSecond, nowMs).forEach(refused =>
                this.settle(refused, undefined)
            );
            void this.probeUpstreams();
        });
    }

    offer(probeResult: ProbeResult): boolean {
        return this.waiting.size > 0 && this.match([probeResult]).length === 0;
    }

    private nowMs(): number {
        return this.options.clock.monotonicMs();
    }

    /** Lists the upstreams that may get a request by `permitByMs`, as far as rate limits are concerned. */
    private listEligible(permitByMs: number, excluded: ReadonlySet<UpstreamId> = new Set()): readonly UpstreamState[] {
        const { upstreamTable, upstreamLimits } = this.options;
        return upstreamTable.listEligible(
            this.service,
            excluded,
            this.nowMs(),
            upstreamState => upstreamLimits.findPermitAtMs(upstreamState) <= permitByMs,
        );
    }

    /** Returns false if no upstream can get the request in time; permits are used by the requests ahead of it first. */
    private hasCapacityUntil({ excluded, waitUntilMs }: PlacementRequest, aheadCount: number): boolean {
        const { upstreamLimits } = this.options;
        const eligible = this.listEligible(waitUntilMs, excluded);
        if (eligible.some(upstreamState => !upstreamLimits.isLimited(upstreamState))) {
            return true;
        }
        const permitCount = eligible.reduce(
            (sum, upstreamState) => sum + upstreamLimits.countPermitsUntil(upstreamState, waitUntilMs),
            0,
        );
        return permitCount > aheadCount;
    }

    /** Runs a round of probes and schedules the next one while requests wait. */
    private async probeUpstreams(): Promise<void> {
        if (this.isProbing || this.waiting.size === 0) {
            this.hasNewRequest = this.isProbing;
            return;
        }
        clearTimeout(this.probeTimer);
        if (this.options.upstreamTable.isEvacuated(this.service)) {
            // Requests that waited when the last zone was evacuated are refused at once.
            this.waiting.forEach(waitingPlacement => this.settle(waitingPlacement, undefined));
            return;
        }
        this.isProbing = true;
        this.hasNewRequest = false;
        this.refuseDuringBackOff();
        this.placeOnLimited();
        const candidates = this.listUnlimited();
        const isInLocalZone = (upstreamState: UpstreamState) =>
            upstreamState.registration.availabilityZone === this.options.availabilityZone;
        const local = candidates.filter(isInLocalZone);
        const remote = candidates.filter(upstreamState => !isInLocalZone(upstreamState));
        // Requests that arrive meanwhile get a round of their own, which begins with a few upstreams again.
        const requests = [...this.waiting];
        await this.probeInSteps(local.length > 0 ? local : remote, requests);
        if (local.length > 0 && this.isAnyWaiting(requests)) {
            await this.probeCandidates(this.divide(remote).preferred, remoteSampleSize);
        }
        this.isProbing = false;
        if (this.waiting.size > 0) {
            this.probeTimer = setTimeout(() => void this.probeUpstreams(), this.hasNewRequest ? 0 : probeIntervalMs);
        }
    }

    /** Probes a few preferred upstreams; if requests still wait, the other preferred ones, then a sample of the rest. */
    private async probeInSteps(
        candidates: readonly UpstreamState[],
        requests: readonly WaitingPlacement[],
    ): Promise<void> {
        const { random, prober } = this.options;
        const { preferred, others } = this.divide(candidates);
        const ordered = orderForProbing(preferred, upstreamState => prober.isConnected(upstreamState), random);
        const initial = ordered.slice(0, initialSampleSize * requests.length);
        await this.probeCandidates(initial, initial.length);
        if (initial.length < ordered.length && this.isAnyWaiting(requests)) {
            await this.probeCandidates(ordered.slice(initial.length), ordered.length);
        }
        if (others.length > 0 && this.isAnyWaiting(requests)) {
            await this.probeCandidates(others, otherSampleSize);
        }
    }

    private isAnyWaiting(requests: readonly WaitingPlacement[]): boolean {
        return requests.some(request => this.waiting.has(request));
    }

    private divide(candidates: readonly UpstreamState[]): PreferredUpstreams {
        return this.options.affinity.divide(candidates, this.measurePlacementRate(this.nowMs()));
    }

    /** Gives up all waiting requests once all upstreams back off; their callers can use another entry meanwhile. */
    private refuseDuringBackOff(): void {
        if (this.options.upstreamTable.findBackOffDelayMs(this.service, this.nowMs()) !== undefined) {
            this.waiting.forEach(waitingPlacement => this.settle(waitingPlacement, undefined));
        }
    }

    /** Places waiting requests on limited upstreams for which this entry has permits, without probes. */
    private placeOnLimited(): void {
        const { upstreamLimits, prober, availabilityZone } = this.options;
        const permitted = this.listEligible(this.nowMs()).filter(upstreamState =>
            upstreamLimits.isLimited(upstreamState)
        );
        const isInLocalZone = (upstreamState: UpstreamState) =>
            upstreamState.registration.availabilityZone === availabilityZone;
        const chosen = [
            ...this.sample(permitted.filter(isInLocalZone), this.waiting.size),
            ...this.sample(permitted.filter(upstreamState => !isInLocalZone(upstreamState)), this.waiting.size),
        ].slice(0, this.waiting.size);
        const leased = chosen.map(upstreamState => prober.connect(upstreamState)).filter(result =>
            result !== undefined
        );
        this.match(leased).forEach(result => result.connection.release());
    }

    private listUnlimited(): readonly UpstreamState[] {
        return this.listEligible(this.nowMs()).filter(upstreamState =>
            !this.options.upstreamLimits.isLimited(upstreamState)
        );
    }

    private async probeCandidates(candidates: readonly UpstreamState[], count: number): Promise<void> {
        const nowMs = this.nowMs();
        // The candidates were listed at the start of the round; some may have been evacuated or have left since.
        const worthProbing = candidates.filter(upstreamState =>
            this.options.upstreamTable.isCurrent(upstreamState, nowMs) &&
            isWorthProbing(upstreamState, this.waiting, nowMs)
        );
        const rate = probeBudgetShare * this.options.probesPerSecond() * this.listUnlimited().length;
        const wanted = this.throttle.limit(Math.min(count, worthProbing.length));
        const allowed = this.budget.take(Math.min(wanted, worthProbing.length), rate, nowMs);
        // Any request supplies the health path, since all are for the same service.
        const [firstWaiting] = this.waiting;
        if (allowed === 0 || firstWaiting === undefined) {
            return;
        }
        const probeResults = await this.options.prober.probeAll(
            this.sample(worthProbing, allowed),
            firstWaiting.service.healthPath,
            late => {
                this.throttle.recordLateAnswer();
                this.match([late]).forEach(unused => unused.connection.release());
            },
        );
        this.throttle.recordRound(probeResults.length);
        this.match(probeResults).forEach(probeResult => probeResult.connection.release());
    }

    /** Places waiting requests on probed upstreams; returns the probe results that were not used. */
    private match(probeResults: readonly ProbeResult[]): readonly ProbeResult[] {
        const nowMs = this.nowMs();
        const unusedResults = new Map(probeResults.map(probeResult => [probeResult.upstreamState, probeResult]));
        for (const waitingPlacement of this.policy.sort([...this.waiting], nowMs)) {
            if (waitingPlacement.isExchangeEnded()) {
                this.settle(waitingPlacement, undefined);
                continue;
            }
            const candidates = [...unusedResults.keys()].filter(upstreamState =>
                !waitingPlacement.excluded.has(upstreamState.registration.id) &&
                this.options.upstreamTable.isCurrent(upstreamState, nowMs) &&
                this.options.upstreamLimits.isPermitted(upstreamState)
            );
            const chosenPlacement = placeRequest(waitingPlacement, candidates, this.options.random, nowMs);
            const probeResult = chosenPlacement === undefined
                ? undefined
                : unusedResults.get(chosenPlacement.upstreamState);
            if (chosenPlacement !== undefined && probeResult !== undefined) {
                unusedResults.delete(chosenPlacement.upstreamState);
                this.placedAtMs.push(nowMs);
                this.options.upstreamLimits.takePermit(chosenPlacement.upstreamState);
                this.settle(waitingPlacement, {
                    upstreamState: chosenPlacement.upstreamState,
                    cost: chosenPlacement.cost,
                    connection: probeResult.connection,
                });
            }
        }
        return [...unusedResults.values()];
    }

    private settle(waitingPlacement: WaitingPlacement, placement: LeasedPlacement | undefined): void {
        this.waiting.delete(waitingPlacement);
        if (placement !== undefined || !waitingPlacement.isExchangeEnded()) {
            this.policy.record(waitingPlacement, placement !== undefined, this.nowMs());
        }
        waitingPlacement.settle(placement);
    }

    private measurePlacementRate(nowMs: number): number {
        this.placedAtMs = this.placedAtMs.filter(atMs => nowMs - atMs < placementRateWindowMs);
        return this.placedAtMs.length;
    }

    private sample(candidates: readonly UpstreamState[], count: number): readonly UpstreamState[] {
        const remaining = [...candidates];
        const chosen: UpstreamState[] = [];
        while (chosen.length < count && remaining.length > 0) {
            chosen.push(...remaining.splice(this.options.random.nextInt(remaining.length), 1));
        }
        return chosen;
    }
}
