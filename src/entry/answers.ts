import { Verdict } from "../core/verdict.js";
import type { GeneratedAnswer } from "../requests/model.js";

/** Returns the answer to a request that is refused before it is sent to an upstream. */
export function refuse(status: number, reason: string, detail: string, retryAfterMs?: number): GeneratedAnswer {
    return { status, verdict: Verdict.notRun, reason, detail, ...(retryAfterMs === undefined ? {} : { retryAfterMs }) };
}
