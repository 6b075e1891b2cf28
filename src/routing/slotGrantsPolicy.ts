import { LeastOutstandingPolicy } from "./localPolicies.js";

/** The service's owner entry grants slots; with its table, least outstanding is exact. */
export class SlotGrantsPolicy extends LeastOutstandingPolicy {
    override readonly usesOwner = true;
}
