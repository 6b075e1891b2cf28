import type { Clock } from "../core/clock.js";
import type { ServiceName, UpstreamId } from "../core/ids.js";
import type { RandomSource } from "../core/random.js";
import type { RoutedService } from "../directory/model.js";
import { AskBudget } from "./askBudget.js";
import type { InquiryAnswer, LoadInquiry } from "./loadInquiry.js";
import {
    describeLoad,
    isHopeless,
    isWorthAsking,
    orderForAsking,
    placeWaiting,
    type SeenLoad,
    sortWaiting,
    type WaitingRequest,
} from "./placement.js";
import type { UpstreamBoard, UpstreamRow } from "./upstreamBoard.js";
import type { LeasedConnection } from "./upstreamConnections.js";

/** Upstreams of other availability zones that are asked at once; their bytes are billed. Source: `docs/measurements.md`. */
const remoteSampleSize = 4;
/**
 * Upstreams of the own availability zone that are asked first for each waiting request. Mostly one of them is idle and
 * fast; each question and each new connection has a price.
 */
const firstSampleSize = 4;
/** Pause before upstreams without room are asked again; loads change within about 150 ms. */
const askAgainMs = 25;
/** Part of the operators' budget for questions that entries use together; the rest covers those that join. */
const askShare = 0.8;
const rateWindowMs = 1000;
/** Upstreams that a log line names; more would make lines long without explaining more. */
const maxDescribedUpstreams = 8;

/** A request that looks for an upstream. */
export interface PlacementRequest extends WaitingRequest {
    readonly service: RoutedService;
    /** Upstreams that have already failed the request. */
    readonly excluded: ReadonlySet<UpstreamId>;
    /** Returns whether the caller has left or has been answered. */
    readonly isOver: () => boolean;
}

/** Where a request goes, on a connection that is leased for it. */
export interface LeasedPlacement {
    readonly row: UpstreamRow;
    /** Expected duration as a multiple of the usual one. */
    readonly cost: number;
    readonly connection: LeasedConnection;
}

/** What placers work with. */
export interface PlacerOptions {
    readonly board: UpstreamBoard;
    readonly inquiry: Pick<LoadInquiry, "ask" | "isConnected">;
    readonly availabilityZone: string;
    /** Questions per upstream and second that this entry may send, over all upstreams. */
    readonly asksPerSecond: () => number;
    readonly clock: Clock;
    readonly random: RandomSource;
}

/** Finds upstreams with room for requests. */
export class Placer {
    private readonly services = new Map<ServiceName, ServicePlacer>();

    constructor(private readonly options: PlacerOptions) {}

    /** Waits for an upstream with room. Undefined when there was none until the request had to give up. */
    place(request: PlacementRequest): Promise<LeasedPlacement | undefined> {
        return this.placerOf(request.service.name).place(request);
    }

    /** Returns what is known of the upstreams of a service, nearest first, for the log. */
    describe(service: RoutedService): readonly SeenLoad[] {
        const { board, availabilityZone, clock } = this.options;
        const nowMs = clock.monotonicMs();
        const isNear = (row: UpstreamRow) => row.registration.availabilityZone === availabilityZone;
        const rows = board.list().filter(row => row.registration.service === service.name);
        return [...rows.filter(isNear), ...rows.filter(row => !isNear(row))]
            .slice(0, maxDescribedUpstreams)
            .map(row => describeLoad(row, nowMs));
    }

    /** Offers the connection of an upstream that has just ended a request. Returns whether it was taken. */
    offer(service: ServiceName, row: UpstreamRow, connection: LeasedConnection): boolean {
        return this.services.get(service)?.offer({ row, connection }) ?? false;
    }

    /** Requests that wait for an upstream. */
    countWaiting(): number {
        return [...this.services.values()].reduce((sum, placer) => sum + placer.waitingCount, 0);
    }

    private placerOf(service: ServiceName): ServicePlacer {
        const placer = this.services.get(service) ?? new ServicePlacer(service, this.options);
        this.services.set(service, placer);
        return placer;
    }
}

interface Waiting extends PlacementRequest {
    readonly settle: (placement: LeasedPlacement | undefined) => void;
}

/** The requests of one service that look for an upstream. One question at a time is asked for all of them. */
class ServicePlacer {
    private readonly waiting = new Set<Waiting>();
    private readonly budget = new AskBudget();
    private isAsking = false;
    /** Whether a request arrived while the question for others was under way. */
    private hasNewcomer = false;
    private askTimer: NodeJS.Timeout | undefined;
    private placedAtMs: number[] = [];

    constructor(private readonly service: ServiceName, private readonly options: PlacerOptions) {}

    get waitingCount(): number {
        return this.waiting.size;
    }

    place(request: PlacementRequest): Promise<LeasedPlacement | undefined> {
        const nowMs = this.nowMs();
        const before = [...this.waiting].filter(other => other.priority <= request.priority).length;
        const isNobodyThere = this.listEligible(request.excluded).length === 0;
        if (isNobodyThere || isHopeless(before, this.ratePerSecond(nowMs), request.untilMs - nowMs)) {
            return Promise.resolve(undefined);
        }
        return new Promise(resolve => {
            const timer = setTimeout(() => this.settle(waiting, undefined), request.untilMs - nowMs);
            const settle = (placement: LeasedPlacement | undefined) => {
                clearTimeout(timer);
                resolve(placement);
            };
            const waiting: Waiting = { ...request, settle };
            this.waiting.add(waiting);
            void this.ask();
        });
    }

    offer(answer: InquiryAnswer): boolean {
        return this.waiting.size > 0 && this.match([answer]).length === 0;
    }

    private nowMs(): number {
        return this.options.clock.monotonicMs();
    }

    private listEligible(excluded: ReadonlySet<UpstreamId> = new Set()): readonly UpstreamRow[] {
        return this.options.board.listEligible(this.service, excluded, this.nowMs());
    }

    /** Asks for loads as long as requests wait. */
    private async ask(): Promise<void> {
        if (this.isAsking || this.waiting.size === 0) {
            this.hasNewcomer = this.isAsking;
            return;
        }
        clearTimeout(this.askTimer);
        this.isAsking = true;
        this.hasNewcomer = false;
        const rows = this.listEligible();
        const isNear = (row: UpstreamRow) => row.registration.availabilityZone === this.options.availabilityZone;
        const { random, inquiry } = this.options;
        const near = orderForAsking(rows.filter(isNear), row => inquiry.isConnected(row), random);
        const first = near.slice(0, firstSampleSize * this.waiting.size);
        await this.askRows(first, first.length);
        if (this.waiting.size > 0 && first.length < near.length) {
            await this.askRows(near.slice(first.length), near.length);
        }
        if (this.waiting.size > 0) {
            const far = rows.filter(row => !isNear(row));
            await this.askRows(far, near.length === 0 ? far.length : remoteSampleSize);
        }
        this.isAsking = false;
        if (this.waiting.size > 0) {
            this.askTimer = setTimeout(() => void this.ask(), this.hasNewcomer ? 0 : askAgainMs);
        }
    }

    private async askRows(rows: readonly UpstreamRow[], count: number): Promise<void> {
        const nowMs = this.nowMs();
        const useful = rows.filter(row => isWorthAsking(row, this.waiting, nowMs));
        const rate = askShare * this.options.asksPerSecond() * this.listEligible().length;
        const allowed = this.budget.take(Math.min(count, useful.length), rate, nowMs);
        const [first] = this.waiting;
        if (allowed === 0 || first === undefined) {
            return;
        }
        const answers = await this.options.inquiry.ask(this.sample(useful, allowed), first.service.healthPath);
        this.match(answers).forEach(answer => answer.connection.release());
    }

    /** Places what it can; returns the answers whose connections were not used. */
    private match(answers: readonly InquiryAnswer[]): readonly InquiryAnswer[] {
        const nowMs = this.nowMs();
        const free = new Map(answers.map(answer => [answer.row, answer]));
        for (const waiting of sortWaiting([...this.waiting], nowMs)) {
            if (waiting.isOver()) {
                this.settle(waiting, undefined);
                continue;
            }
            const rows = [...free.keys()].filter(row =>
                !waiting.excluded.has(row.registration.id) && this.options.board.isCurrent(row)
            );
            const choice = placeWaiting(waiting, rows, this.options.random, nowMs);
            const answer = choice === undefined ? undefined : free.get(choice.row);
            if (choice !== undefined && answer !== undefined) {
                free.delete(choice.row);
                this.placedAtMs.push(nowMs);
                this.settle(waiting, { row: choice.row, cost: choice.cost, connection: answer.connection });
            }
        }
        return [...free.values()];
    }

    private settle(waiting: Waiting, placement: LeasedPlacement | undefined): void {
        this.waiting.delete(waiting);
        waiting.settle(placement);
    }

    private ratePerSecond(nowMs: number): number {
        this.placedAtMs = this.placedAtMs.filter(atMs => nowMs - atMs < rateWindowMs);
        return this.placedAtMs.length;
    }

    private sample(rows: readonly UpstreamRow[], count: number): readonly UpstreamRow[] {
        const pool = [...rows];
        const chosen: UpstreamRow[] = [];
        while (chosen.length < count && pool.length > 0) {
            chosen.push(...pool.splice(this.options.random.nextInt(pool.length), 1));
        }
        return chosen;
    }
}
