import { z } from "zod";
import { maxLeaseMs } from "../membership/upstreamTable.js";
import type { Announcement } from "../membership/view.js";

/** Time after which an upstream renews its announcement. */
export const renewIntervalMs = 800;
/** Largest body of `POST /v1/upstreams`. */
export const maxAnnouncementBytes = 4096;

const maxNameLength = 200;
const maxSlots = 100_000;

const announcementSchema = z.object({
    id: z.string().min(1).max(maxNameLength),
    service: z.string().min(1).max(maxNameLength),
    address: z.string().regex(/^(\[[0-9a-fA-F:]+\]|[0-9A-Za-z.-]+):\d{1,5}$/),
    availabilityZone: z.string().min(1).max(maxNameLength),
    slots: z.number().int().min(1).max(maxSlots),
    state: z.enum(["starting", "ready", "draining"]),
    incarnation: z.number().int().nonnegative(),
    sequence: z.number().int().nonnegative(),
    leaseMs: z.number().int().min(1).max(maxLeaseMs),
    /** `echo` of this entry's last response to the upstream. */
    echo: z.string().max(maxNameLength).optional(),
    /** Time between that response and this announcement, at the upstream. */
    echoHeldMs: z.number().nonnegative().optional(),
});

/** Response of `POST /v1/upstreams`. */
export interface AnnouncementAnswer {
    readonly renewInMs: number;
    /** Addresses of entries at which to renew; all of them each time. */
    readonly renewAt: readonly string[];
    /** Returned by the upstream in its next announcement here, which bounds the age of that announcement. */
    readonly echo: string;
}

/** An announcement with the bound of its age. */
export interface ParsedAnnouncement {
    readonly announcement: Announcement;
    /** Undefined when the upstream returned no echo of this process. */
    readonly ageMs: number | undefined;
}

/** Returns the echo of a response that is sent now. */
export function formatEcho(incarnation: number, nowMs: number): string {
    return `${incarnation}:${nowMs.toFixed(1)}`;
}

/** Parses the body of `POST /v1/upstreams`. Returns a description of the problem when it is invalid. */
export function parseAnnouncement(text: string, incarnation: number, nowMs: number): ParsedAnnouncement | string {
    let value: unknown;
    try {
        value = JSON.parse(text);
    }
    catch {
        return "The body is not JSON.";
    }
    const result = announcementSchema.safeParse(value);
    if (!result.success) {
        const [issue] = result.error.issues;
        return `${issue.path.join(".")}: ${issue.message}`;
    }
    const { echo, echoHeldMs, ...announcement } = result.data;
    return { announcement, ageMs: ageFromEcho(echo, echoHeldMs ?? 0, incarnation, nowMs) };
}

function ageFromEcho(
    echo: string | undefined,
    heldMs: number,
    incarnation: number,
    nowMs: number,
): number | undefined {
    const [echoIncarnation, echoAtMs] = (echo ?? "").split(":").map(Number);
    if (echo === undefined || echoIncarnation !== incarnation || !Number.isFinite(echoAtMs)) {
        return undefined;
    }
    return Math.max(0, nowMs - echoAtMs - heldMs);
}
