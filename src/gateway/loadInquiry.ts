import type { Dispatcher } from "undici";
import type { Clock } from "../core/clock.js";
import { toHeaderFields } from "../entry/headers.js";
import type { GatewayMetrics } from "../metrics/gatewayMetrics.js";
import type { ResponseHead } from "../requests/model.js";
import type { Dialect } from "./dialect.js";
import { type UpstreamBoard, type UpstreamRow, UseOutcome } from "./upstreamBoard.js";
import type { LeasedConnection, UpstreamConnections } from "./upstreamConnections.js";

/** An answer that takes longer is of no use: the load has changed by then. */
const answerTimeoutMs = 40;
/** A new connection takes a round trip and some time of the upstream more. */
const connectTimeoutMs = 120;

/** An upstream that has just answered that it is well, on a connection that is leased. */
export interface InquiryAnswer {
    readonly row: UpstreamRow;
    readonly connection: LeasedConnection;
}

/** Asks upstreams for their load just before a request is placed. */
export class LoadInquiry {
    constructor(
        private readonly board: UpstreamBoard,
        private readonly connections: UpstreamConnections,
        private readonly dialect: Dialect,
        private readonly clock: Clock,
        private readonly metrics: GatewayMetrics,
    ) {}

    /** Returns whether a question needs no new connection. */
    isConnected(row: UpstreamRow): boolean {
        return this.connections.hasIdle(row.registration.address);
    }

    /** Asks all rows; returns those that answered that they are well. Their `load` is then up to date. */
    async ask(rows: readonly UpstreamRow[], healthPath: string): Promise<readonly InquiryAnswer[]> {
        const answers = await Promise.all(rows.map(row => this.askOne(row, healthPath)));
        return answers.filter(answer => answer !== undefined);
    }

    private async askOne(row: UpstreamRow, healthPath: string): Promise<InquiryAnswer | undefined> {
        const askedAtMs = this.clock.monotonicMs();
        const { address, id } = row.registration;
        const connection = this.connections.lease(address, askedAtMs);
        if (connection === undefined) {
            return undefined;
        }
        const head = await requestHead(connection.dispatcher, healthPath);
        // A second copy of an earlier answer on the connection names the request that it belongs to.
        const isRight = head !== undefined && this.dialect.readAnsweredId(head) === undefined &&
            (this.dialect.readUpstreamId(head) ?? id) === id;
        if (!isRight || head.status !== 200) {
            connection.discard();
            this.metrics.loadQuestions.inc({ end: head === undefined ? "silent" : "unwell" });
            this.board.noteOutcome(row, UseOutcome.broken, this.clock.monotonicMs());
            return undefined;
        }
        this.metrics.loadQuestions.inc({ end: "answered" });
        const load = this.dialect.readLoad(head);
        if (load !== undefined) {
            row.load = load;
            row.loadAskedAtMs = askedAtMs;
        }
        return { row, connection };
    }
}

/** Returns the head of the answer, or undefined when none arrives in time. */
function requestHead(dispatcher: Dispatcher, path: string): Promise<ResponseHead | undefined> {
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
        const handler: Dispatcher.DispatchHandler = {
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
        };
        try {
            dispatcher.dispatch({ method: "GET", path }, handler);
        }
        catch {
            // undici refuses a path that it cannot write; the upstream counts as one that does not answer.
            finish(undefined);
        }
    });
}
