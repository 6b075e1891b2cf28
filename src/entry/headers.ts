import type { LoadReport, ResponseHead } from "../requests/model.js";

/** Header fields that figwharf defines, in lower case. */
export const FigwharfHeader = {
    verdict: "figwharf-verdict",
    deadlineMs: "figwharf-deadline-ms",
    load: "figwharf-load",
    requestId: "figwharf-request-id",
} as const;

/** A header field; the name keeps its case. */
export type HeaderField = readonly [name: string, value: string];

const hopByHopNames = new Set([
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "transfer-encoding",
    "upgrade",
    "expect",
]);

const loadStates = new Set(["starting", "ready", "draining"]);

/** Converts a flat list of names and values into header fields. */
export function toHeaderFields(raw: readonly (string | Buffer)[]): HeaderField[] {
    const fields: HeaderField[] = [];
    for (let index = 0; index + 1 < raw.length; index += 2) {
        fields.push([toText(raw[index]), toText(raw[index + 1])]);
    }
    return fields;
}

/** Returns the end-to-end fields: without hop-by-hop fields and those listed in `Connection`. */
export function selectEndToEndFields(fields: readonly HeaderField[]): HeaderField[] {
    const connectionOptions = new Set<string>();
    for (const [name, value] of fields) {
        if (name.toLowerCase() === "connection") {
            value.split(",").forEach(token => connectionOptions.add(token.trim().toLowerCase()));
        }
    }
    return fields.filter(([name]) => {
        const lowerName = name.toLowerCase();
        return !hopByHopNames.has(lowerName) && !connectionOptions.has(lowerName);
    });
}

/** Returns the value of the first header field with this name, ignoring case. */
export function findHeader(fields: readonly HeaderField[], lowerName: string): string | undefined {
    return fields.find(([name]) => name.toLowerCase() === lowerName)?.[1];
}

/** Parses `Figwharf-Load`; undefined when it is missing or malformed. */
export function parseLoadReport(head: ResponseHead): LoadReport | undefined {
    const value = findHeader(head.headers, FigwharfHeader.load);
    if (value === undefined) {
        return undefined;
    }
    const pairs = new Map(
        value.split(",").map(pair => {
            const [name, text] = pair.split("=");
            return [name.trim(), (text ?? "").trim()] as const;
        }),
    );
    const inFlight = parseNonNegativeInteger(pairs.get("in-flight"));
    const incarnation = parseNonNegativeInteger(pairs.get("incarnation"));
    const state = pairs.get("state");
    if (inFlight === undefined || incarnation === undefined || state === undefined || !loadStates.has(state)) {
        return undefined;
    }
    return { inFlight, incarnation, state: state as LoadReport["state"] };
}

/** Parses a non-negative integer; undefined when the text is anything else. */
export function parseNonNegativeInteger(text: string | undefined): number | undefined {
    return text !== undefined && /^\d{1,15}$/.test(text) ? Number(text) : undefined;
}

function toText(value: string | Buffer): string {
    return typeof value === "string" ? value : value.toString("latin1");
}
