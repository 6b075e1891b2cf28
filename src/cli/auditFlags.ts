import { Flags } from "@oclif/core";
import type { AuditFilter } from "../control/operatorApi.js";

/** Flags that filter records of the audit trail. */
export const auditFilterFlags = {
    "operator": Flags.string({ helpValue: "NAME", description: "only changes by this operator" }),
    "change-id": Flags.string({ helpValue: "ID", description: "only this change" }),
    "since-revision": Flags.integer({ helpValue: "N", description: "only from this revision on", min: 0 }),
    "until-revision": Flags.integer({ helpValue: "N", description: "only up to this revision", min: 0 }),
    "limit": Flags.integer({ helpValue: "N", description: "only the newest N records", min: 1 }),
};

interface AuditFlagValues {
    readonly "operator"?: string;
    readonly "change-id"?: string;
    readonly "since-revision"?: number;
    readonly "until-revision"?: number;
    readonly "limit"?: number;
}

/** Converts the values of the flags to an audit filter. */
export function toAuditFilter(flags: AuditFlagValues): AuditFilter {
    return {
        operator: flags.operator,
        changeId: flags["change-id"],
        sinceRevision: flags["since-revision"],
        untilRevision: flags["until-revision"],
        limit: flags.limit,
    };
}
