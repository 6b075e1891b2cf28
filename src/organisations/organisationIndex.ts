import type { Organisation } from "../directory/model.js";
import { digestKey, digestReceivedKey } from "./keyDigest.js";

/** Finds organisations by their keys. */
export class OrganisationIndex {
    /**
     * Organisations by key digest. The time of a lookup depends on the digest of the presented key, from which nothing
     * about other keys can be derived.
     */
    private readonly organisationsByDigest = new Map<string, Organisation>();

    constructor(readonly organisations: readonly Organisation[] = []) {
        for (const organisation of organisations) {
            // Control VMs of an earlier version send the keys themselves.
            const digests = organisation.keyDigests ?? organisation.keys.map(digestKey);
            digests.forEach(digest => this.organisationsByDigest.set(digest, organisation));
        }
    }

    /** Whether requests need a key. */
    get isKeyRequired(): boolean {
        return this.organisations.length > 0;
    }

    /** Returns the organisation that holds a key, given as it arrived in a header. */
    find(receivedKey: string): Organisation | undefined {
        return this.organisationsByDigest.get(digestReceivedKey(receivedKey));
    }
}
