import type { Clock } from "../core/clock.js";
import type { ServiceName, UpstreamId } from "../core/ids.js";
import type { RandomSource } from "../core/random.js";
import type { RoutedService } from "../directory/model.js";
import type { InquiryAnswer, LoadInquiry } from "./loadInquiry.js";
import { choosePlacement, type Placement } from "./placement.js";
import type { UpstreamBoard, UpstreamRow } from "./upstreamBoard.js";
import type { LeasedConnection } from "./upstreamConnections.js";

/** Upstreams of other availability zones that are asked at once; their bytes are billed. */
const remoteSampleSize = 4;
/** An upstream of another availability zone is asked only when the best near one is this much slower than usual. */
const slowCost = 2.2;
/** A far upstream is taken only when it is expected to be faster than the near one by this factor. */
const remoteGain = 1.5;
/** Shortest and longest pause before upstreams without room are asked again. */
const minAskAgainMs = 20;
const maxAskAgainMs = 40;
/** After this part of the wait, the last slots of upstreams are used too. */
const crowdAfterShare = 0.4;

/** A request that looks for an upstream. */
export interface PlacementRequest {
    readonly service: RoutedService;
    /** Upstreams that have already failed the request. */
    readonly excluded: ReadonlySet<UpstreamId>;
    /** When to give up, in monotonic milliseconds. */
    readonly untilMs: number;
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

/** Finds upstreams with room for requests, by asking them just before. */
export class Placer {
    constructor(
        private readonly board: UpstreamBoard,
        private readonly inquiry: LoadInquiry,
        private readonly availabilityZone: string,
        private readonly clock: Clock,
        private readonly random: RandomSource,
    ) {}

    /** Waits for an upstream with room. Undefined when there was none until the request had to give up. */
    async place(request: PlacementRequest): Promise<LeasedPlacement | undefined> {
        const startMs = this.clock.monotonicMs();
        const crowdAtMs = startMs + crowdAfterShare * (request.untilMs - startMs);
        for (;;) {
            const canCrowd = this.clock.monotonicMs() >= crowdAtMs;
            const placement = await this.tryPlace(request, canCrowd);
            if (request.isOver()) {
                placement?.connection.release();
                return undefined;
            }
            if (placement !== undefined) {
                return placement;
            }
            const pauseMs = minAskAgainMs + this.random.nextUnit() * (maxAskAgainMs - minAskAgainMs);
            if (this.clock.monotonicMs() + pauseMs > request.untilMs) {
                return undefined;
            }
            await new Promise(resolve => setTimeout(resolve, pauseMs));
        }
    }

    private async tryPlace(request: PlacementRequest, canCrowd: boolean): Promise<LeasedPlacement | undefined> {
        const { near, far } = this.split(request.service.name, request.excluded);
        const { healthPath } = request.service;
        const nearAnswers = await this.inquiry.ask(near, healthPath);
        const best = this.choose(nearAnswers, canCrowd);
        if ((best !== undefined && best.cost <= slowCost) || far.length === 0 || request.isOver()) {
            return this.settle(nearAnswers, best);
        }
        const sample = this.sample(far, near.length === 0 ? 2 * remoteSampleSize : remoteSampleSize);
        const farAnswers = await this.inquiry.ask(sample, healthPath);
        const remote = this.choose(farAnswers, canCrowd);
        const isRemoteBetter = remote !== undefined && (best === undefined || remote.cost * remoteGain < best.cost);
        return this.settle([...nearAnswers, ...farAnswers], isRemoteBetter ? remote : best);
    }

    /** Keeps the connection of the chosen upstream. The upstream may have left while it was asked. */
    private settle(answers: readonly InquiryAnswer[], choice: Placement | undefined): LeasedPlacement | undefined {
        const row = choice !== undefined && this.board.isCurrent(choice.row) ? choice.row : undefined;
        const chosen = answers.find(answer => answer.row === row);
        answers.filter(answer => answer !== chosen).forEach(answer => answer.connection.release());
        return chosen === undefined || choice === undefined ? undefined : { ...chosen, cost: choice.cost };
    }

    private split(service: ServiceName, excluded: ReadonlySet<UpstreamId>) {
        const rows = this.board.listEligible(service, excluded, this.clock.monotonicMs());
        const isNear = (row: UpstreamRow) => row.registration.availabilityZone === this.availabilityZone;
        return { near: rows.filter(isNear), far: rows.filter(row => !isNear(row)) };
    }

    private choose(answers: readonly InquiryAnswer[], canCrowd: boolean): Placement | undefined {
        const rows = answers.map(answer => answer.row);
        return choosePlacement(rows, canCrowd, this.random, this.clock.monotonicMs());
    }

    private sample(rows: readonly UpstreamRow[], count: number): readonly UpstreamRow[] {
        const pool = [...rows];
        const chosen: UpstreamRow[] = [];
        while (chosen.length < count && pool.length > 0) {
            chosen.push(...pool.splice(this.random.nextInt(pool.length), 1));
        }
        return chosen;
    }
}
