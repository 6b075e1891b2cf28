import { createJSONRPCRequest, type JSONRPCResponse } from "json-rpc-2.0";
import { setTimeout as sleep } from "node:timers/promises";
import { Agent, request } from "undici";
import {
    type ApplyAnswer,
    type ApplyOutcome,
    type ApplyParams,
    type AuditAnswer,
    type AuditFilter,
    OperatorMethod,
    type ShowAnswer,
    type StatusAnswer,
} from "../control/operatorApi.js";
import { OperatorError } from "../core/errors.js";
import type { LoadedOperatorSettings } from "../settings/load.js";

const pauseBetweenRoundsMs = 300;
const connectTimeoutMs = 2_000;
/** Errors raised before any byte of the request could reach the control VM. */
const notSentCodes = ["ECONNREFUSED", "EHOSTUNREACH", "ENETUNREACH", "UND_ERR_CONNECT_TIMEOUT"];
const unauthorizedStatuses = [401, 403];
const leaderUnknownCode = "leader-unknown";

/** The part of the operator's settings that a client uses. */
export type ControlClientSettings = Pick<
    LoadedOperatorSettings,
    "controlAddresses" | "token" | "totalTimeoutMs" | "callTimeoutMs"
>;

/** How a call of one control VM ended. */
type CallEnd =
    | { readonly kind: "answer"; readonly result: unknown; }
    /** The call was certainly not handled. */
    | { readonly kind: "not-handled"; readonly reason: string; }
    /** The call may have been handled. */
    | { readonly kind: "no-answer"; readonly reason: string; };

/** Calls the control VMs of an operator's settings, each in turn, until one answers or the time is over. */
export class ControlClient {
    private readonly agent = new Agent({ connect: { timeout: connectTimeoutMs } });

    constructor(private readonly settings: ControlClientSettings) {}

    async show(): Promise<ShowAnswer> {
        return await this.read(OperatorMethod.show, {}) as ShowAnswer;
    }

    /** Returns the view of the leader, or of any control VM when none leads with a quorum. */
    async status(): Promise<StatusAnswer> {
        const answers = this.settings.controlAddresses.map(async address => {
            const end = await this.call(address, OperatorMethod.status, {});
            return end.kind === "answer" ? end.result as StatusAnswer : undefined;
        });
        const confirmed = await firstThat(answers, answer => answer?.isQuorumConfirmed === true);
        const unconfirmed = confirmed ?? (await Promise.all(answers)).find(answer => answer !== undefined);
        return unconfirmed ?? await this.read(OperatorMethod.status, {}) as StatusAnswer;
    }

    async close(): Promise<void> {
        await this.agent.destroy();
    }

    async listAudit(method: "audit.list" | "catalogue.history", filter: AuditFilter): Promise<AuditAnswer> {
        return await this.read(method, filter) as AuditAnswer;
    }

    /**
     * Applies a change. Every attempt carries the same change id, so a change that an earlier attempt made gives its
     * first answer. The outcome is unknown when a call may have been handled and no control VM settled it.
     */
    async apply(params: ApplyParams): Promise<ApplyAnswer> {
        let mayHaveRun: string | undefined;
        const end = await this.callUntilSettled(OperatorMethod.apply, params, attempt => {
            const isUnsettled = attempt.kind === "answer" && (attempt.result as ApplyAnswer).outcome === "unknown";
            if (attempt.kind === "no-answer") {
                mayHaveRun = attempt.reason;
            }
            if (isUnsettled) {
                mayHaveRun = (attempt.result as ApplyAnswer).detail;
            }
            return attempt.kind === "answer" && !isUnsettled;
        });
        if (end.kind === "answer" && (end.result as ApplyAnswer).outcome !== "unknown") {
            return end.result as ApplyAnswer;
        }
        if (mayHaveRun !== undefined) {
            return unknownAnswer(mayHaveRun);
        }
        throw new OperatorError("control-unavailable", { reason: reasonOf(end) });
    }

    /** Asks all control VMs at once, so that one that does not answer delays nothing; reading twice is harmless. */
    private async read(method: OperatorMethod, params: unknown): Promise<unknown> {
        const endAtMs = performance.now() + this.settings.totalTimeoutMs;
        while (true) {
            const calls = this.settings.controlAddresses.map(address => this.call(address, method, params));
            const end = await firstThat(calls, candidate => candidate.kind === "answer");
            if (end?.kind === "answer") {
                return end.result;
            }
            if (performance.now() + pauseBetweenRoundsMs >= endAtMs) {
                throw new OperatorError("control-unavailable", { reason: reasonOf(await calls[0]) });
            }
            await sleep(pauseBetweenRoundsMs);
        }
    }

    private async callUntilSettled(
        method: OperatorMethod,
        params: unknown,
        isSettled: (end: CallEnd) => boolean,
    ): Promise<CallEnd> {
        const endAtMs = performance.now() + this.settings.totalTimeoutMs;
        while (true) {
            for (const address of this.settings.controlAddresses) {
                const end = await this.call(address, method, params);
                if (isSettled(end) || performance.now() + pauseBetweenRoundsMs >= endAtMs) {
                    return end;
                }
            }
            await sleep(pauseBetweenRoundsMs);
        }
    }

    private async call(address: string, method: OperatorMethod, params: unknown): Promise<CallEnd> {
        try {
            const response = await request(`http://${address}/v1/rpc`, {
                method: "POST",
                headers: { "authorization": `Bearer ${this.settings.token}`, "content-type": "application/json" },
                dispatcher: this.agent,
                body: JSON.stringify(createJSONRPCRequest(1, method, params as object)),
                headersTimeout: this.settings.callTimeoutMs,
                bodyTimeout: this.settings.callTimeoutMs,
            });
            return await readEnd(address, response);
        }
        catch (error) {
            if (error instanceof OperatorError) {
                throw error;
            }
            const { code, message } = error as Error & { code?: string; };
            const kind = notSentCodes.includes(code ?? "") ? "not-handled" : "no-answer";
            return { kind, reason: `${address}: ${message || code}` };
        }
    }
}

async function readEnd(address: string, response: Awaited<ReturnType<typeof request>>): Promise<CallEnd> {
    const body = await response.body.text();
    if (unauthorizedStatuses.includes(response.statusCode)) {
        throw new OperatorError("operator-unauthorized", { address });
    }
    if (response.statusCode !== 200) {
        return { kind: "no-answer", reason: `${address}: status ${response.statusCode}` };
    }
    const { error, result } = JSON.parse(body) as JSONRPCResponse;
    if (error === undefined) {
        return { kind: "answer", result };
    }
    const kind = (error.data as { code?: string; } | undefined)?.code === leaderUnknownCode
        ? "not-handled"
        : "no-answer";
    return { kind, reason: `${address}: ${error.message}` };
}

/** Returns the first result that fits, or undefined when none does. Rejects when one rejects before that. */
function firstThat<Result>(
    results: readonly Promise<Result>[],
    isFitting: (result: Result) => boolean,
): Promise<Result | undefined> {
    return new Promise((resolve, reject) => {
        const checked = results.map(async result => {
            const value = await result;
            if (isFitting(value)) {
                resolve(value);
            }
        });
        Promise.all(checked).then(() => resolve(undefined), reject);
    });
}

function reasonOf(end: CallEnd): string {
    return end.kind === "answer" ? "no control VM settled the change" : end.reason;
}

function unknownAnswer(reason: string): ApplyAnswer {
    const outcome: ApplyOutcome = "unknown";
    return { outcome, revision: 0, detail: reason, winner: undefined, entriesHolding: 0, entriesTotal: 0 };
}
