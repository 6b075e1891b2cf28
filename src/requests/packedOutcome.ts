import { Packr } from "msgpackr";
import type { ClaimOutcome } from "./claimMessages.js";

const packr = new Packr({ useRecords: false, copyBuffers: true });

/** Outcome of a claim, serialised with MessagePack. */
export type PackedOutcome = Buffer;

/**
 * Packs an outcome into a buffer of its own. As objects it would take several times the memory, and a body that was
 * decoded from a frame would keep the buffer of the whole frame alive.
 */
export function packOutcome(outcome: ClaimOutcome): PackedOutcome {
    return Buffer.from(packr.pack(outcome));
}

/** Unpacks an outcome that `packOutcome` returned. */
export function unpackOutcome(packed: PackedOutcome): ClaimOutcome {
    return packr.unpack(packed) as ClaimOutcome;
}
