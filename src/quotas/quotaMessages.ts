/** Requests of an organisation that were demanded and admitted since the sender's last report. */
export type QuotaUse = readonly [organisation: string, demanded: number, admitted: number];

/**
 * Quotas for one entry, as its control VM knows them: the version increases with each change of a row, the rows may be
 * used for `validMs` from the call, and those that changed since the version that the entry holds are sent. A tuple, as
 * the names of the fields would be most of the message.
 */
export type EntryQuotas = readonly [version: number, validMs: number, rows: readonly EntryQuotaRow[]];

/**
 * Share of an organisation's requests that entries admit, in thousandths, and the requests that callers send to all
 * entries together, in tenths a second.
 */
export type EntryQuotaRow = readonly [organisation: string, admittedShare: number, demand: number];

/** Report of a control VM to the leader. */
export interface QuotaReport {
    /** Requests at the attached entries that no leader has acknowledged. */
    readonly uses: readonly QuotaUse[];
    /** Bucket levels that the sender knows, in hundredths; only for a leader that asked for them. */
    readonly levels?: readonly QuotaLevel[];
}

/** Level of an organisation's bucket, as reported to a new leader, in hundredths of a request. */
export type QuotaLevel = readonly [organisation: string, level: number];

/** Part of the buckets that a control VM may spend. */
export interface MemberQuotas {
    /** Time for which the shares may be used, in milliseconds from the report. */
    readonly validMs: number;
    /** Whether the leader needs the levels that the receiver knows. */
    readonly wantsLevels: boolean;
    /** Part of the rates that is divided, in thousandths; the rest is kept for entries that may be without contact. */
    readonly usableShare: number;
    readonly rows: readonly MemberQuotaRow[];
}

/**
 * Share of the receiver in thousandths; level of the whole bucket in hundredths of a request; demand in tenths a second.
 */
export type MemberQuotaRow = readonly [organisation: string, share: number, level: number, demand: number];
