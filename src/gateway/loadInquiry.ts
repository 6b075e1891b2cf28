import type { Dispatcher } from "undici";
import type { Clock } from "../core/clock.js";
import { toHeaderFields } from "../entry/headers.js";
import type { UpstreamPools } from "../entry/upstreamPools.js";
import type { ResponseHead } from "../requests/model.js";
import type { Dialect } from "./dialect.js";
import { type UpstreamBoard, type UpstreamRow, UseOutcome } from "./upstreamBoard.js";

/** An answer that takes longer is of no use: the load has changed by then. */
const answerTimeoutMs = 40;
/** A new connection takes a round trip and some time of the upstream more. */
const connectTimeoutMs = 120;

/** Asks upstreams for their load just before a request is placed. */
export class LoadInquiry {
    private readonly running = new Map<UpstreamRow, Promise<boolean>>();

    constructor(
        private readonly board: UpstreamBoard,
        private readonly pools: UpstreamPools,
        private readonly dialect: Dialect,
        private readonly clock: Clock,
    ) {}

    /** Questions that were sent. */
    askedCount = 0;

    /** Asks all rows; returns those that answered that they are well. Their `load` is then up to date. */
    async ask(rows: readonly UpstreamRow[], healthPath: string): Promise<readonly UpstreamRow[]> {
        const answers = await Promise.all(rows.map(row => this.askOnce(row, healthPath)));
        return rows.filter((_row, position) => answers[position]);
    }

    /** A question that is under way is shared by all requests that wait for its answer. */
    private askOnce(row: UpstreamRow, healthPath: string): Promise<boolean> {
        const known = this.running.get(row);
        if (known !== undefined) {
            return known;
        }
        const answer = this.askNow(row, healthPath).finally(() => this.running.delete(row));
        this.running.set(row, answer);
        return answer;
    }

    private async askNow(row: UpstreamRow, healthPath: string): Promise<boolean> {
        const askedAtMs = this.clock.monotonicMs();
        const { address, id } = row.registration;
        this.askedCount++;
        const head = await requestHead(this.pools.use(address, askedAtMs), healthPath);
        const isRight = head !== undefined && (this.dialect.readUpstreamId(head) ?? id) === id;
        if (!isRight || head.status !== 200) {
            this.board.noteOutcome(row, UseOutcome.broken, this.clock.monotonicMs());
            return false;
        }
        const load = this.dialect.readLoad(head);
        if (load !== undefined) {
            row.load = load;
            row.loadAskedAtMs = askedAtMs;
        }
        return true;
    }
}

/** Returns the head of the answer, or undefined when none arrives in time. */
function requestHead(pool: Dispatcher, path: string): Promise<ResponseHead | undefined> {
    return new Promise(resolve => {
        let controller: Dispatcher.DispatchController | undefined;
        let head: ResponseHead | undefined;
        let isOver = false;
        const finish = (result: ResponseHead | undefined) => {
            isOver = true;
            clearTimeout(timer);
            resolve(result);
        };
        const giveUp = () => {
            finish(undefined);
            controller?.abort(new Error("the answer took too long"));
        };
        let timer = setTimeout(giveUp, connectTimeoutMs);
        pool.dispatch({ method: "GET", path }, {
            onRequestStart(started) {
                controller = started;
                if (isOver) {
                    started.abort(new Error("the answer is not needed any more"));
                    return;
                }
                clearTimeout(timer);
                timer = setTimeout(giveUp, answerTimeoutMs);
            },
            onResponseStart(started, status) {
                head = { status, headers: toHeaderFields((started.rawHeaders ?? []) as (string | Buffer)[]) };
            },
            onResponseData: () => undefined,
            onResponseEnd: () => finish(head),
            // An upstream that cannot be asked is handled by the caller like one that does not answer.
            onResponseError: () => finish(undefined),
        });
    });
}
