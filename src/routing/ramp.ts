import type { UpstreamRow } from "../membership/view.js";

const minRampShare = 0.1;

/**
 * Returns the slots that each upstream may use now. New instances get a share that grows over `rampMs`, relative to the
 * warmest one: a service whose instances are all new, or an entry that has just started, must not lose its capacity.
 */
export function effectiveSlots(upstreams: readonly UpstreamRow[], rampMs: number, nowMs: number): readonly number[] {
    const shares = upstreams.map(upstream => rampShare(upstream, rampMs, nowMs));
    const warmest = shares.reduce((highest, share) => Math.max(highest, share), minRampShare);
    return upstreams.map((upstream, index) => upstream.announcement.slots * shares[index] / warmest);
}

function rampShare(upstream: UpstreamRow, rampMs: number, nowMs: number): number {
    if (rampMs <= 0 || upstream.readySinceMs === undefined) {
        return 1;
    }
    return Math.min(1, Math.max(minRampShare, (nowMs - upstream.readySinceMs) / rampMs));
}
