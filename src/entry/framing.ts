import type { IncomingMessage } from "node:http";

/**
 * Describes an ambiguity in the head of a request; undefined if there is none. Node's parser rejects most forms itself,
 * but accepts several Host fields, several transfer codings and spaces after field names, which another server may
 * interpret differently.
 */
export function findAmbiguity(incoming: IncomingMessage): string | undefined {
    const { rawHeaders } = incoming;
    let hostCount = 0;
    let codingCount = 0;
    for (let index = 0; index < rawHeaders.length; index += 2) {
        const name = rawHeaders[index].toLowerCase();
        // Node's parser keeps such a space as a part of the name (RFC 9112, 5.1, requires 400).
        if (name.endsWith(" ") || name.endsWith("\t")) {
            return "The name of a header field ends with a space.";
        }
        if (name === "host") {
            hostCount++;
        }
        else if (name === "transfer-encoding") {
            codingCount++;
            if (rawHeaders[index + 1].trim().toLowerCase() !== "chunked") {
                return "The transfer coding is not chunked.";
            }
        }
    }
    const isHttp10 = incoming.httpVersion === "1.0";
    if (hostCount > 1 || hostCount === 0 && !isHttp10) {
        return "The request has no Host field or several.";
    }
    if (codingCount > 1 || codingCount === 1 && isHttp10) {
        return "The request has several transfer codings, or one in HTTP/1.0.";
    }
    return incoming.url?.startsWith("/") ? undefined : "The request target is not a path.";
}
