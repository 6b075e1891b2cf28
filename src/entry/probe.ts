import type { Pool } from "undici";
import type { LoadReport } from "../requests/model.js";
import { parseLoadReport } from "./headers.js";

const probeTimeoutMs = 1000;

/** Requests the load report of an upstream. Returns undefined on failure, on timeout and without a valid report. */
export async function probeUpstream(pool: Pool): Promise<LoadReport | undefined> {
    try {
        const signal = AbortSignal.timeout(probeTimeoutMs);
        const response = await pool.request({ method: "GET", path: "/figwharf/load", signal });
        await response.body.dump();
        const headers = Object.entries(response.headers).map(([name, value]) => [name, String(value)] as const);
        return parseLoadReport({ status: response.statusCode, headers });
    }
    catch {
        return undefined;
    }
}
