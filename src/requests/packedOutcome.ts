import { Packr } from "msgpackr";
import type { ClaimOutcome } from "./claimMessages.js";

const packr = new Packr({ useRecords: false, copyBuffers: true });

/** A claim's outcome as it is kept for resends. */
export type PackedOutcome = Buffer;

/**
 * Packs an outcome into one buffer of its own. Its objects would take several times as much memory, and a body that was
 * decoded from a frame would keep the memory of the whole frame.
 */
export function packOutcome(outcome: ClaimOutcome): PackedOutcome {
    return Buffer.from(packr.pack(outcome));
}

/** Returns the outcome that was packed. */
export function unpackOutcome(packed: PackedOutcome): ClaimOutcome {
    return packr.unpack(packed) as ClaimOutcome;
}
