import { Verdict } from "../core/verdict.js";
import type { GeneratedAnswer } from "../requests/model.js";

/** Returns an answer to a request that was refused before anything was done for it. */
export function refuse(status: number, reason: string, detail: string, retryAfterMs?: number): GeneratedAnswer {
    return { status, verdict: Verdict.notRun, reason, detail, ...(retryAfterMs === undefined ? {} : { retryAfterMs }) };
}
