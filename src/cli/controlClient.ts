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

const retryDelayMs = 300;
const connectTimeoutMs = 2_000;
/** Codes of errors raised before any byte of the request could reach the control VM. */
const connectErrorCodes = ["ECONNREFUSED", "EHOSTUNREACH", "ENETUNREACH", "UND_ERR_CONNECT_TIMEOUT"];
const unauthorizedStatuses = [401, 403];
const leaderUnknownCode = "leader-unknown";

/** Operator settings that the client uses. */
export type ControlClientSettings = Pick<
    LoadedOperatorSettings,
    "controlAddresses" | "token" | "totalTimeoutMs" | "callTimeoutMs"
>;

/** Outcome of a call to one control VM. */
type CallOutcome =
    | { readonly kind: "answer"; readonly result: unknown; }
    /** The call was definitely not handled. */
    | { readonly kind: "not-handled"; readonly reason: string; }
    /** The call may have been handled. */
    | { readonly kind: "no-answer"; readonly reason: string; };

/** Client of the operator API of the control VMs; retries until one answers or the total timeout expires. */
export class ControlClient {
    private readonly agent = new Agent({ connect: { timeout: connectTimeoutMs } });

    constructor(private readonly settings: ControlClientSettings) {}

    async show(): Promise<ShowAnswer> {
        return await this.read(OperatorMethod.show, {}) as ShowAnswer;
    }

    /** Returns a status that is confirmed by a quorum, or the status of any control VM if there is none. */
    async status(): Promise<StatusAnswer> {
        const answers = this.settings.controlAddresses.map(async address => {
            const callOutcome = await this.call(address, OperatorMethod.status, {});
            return callOutcome.kind === "answer" ? callOutcome.result as StatusAnswer : undefined;
        });
        const confirmed = await findFirstMatching(answers, answer => answer?.isQuorumConfirmed === true);
        const bestAnswer = confirmed ?? (await Promise.all(answers)).find(answer => answer !== undefined);
        return bestAnswer ?? await this.read(OperatorMethod.status, {}) as StatusAnswer;
    }

    async close(): Promise<void> {
        await this.agent.destroy();
    }

    /** Lists records of the audit trail or of the catalogue's history. */
    async listAudit(method: "audit.list" | "catalogue.history", filter: AuditFilter): Promise<AuditAnswer> {
        return await this.read(method, filter) as AuditAnswer;
    }

    /**
     * Applies a change. Every attempt carries the same change id, so if an earlier attempt already made the change, its
     * original answer is returned. The outcome is unknown if a call may have been handled and no retry got its outcome.
     */
    async apply(params: ApplyParams): Promise<ApplyAnswer> {
        let unknownReason: string | undefined;
        const callOutcome = await this.callUntilFinal(OperatorMethod.apply, params, attempt => {
            const isOutcomeUnknown = attempt.kind === "answer" && (attempt.result as ApplyAnswer).outcome === "unknown";
            if (attempt.kind === "no-answer") {
                unknownReason = attempt.reason;
            }
            if (isOutcomeUnknown) {
                unknownReason = (attempt.result as ApplyAnswer).detail;
            }
            return attempt.kind === "answer" && !isOutcomeUnknown;
        });
        if (callOutcome.kind === "answer" && (callOutcome.result as ApplyAnswer).outcome !== "unknown") {
            return callOutcome.result as ApplyAnswer;
        }
        if (unknownReason !== undefined) {
            return makeUnknownAnswer(unknownReason);
        }
        throw new OperatorError("control-unavailable", { reason: reasonOf(callOutcome) });
    }

    /**
     * Calls all control VMs in parallel, so that an unresponsive one causes no delay if another answers. This is safe
     * because reads are idempotent.
     */
    private async read(method: OperatorMethod, params: unknown): Promise<unknown> {
        const deadlineAtMs = performance.now() + this.settings.totalTimeoutMs;
        while (true) {
            const calls = this.settings.controlAddresses.map(address => this.call(address, method, params));
            const callOutcome = await findFirstMatching(calls, candidate => candidate.kind === "answer");
            if (callOutcome?.kind === "answer") {
                return callOutcome.result;
            }
            if (performance.now() + retryDelayMs >= deadlineAtMs) {
                throw new OperatorError("control-unavailable", { reason: reasonOf(await calls[0]) });
            }
            await sleep(retryDelayMs);
        }
    }

    private async callUntilFinal(
        method: OperatorMethod,
        params: unknown,
        isFinal: (callOutcome: CallOutcome) => boolean,
    ): Promise<CallOutcome> {
        const deadlineAtMs = performance.now() + this.settings.totalTimeoutMs;
        while (true) {
            for (const address of this.settings.controlAddresses) {
                const callOutcome = await this.call(address, method, params);
                if (isFinal(callOutcome) || performance.now() + retryDelayMs >= deadlineAtMs) {
                    return callOutcome;
                }
            }
            await sleep(retryDelayMs);
        }
    }

    private async call(address: string, method: OperatorMethod, params: unknown): Promise<CallOutcome> {
        try {
            const response = await request(`http://${address}/v1/rpc`, {
                method: "POST",
                headers: { "authorization": `Bearer ${this.settings.token}`, "content-type": "application/json" },
                dispatcher: this.agent,
                body: JSON.stringify(createJSONRPCRequest(1, method, params as object)),
                headersTimeout: this.settings.callTimeoutMs,
                bodyTimeout: this.settings.callTimeoutMs,
            });
            return await readCallOutcome(address, response);
        }
        catch (error) {
            if (error instanceof OperatorError) {
                throw error;
            }
            const { code, message } = error as Error & { code?: string; };
            const kind = connectErrorCodes.includes(code ?? "") ? "not-handled" : "no-answer";
            // Some connection errors have a code but no message.
            return { kind, reason: `${address}: ${message || code}` };
        }
    }
}

async function readCallOutcome(address: string, response: Awaited<ReturnType<typeof request>>): Promise<CallOutcome> {
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

/** Resolves to the first result that matches, or undefined if none does. Rejects if a result rejects before a match. */
function findFirstMatching<Result>(
    results: readonly Promise<Result>[],
    isMatching: (result: Result) => boolean,
): Promise<Result | undefined> {
    return new Promise((resolve, reject) => {
        const checked = results.map(async result => {
            const value = await result;
            if (isMatching(value)) {
                resolve(value);
            }
        });
        Promise.all(checked).then(() => resolve(undefined), reject);
    });
}

function reasonOf(callOutcome: CallOutcome): string {
    return callOutcome.kind === "answer" ? "no control VM returned a final outcome" : callOutcome.reason;
}

function makeUnknownAnswer(reason: string): ApplyAnswer {
    const outcome: ApplyOutcome = "unknown";
    return { outcome, revision: 0, detail: reason, winner: undefined, entriesHolding: 0, entriesTotal: 0 };
}
