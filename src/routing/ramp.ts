import type { UpstreamRow } from "../membership/view.js";

const minRampShare = 0.1;

/**
 * Returns the effective slots of each upstream. The share of a new instance grows over `rampMs` (slow start), relative
 * to the highest share: a service with only new instances, or an entry that has just started, must not lose capacity.
 */
export function effectiveSlots(upstreams: readonly UpstreamRow[], rampMs: number, nowMs: number): readonly number[] {
    const shares = upstreams.map(upstream => rampShare(upstream, rampMs, nowMs));
    const highestShare = shares.reduce((highest, share) => Math.max(highest, share), minRampShare);
    return upstreams.map((upstream, index) => upstream.announcement.slots * shares[index] / highestShare);
}

function rampShare(upstream: UpstreamRow, rampMs: number, nowMs: number): number {
    if (rampMs <= 0 || upstream.readySinceMs === undefined) {
        return 1;
    }
    return Math.min(1, Math.max(minRampShare, (nowMs - upstream.readySinceMs) / rampMs));
}
