import http from "node:http";
import type { GeneratedAnswer } from "../requests/model.js";

/** Problem details (RFC 9457) of a generated answer. */
export interface ProblemBody {
    readonly type: string;
    readonly title: string;
    readonly status: number;
    readonly detail: string;
    readonly verdict: string;
    /** Set when this submission of a keyed request did not run, but another submission may have. */
    readonly submissionVerdict?: string;
    readonly requestId: string;
}

/** Response headers and body of a generated answer. */
export interface ProblemResponse {
    readonly headers: Record<string, string>;
    readonly body: string;
}

/** Returns the value of `Retry-After` in whole seconds (RFC 9110). */
export function formatRetryAfter(retryAfterMs: number): string {
    return String(Math.max(1, Math.ceil(retryAfterMs / 1000)));
}

/** Formats an answer as problem+json. */
export function formatProblem(answer: GeneratedAnswer, requestId: string): ProblemResponse {
    const body: ProblemBody = {
        type: `urn:figwharf:problem:${answer.reason}`,
        title: http.STATUS_CODES[answer.status] ?? "Error",
        status: answer.status,
        detail: answer.detail,
        verdict: answer.verdict,
        submissionVerdict: answer.submissionVerdict,
        requestId,
    };
    const text = JSON.stringify(body);
    const headers: Record<string, string> = {
        "Content-Type": "application/problem+json",
        "Content-Length": String(Buffer.byteLength(text)),
        "Figwharf-Verdict": answer.verdict,
        "Figwharf-Request-Id": requestId,
    };
    if (answer.submissionVerdict !== undefined) {
        headers["Figwharf-Submission-Verdict"] = answer.submissionVerdict;
    }
    if (answer.retryAfterMs !== undefined) {
        headers["Retry-After"] = formatRetryAfter(answer.retryAfterMs);
    }
    return { headers, body: text };
}
