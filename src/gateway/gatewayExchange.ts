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
    /** Whether another entry relayed the request, which then has counted it and charged the quota of its caller. */
    isRelayed = false;
    /** Attempts that the entry which relayed the request leaves to this one; undefined without a limit of its own. */
    relayedAttempts: number | undefined;
    /** Whether this entry may relay the request; false for one that was relayed or claims to be. */
    isRelayAllowed = true;

    /** Sends `100 Continue` when the caller expects it (RFC 9110, 10.1.1). */
    sendContinueIfExpected(): void {
        const isContinueExpected = /(?:^|\W)100-continue(?:$|\W)/i.test(this.incoming.headers.expect ?? "");
        if (isContinueExpected && !this.isOver && !this.outgoing.headersSent) {
            this.outgoing.writeContinue();
        }
    }

    /** Returns the headers of a request to an upstream as a flat list of names and values. */
    buildAttemptHeaders(upstreamId: UpstreamId, remainingMs: number): string[] {
        const headers = this.buildHeaders(
            this.hasOrganisations
                ? new Set([...this.dialect.replacedHeaders, ...this.dialect.organisationHeaders])
                : this.dialect.replacedHeaders,
            this.dialect.listAttemptHeaders(upstreamId, remainingMs),
        );
        if (this.organisation !== undefined) {
            headers.push(...this.dialect.listOrganisationHeaders(this.organisation));
        }
        return headers;
    }

    /** Returns the headers of a request to another entry: the caller's headers as they came, with the relay's own. */
    buildRelayHeaders(remainingMs: number, attemptsLeft: number, token: string): string[] {
        const added = this.dialect.listRelayHeaders(remainingMs, attemptsLeft, token);
        const addedNames = added.filter((_text, index) => index % 2 === 0).map(name => name.toLowerCase());
        return this.buildHeaders(new Set(addedNames), added);
    }

    private buildHeaders(replacedNames: ReadonlySet<string>, added: readonly string[]): string[] {
        const headers = selectEndToEndFields(toHeaderFields(this.incoming.rawHeaders))
            .filter(([name]) => !replacedNames.has(name.toLowerCase()) && !framingHeaders.has(name.toLowerCase()))
            .flat() as string[];
        headers.push(...added);
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
