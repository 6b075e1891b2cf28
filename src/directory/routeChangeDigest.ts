import { createHash } from "node:crypto";
import type { RouteChange } from "./directoryState.js";

/** Returns a digest of a change's content and base version, without its time, so that a resend has the same digest. */
export function digestRouteChange({ sentDigest, baseVersion, table, update }: RouteChange): string {
    return sentDigest ??
        createHash("sha256").update(JSON.stringify([baseVersion, table ?? null, update ?? null])).digest("base64");
}
