import http from "node:http";
import type { GeneratedAnswer } from "../requests/model.js";

/** Body of an answer that figwharf makes itself (RFC 9457). */
export interface ProblemBody {
    readonly type: string;
    readonly title: string;
    readonly status: number;
    readonly detail: string;
    readonly verdict: string;
    /** Set for a submission of a keyed request that did not run although another one may have. */
    readonly submissionVerdict?: string;
    readonly requestId: string;
}

/** Response headers and body of an answer that figwharf makes itself. */
export interface ProblemResponse {
    readonly headers: Record<string, string>;
    readonly body: string;
}

/** Returns the value of `Retry-After` in whole seconds, as RFC 9110 has it. */
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
