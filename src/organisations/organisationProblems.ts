import type { Organisation } from "../directory/model.js";

/** A problem of a list of organisations. Its text never contains a key. */
export interface OrganisationProblem {
    /** Position in the list. */
    readonly position: number;
    /** Field of the organisation that has the problem. */
    readonly field: "name" | "keys" | "priority" | "ratePerSecond" | "burst";
    readonly text: string;
}

const numberFields = ["priority", "ratePerSecond", "burst"] as const;

/** Text that a header value can carry, since instances receive the name in one. */
const namePattern = /^(?! )[^\p{Cc}]+(?<! )$/u;

/** Returns the first problem of a list of organisations, or undefined if it is valid. */
export function findOrganisationProblem(organisations: readonly Organisation[]): OrganisationProblem | undefined {
    const names = new Set<string>();
    const holders = new Map<string, string>();
    for (const [position, organisation] of organisations.entries()) {
        const { name, keys } = organisation;
        if (!namePattern.test(name)) {
            return { position, field: "name", text: "the name is empty, or has outer spaces or control characters" };
        }
        if (names.has(name)) {
            return { position, field: "name", text: `two organisations have the name ${name}` };
        }
        names.add(name);
        for (const key of keys) {
            const holder = holders.get(key);
            if (key.trim() === "") {
                return { position, field: "keys", text: "a key is empty" };
            }
            if (holder !== undefined) {
                const text = holder === name
                    ? "a key occurs twice"
                    : `a key is also held by the organisation ${holder}`;
                return { position, field: "keys", text };
            }
            holders.set(key, name);
        }
        const field = numberFields.find(fieldName => (organisation[fieldName] ?? 0) < 0);
        if (field !== undefined) {
            return { position, field, text: "the number is negative" };
        }
    }
    return undefined;
}
