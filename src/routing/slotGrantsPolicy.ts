import { LeastOutstandingPolicy } from "./localPolicies.js";

/** Uses slots granted by the service's owner entry, which knows the outstanding attempts of all entries. */
export class SlotGrantsPolicy extends LeastOutstandingPolicy {
    override readonly usesOwner = true;
}
