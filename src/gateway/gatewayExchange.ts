import type { UpstreamId } from "../core/ids.js";
import { Exchange } from "../entry/exchange.js";
import { selectEndToEndFields, toHeaderFields } from "../entry/headers.js";
import type { Dialect } from "./dialect.js";

const framingHeaders = new Set(["content-length"]);

/** Exchange with a caller whose headers follow a dialect. */
export class GatewayExchange extends Exchange {
    dialect!: Dialect;
    /** Origin of the response, for metrics. */
    source: "upstream" | "entry" = "entry";
    /** Whether organisations are configured; instances then get the name of one only from the entry. */
    hasOrganisations = false;
    /** Organisation of the request's key; undefined if no key is required. */
    organisation: string | undefined;

    /** Sends `100 Continue` when the caller expects it (RFC 9110, 10.1.1). */
    sendContinueIfExpected(): void {
        const isContinueExpected = /(?:^|\W)100-continue(?:$|\W)/i.test(this.incoming.headers.expect ?? "");
        if (isContinueExpected && !this.isOver && !this.outgoing.headersSent) {
            this.outgoing.writeContinue();
        }
    }

    /** Returns the headers of a request to an upstream as a flat list of names and values. */
    buildAttemptHeaders(upstreamId: UpstreamId, remainingMs: number): string[] {
        const { replacedHeaders, organisationHeaders } = this.dialect;
        const isForwarded = (lowerName: string) =>
            !replacedHeaders.has(lowerName) && !framingHeaders.has(lowerName) &&
            !(this.hasOrganisations && organisationHeaders.has(lowerName));
        const headers = selectEndToEndFields(toHeaderFields(this.incoming.rawHeaders))
            .filter(([name]) => isForwarded(name.toLowerCase()))
            .flat() as string[];
        headers.push(...this.dialect.listAttemptHeaders(upstreamId, remainingMs));
        if (this.organisation !== undefined) {
            headers.push(...this.dialect.listOrganisationHeaders(this.organisation));
        }
        if (this.body.buffer === undefined && this.body.lengthBytes !== undefined && this.body.content !== null) {
            headers.push("Content-Length", String(this.body.lengthBytes));
        }
        return headers;
    }

    /** Callers of a gateway accept fractions of a second in `Retry-After`. */
    protected override formatRetryAfter(retryAfterMs: number): string {
        return (Math.max(1, retryAfterMs) / 1000).toFixed(3);
    }
}
