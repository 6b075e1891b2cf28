import { Agent } from "undici";
import type { RandomSource } from "../src/core/random.js";

/** A request that a caller sends, once or more. */
export interface Call {
    readonly service: string;
    readonly method: "GET" | "POST";
    readonly path: string;
    /** Unique; identifies the request in the execution logs. */
    readonly name: string;
    readonly hasIdempotencyKey: boolean;
    readonly bodyBytes: number;
    /** Timeout of each submission; after this time from the first, the request is not sent again. */
    readonly requestTimeoutMs: number;
}

/** Outcome of a submission as the caller sees it. */
export const SubmissionOutcome = {
    ok: "ok",
    notRun: "not-run",
    mayHaveRun: "may-have-run",
    /** Answered that the request ran, without its response. */
    ran: "ran",
    /** The connection failed or timed out before the response was complete. */
    dropped: "dropped",
    /** The upstream answered with an error. */
    failed: "failed",
    /** The response ended normally but is truncated or malformed. */
    incomplete: "incomplete",
    /** A complete response to another request. */
    foreign: "foreign",
} as const;

export type SubmissionOutcome = typeof SubmissionOutcome[keyof typeof SubmissionOutcome];

/** One sending of a call to an entry. */
export interface Submission {
    /** Value of the header `Bench-Request`: name of the call and number of the submission. */
    readonly name: string;
    readonly entryAddress: string;
    readonly startedAtMs: number;
    readonly endedAtMs: number;
    readonly outcome: SubmissionOutcome;
    /** Verdict on all submissions of the request; undefined without an answer of figwharf. */
    readonly verdict: string | undefined;
    readonly detail: string;
}

/** Outcome of a call over all its submissions. */
export interface CallResult {
    readonly call: Call;
    readonly outcome: SubmissionOutcome;
    readonly latencyMs: number;
    readonly submissions: readonly Submission[];
}

interface EntriesAnswer {
    readonly entries: readonly { readonly address: string; }[];
    readonly expiresInMs: number;
}

const connectTimeoutMs = 500;
const lookupTimeoutMs = 500;
const retryDelayMs = 25;
const maxSubmissions = 50;

/** HTTP client that looks up the entries of a service, caches them until they expire, and tries them in order. */
export class Caller {
    private readonly agent = new Agent({ connect: { timeout: connectTimeoutMs }, connections: 128, pipelining: 1 });
    private readonly cachedAddresses = new Map<
        string,
        { readonly addresses: readonly string[]; readonly expiresAtMs: number; }
    >();

    constructor(private readonly knownAddresses: readonly string[], private readonly random: RandomSource) {}

    /** Sends a request, and sends it again while that is safe and the time permits. */
    async call(call: Call): Promise<CallResult> {
        const startedAtMs = performance.now();
        const submissions: Submission[] = [];
        const addresses: string[] = [];
        while (submissions.length < maxSubmissions) {
            if (addresses.length === 0) {
                addresses.push(...await this.lookUp(call.service));
            }
            const address = addresses.shift() as string;
            submissions.push(await this.submit(call, address, `${call.name}#${submissions.length}`));
            const { outcome } = submissions[submissions.length - 1];
            const isTimedOut = performance.now() - startedAtMs > call.requestTimeoutMs;
            if (isTimedOut || !isResendAllowed(call, outcome)) {
                break;
            }
            if (outcome === SubmissionOutcome.dropped) {
                this.cachedAddresses.delete(call.service);
            }
            await new Promise(resolve => setTimeout(resolve, retryDelayMs * this.random.nextUnit()));
        }
        const isNotRun = call.hasIdempotencyKey &&
            submissions[submissions.length - 1].verdict === SubmissionOutcome.notRun;
        const outcome = isNotRun ? SubmissionOutcome.notRun : combineOutcomes(submissions.map(it => it.outcome));
        return { call, outcome, latencyMs: performance.now() - startedAtMs, submissions };
    }

    async close(): Promise<void> {
        await this.agent.destroy();
    }

    private async lookUp(service: string): Promise<readonly string[]> {
        const cached = this.cachedAddresses.get(service);
        if (cached !== undefined && performance.now() < cached.expiresAtMs) {
            return this.rotateRandomly(cached.addresses);
        }
        for (const address of this.rotateRandomly(this.knownAddresses)) {
            const answer = await this.fetchEntries(address, service);
            if (answer !== undefined && answer.entries.length > 0) {
                const addresses = answer.entries.map(entry => entry.address);
                this.cachedAddresses.set(service, { addresses, expiresAtMs: performance.now() + answer.expiresInMs });
                return addresses;
            }
        }
        return this.rotateRandomly(this.knownAddresses);
    }

    private rotateRandomly(addresses: readonly string[]): readonly string[] {
        const start = this.random.nextInt(addresses.length);
        return [...addresses.slice(start), ...addresses.slice(0, start)];
    }

    private async fetchEntries(address: string, service: string): Promise<EntriesAnswer | undefined> {
        try {
            const response = await this.agent.request({
                origin: `http://${address}`,
                method: "GET",
                path: `/v1/entries?service=${service}`,
                signal: AbortSignal.timeout(lookupTimeoutMs),
            });
            const answer = await response.body.json() as EntriesAnswer;
            return response.statusCode === 200 ? answer : undefined;
        }
        catch {
            return undefined;
        }
    }

    private async submit(call: Call, entryAddress: string, name: string): Promise<Submission> {
        const startedAtMs = performance.now();
        const headers: Record<string, string> = { "bench-request": name };
        if (call.hasIdempotencyKey) {
            headers["idempotency-key"] = call.name;
        }
        try {
            const response = await this.agent.request({
                origin: `http://${entryAddress}`,
                method: call.method,
                path: `/services/${call.service}${call.path}`,
                headers,
                body: call.bodyBytes > 0 ? Buffer.alloc(call.bodyBytes, call.name) : null,
                signal: AbortSignal.timeout(call.requestTimeoutMs),
            });
            const text = await response.body.text();
            const [outcome, detail] = classify(call, response.statusCode, response.headers, text);
            const verdict = response.headers["figwharf-verdict"]?.toString();
            return { name, entryAddress, startedAtMs, endedAtMs: performance.now(), outcome, verdict, detail };
        }
        catch (error) {
            const { code, message } = error as NodeJS.ErrnoException;
            const detail = `${code ?? ""} ${message}`;
            return {
                name,
                entryAddress,
                startedAtMs,
                endedAtMs: performance.now(),
                outcome: SubmissionOutcome.dropped,
                verdict: undefined,
                detail,
            };
        }
    }
}

function isResendAllowed(call: Call, outcome: SubmissionOutcome): boolean {
    switch (outcome) {
        case SubmissionOutcome.notRun:
            return true;
        case SubmissionOutcome.dropped:
        case SubmissionOutcome.mayHaveRun:
            return call.method === "GET" || call.hasIdempotencyKey;
        case SubmissionOutcome.failed:
            return call.method === "GET";
        default:
            return false;
    }
}

/** Returns `may-have-run` for a final `not-run` when an earlier submission may have run; else the last outcome. */
function combineOutcomes(outcomes: readonly SubmissionOutcome[]): SubmissionOutcome {
    const last = outcomes[outcomes.length - 1];
    const isUnclear = outcomes.some(it => it === SubmissionOutcome.dropped || it === SubmissionOutcome.mayHaveRun);
    return last === SubmissionOutcome.notRun && isUnclear ? SubmissionOutcome.mayHaveRun : last;
}

function classify(
    call: Call,
    status: number,
    headers: Readonly<Record<string, string | string[] | undefined>>,
    text: string,
): readonly [SubmissionOutcome, string] {
    const verdict = headers["figwharf-submission-verdict"] ?? headers["figwharf-verdict"];
    if (verdict !== undefined) {
        const outcome = Object.values(SubmissionOutcome).find(it => it === verdict) ?? SubmissionOutcome.foreign;
        return [outcome, `${status} ${text}`];
    }
    let body: { readonly key?: string; readonly bodyBytes?: number; readonly end?: boolean; };
    try {
        body = JSON.parse(text) as typeof body;
    }
    catch {
        return [SubmissionOutcome.incomplete, `${status} ${text}`];
    }
    if (body.end !== true || body.bodyBytes !== call.bodyBytes) {
        return [SubmissionOutcome.incomplete, `${status} ${text}`];
    }
    if (body.key?.split("#")[0] !== call.name) {
        return [SubmissionOutcome.foreign, `${status} ${text}`];
    }
    return [status === 200 ? SubmissionOutcome.ok : SubmissionOutcome.failed, String(status)];
}

/** Describes a call in one line, with its outcome and its last two submissions. */
export function describeResult(result: CallResult): string {
    const submissionLines = result.submissions.slice(-2).map(it =>
        `${it.name} at ${it.entryAddress}: ${it.outcome} ${it.detail}`
    );
    const { call, outcome } = result;
    return `${call.method} ${call.service}${call.path} ${call.name}: ${outcome} after ${result.submissions.length} submissions: ${
        submissionLines.join("; ")
    }`;
}
