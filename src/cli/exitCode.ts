import { ApplyOutcome } from "../control/operatorApi.js";

/** Exit codes of all commands. */
export const ExitCode = {
    /** The command succeeded; a change is accepted. */
    done: 0,
    /** An unexpected error. */
    failed: 1,
    /** Arguments, settings or declarations are invalid; nothing was started or sent. */
    invalid: 2,
    /** Another change was made first; nothing was changed. */
    conflict: 3,
    /** Control refused the change as invalid; nothing was changed. */
    rejected: 4,
    /** The change is durable, but not yet known to be held by a majority of the entries of each region. */
    pending: 5,
    /** It is not known whether the change was made; resending the same command determines its outcome. */
    unknown: 6,
    /** No control VM could answer; nothing was changed. */
    unavailable: 7,
    /** The token was refused; nothing was changed. */
    unauthorized: 8,
} as const;

export type ExitCode = typeof ExitCode[keyof typeof ExitCode];

/** Returns the exit code for the outcome of a change. */
export function exitCodeOf(outcome: ApplyOutcome): ExitCode {
    const codes: Record<ApplyOutcome, ExitCode> = {
        [ApplyOutcome.accepted]: ExitCode.done,
        [ApplyOutcome.conflict]: ExitCode.conflict,
        [ApplyOutcome.rejected]: ExitCode.rejected,
        [ApplyOutcome.pending]: ExitCode.pending,
        [ApplyOutcome.unknown]: ExitCode.unknown,
    };
    return codes[outcome];
}
