import { createHash } from "node:crypto";
import type { Catalogue } from "../catalogue/model.js";
import { type ApplyAnswer, ApplyOutcome, type ChangeOperation } from "../control/operatorApi.js";
import type { ControlClient } from "./controlClient.js";
import { ExitCode, exitCodeOf } from "./exitCode.js";
import { formatOrigin, type Report } from "./report.js";

const changeIdHexDigits = 32;

/** A change requested by an operator. */
export interface ChangeRequest {
    readonly operation: ChangeOperation;
    readonly operator: string;
    /** Revision that the change is made against; undefined for the current one. */
    readonly baseRevision: number | undefined;
    /** Change id that the operator chose; undefined to derive it. */
    readonly changeId: string | undefined;
    /** Command line without the base revision and change id, which are appended to form the retry command. */
    readonly command: string;
    /** Whether a catalogue already has the requested state. */
    readonly isSatisfiedBy?: (catalogue: Catalogue) => boolean;
}

/** Returns the change id of an operation: the same operator, operation and base revision give the same id. */
export function deriveChangeId(operator: string, baseRevision: number, operation: ChangeOperation): string {
    const content = JSON.stringify([operator, baseRevision, operation]);
    return createHash("sha256").update(content).digest("hex").slice(0, changeIdHexDigits);
}

/**
 * Applies a change and reports its outcome. Without a base revision, the change is made against the current revision,
 * and nothing is sent if the catalogue already has the requested state.
 */
export async function applyChange(client: ControlClient, request: ChangeRequest): Promise<Report> {
    let { baseRevision } = request;
    if (baseRevision === undefined) {
        const { catalogue } = await client.show();
        if (request.changeId === undefined && request.isSatisfiedBy?.(catalogue)) {
            return reportUnchanged(catalogue.revision);
        }
        baseRevision = catalogue.revision;
    }
    const { operation, operator } = request;
    const changeId = request.changeId ?? deriveChangeId(operator, baseRevision, operation);
    const answer = await client.apply({ changeId, baseRevision, operation });
    const retryCommand = `${request.command} --base-revision ${baseRevision} --change-id ${changeId}`;
    return reportAnswer(answer, changeId, baseRevision, retryCommand);
}

function reportUnchanged(revision: number): Report {
    const detail = `nothing to change: revision ${revision} already has it`;
    return { lines: [detail], json: { outcome: "unchanged", revision, detail }, exitCode: ExitCode.done };
}

function reportAnswer(answer: ApplyAnswer, changeId: string, baseRevision: number, retryCommand: string): Report {
    const isUndecided = answer.outcome === ApplyOutcome.pending || answer.outcome === ApplyOutcome.unknown;
    return {
        lines: describeAnswer(answer, changeId, baseRevision, retryCommand),
        json: { changeId, baseRevision, ...answer, resend: isUndecided ? retryCommand : undefined },
        exitCode: exitCodeOf(answer.outcome),
    };
}

function describeAnswer(answer: ApplyAnswer, changeId: string, baseRevision: number, retryCommand: string): string[] {
    const holdingEntries = `${answer.entriesHolding} of ${answer.entriesTotal} entries hold it`;
    const retryLines = ["To get the final outcome, send the same change again:", `  ${retryCommand}`];
    switch (answer.outcome) {
        case ApplyOutcome.accepted:
            return [`change ${changeId} is accepted as revision ${answer.revision}; ${holdingEntries}`];
        case ApplyOutcome.pending:
            return [
                `PENDING: change ${changeId} is durable as revision ${answer.revision}, but not yet confirmed to be ` +
                `in effect everywhere; ${holdingEntries}`,
                ...retryLines,
            ];
        case ApplyOutcome.unknown:
            return [`UNKNOWN: whether change ${changeId} was made is not known (${answer.detail})`, ...retryLines];
        case ApplyOutcome.rejected:
            return [`REJECTED: change ${changeId} was not made: ${answer.detail}`];
        case ApplyOutcome.conflict:
            return describeConflict(answer, changeId, baseRevision);
    }
}

function describeConflict(answer: ApplyAnswer, changeId: string, baseRevision: number): string[] {
    const winner = answer.winner === undefined ?
        answer.detail :
        `revision ${answer.winner.revision} was made by ${formatOrigin(answer.winner)}`;
    return [
        `CONFLICT: change ${changeId} was not made, because revision ${baseRevision} is no longer current`,
        winner,
        `Check the change against revision ${answer.revision} and make it again.`,
    ];
}
