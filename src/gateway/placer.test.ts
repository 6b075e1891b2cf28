import test from "ava";
import { SystemClock } from "../core/clock.js";
import { SeededRandom } from "../core/random.js";
import type { RoutedService } from "../directory/model.js";
import { makeRegistration, makeTable } from "../directory/testing.js";
import type { InstanceLoad } from "./dialect.js";
import type { InquiryAnswer } from "./loadInquiry.js";
import { type LeasedPlacement, Placer } from "./placer.js";
import { UpstreamBoard, type UpstreamRow } from "./upstreamBoard.js";

const longMs = 60_000;
const service: RoutedService = makeTable(1).services[0];

/** A placer over upstreams that answer each question at once. */
class PlacerSetup {
    readonly board = new UpstreamBoard();
    readonly placer: Placer;
    questionCount = 0;
    private readonly clock = new SystemClock();
    private readonly loads = new Map<string, InstanceLoad>();

    constructor(loads: readonly InstanceLoad[]) {
        const { board, clock } = this;
        loads.forEach((load, index) => {
            const registration = makeRegistration({ id: `i-${index}`, address: `10.0.0.${index}:80` });
            board.set(registration, clock.monotonicMs());
            this.loads.set(registration.id, load);
        });
        this.placer = new Placer({
            board,
            inquiry: { ask: rows => Promise.resolve(this.ask(rows)), isConnected: row => row.isUsed },
            availabilityZone: "az-1",
            asksPerSecond: () => 1000,
            clock,
            random: new SeededRandom(1),
        });
    }

    place(waitMs: number): Promise<LeasedPlacement | undefined> {
        const nowMs = this.clock.monotonicMs();
        return this.placer.place({
            service,
            excluded: new Set(),
            priority: 1,
            targetAtMs: nowMs + 2 * longMs,
            inTimeUntilMs: nowMs + waitMs,
            untilMs: nowMs + waitMs,
            usualMs: longMs,
            isOver: () => false,
        });
    }

    private ask(rows: readonly UpstreamRow[]): readonly InquiryAnswer[] {
        this.questionCount += rows.length;
        return rows.map(row => {
            row.load = this.loads.get(row.registration.id);
            row.loadAskedAtMs = this.clock.monotonicMs();
            return { row, connection: { dispatcher: undefined as never, release: () => 0, discard: () => 0 } };
        });
    }
}

const idle: InstanceLoad = { running: 0, waiting: 0, slots: 3, slowdown: 1 };
const full: InstanceLoad = { ...idle, running: 3 };

test("guards against a question to each upstream for each request, and against upstreams that stay unused", async t => {
    const setup = new PlacerSetup(Array.from({ length: 8 }, () => idle));
    const requestCount = 24;
    for (let number = 0; number < requestCount; number++) {
        const placement = await setup.place(longMs);
        if (placement !== undefined) {
            placement.row.isUsed = true;
        }
    }
    t.true(setup.board.list().every(row => row.isUsed), "each upstream got a request");
    t.is(setup.questionCount, 4 * requestCount);
});

test("guards against a request that waits while an upstream that was not asked first has room", async t => {
    const setup = new PlacerSetup([full, full, full, full, full, full, full, idle]);
    setup.board.list().forEach(row => row.isUsed = row.registration.id !== "i-7");
    for (let number = 0; number < 5; number++) {
        t.is((await setup.place(longMs))?.row.registration.id, "i-7");
    }
});

test("guards against a refusal that the log does not explain", async t => {
    const setup = new PlacerSetup([{ ...full, slowdown: 5 }]);
    t.is(await setup.place(1), undefined);
    const [seen] = setup.placer.describe(service);
    t.like(seen, { upstream: "i-0", busy: 3, slots: 3, slowdown: 5, isEjected: false, isDraining: false });
    t.is(typeof seen.ageMs, "number");
});
