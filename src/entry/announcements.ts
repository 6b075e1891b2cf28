import { z } from "zod";
import { maxLeaseMs } from "../membership/upstreamTable.js";
import type { Announcement } from "../membership/view.js";

/** Interval at which an upstream renews its announcement. */
export const renewIntervalMs = 800;
/** Maximum body size of `POST /v1/upstreams`. */
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
    /** Time from that response to this announcement, measured by the upstream. */
    echoHeldMs: z.number().nonnegative().optional(),
});

/** Response of `POST /v1/upstreams`. */
export interface AnnouncementAnswer {
    readonly renewInMs: number;
    /** Entry addresses to which the upstream sends each renewal. */
    readonly renewAt: readonly string[];
    /** Returned by the upstream in its next announcement to this entry, to bound that announcement's age. */
    readonly echo: string;
}

/** An announcement with the upper bound of its age. */
export interface ParsedAnnouncement {
    readonly announcement: Announcement;
    /** Undefined when the upstream returned no echo of this process. */
    readonly ageMs: number | undefined;
}

/** Returns the echo of a response that is sent at `nowMs`. */
export function formatEcho(incarnation: number, nowMs: number): string {
    return `${incarnation}:${nowMs.toFixed(1)}`;
}

/** Parses the body of `POST /v1/upstreams`. Returns a description of the problem if it is invalid. */
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
    return { announcement, ageMs: computeMaxAgeMs(echo, echoHeldMs ?? 0, incarnation, nowMs) };
}

function computeMaxAgeMs(
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
