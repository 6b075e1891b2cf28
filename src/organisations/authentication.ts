import type { Organisation, Route } from "../directory/model.js";
import type { OrganisationIndex } from "./organisationIndex.js";

/** Why a request was refused before placement. */
export interface AdmissionRefusal {
    readonly kind: "refused";
    readonly status: number;
    /** Short name for metrics and log lines. */
    readonly reason: string;
    readonly detail: string;
    /** Whether the refusal depends on a configuration that is not confirmed, so that the caller should retry later. */
    readonly isUnconfirmed: boolean;
}

/** Result of the authentication of a request. */
export type Authentication =
    /** `organisation` is undefined where no key is required. */
    | { readonly kind: "accepted"; readonly organisation: Organisation | undefined; }
    | AdmissionRefusal;

/** Inputs of `authenticate`. */
export interface AuthenticationInputs {
    readonly index: OrganisationIndex;
    readonly route: Route;
    /** Keys in the order of their header fields. */
    readonly receivedKeys: readonly string[];
    /** Whether the entry's copy of the configuration is confirmed. */
    readonly isConfirmed: boolean;
}

/**
 * Decides which organisation sent a request. Without a confirmed configuration no key is rejected for good, since the
 * current configuration may accept it.
 */
export function authenticate({ index, route, receivedKeys, isConfirmed }: AuthenticationInputs): Authentication {
    if (!index.isKeyRequired || route.isPublic === true) {
        return { kind: "accepted", organisation: undefined };
    }
    const organisation = receivedKeys.length === 1 ? index.find(receivedKeys[0]) : undefined;
    if (organisation !== undefined) {
        return { kind: "accepted", organisation };
    }
    if (!isConfirmed) {
        const detail = "The entry cannot confirm its configuration.";
        return { kind: "refused", status: 503, reason: "key-unconfirmed", detail, isUnconfirmed: true };
    }
    const rejection = { kind: "refused", isUnconfirmed: false } as const;
    switch (receivedKeys.length) {
        case 0:
            return { ...rejection, status: 401, reason: "no-key", detail: "The request carries no key." };
        case 1:
            return { ...rejection, status: 401, reason: "unknown-key", detail: "The key is not known." };
        default:
            return { ...rejection, status: 400, reason: "several-keys", detail: "The request carries several keys." };
    }
}
