import { createHash } from "node:crypto";
import type { Catalogue } from "../catalogue/model.js";
import { type ApplyAnswer, ApplyOutcome, type ChangeOperation } from "../control/operatorApi.js";
import type { ControlClient } from "./controlClient.js";
import { ExitCode, exitCodeOf } from "./exitCode.js";
import { formatOrigin, type Report } from "./report.js";

const changeIdLength = 32;

/** A change that an operator asks for. */
export interface ChangeRequest {
    readonly operation: ChangeOperation;
    readonly operator: string;
    /** Revision that the change is made against; undefined for the current one. */
    readonly baseRevision: number | undefined;
    /** Change id that the operator chose; undefined to derive it. */
    readonly changeId: string | undefined;
    /** Command line without the change id and base revision; with them it is the command to send again. */
    readonly command: string;
    /** Tells whether a catalogue already has what the change asks for. */
    readonly isInForce?: (catalogue: Catalogue) => boolean;
}

/** Returns the change id of an operation: the same operator, operation and base revision give the same id. */
export function deriveChangeId(operator: string, baseRevision: number, operation: ChangeOperation): string {
    const content = JSON.stringify([operator, baseRevision, operation]);
    return createHash("sha256").update(content).digest("hex").slice(0, changeIdLength);
}

/**
 * Makes a change and reports how it ended. Without a base revision, the change is made against the current revision,
 * and nothing is sent when the catalogue already has what it asks for.
 */
export async function makeChange(client: ControlClient, request: ChangeRequest): Promise<Report> {
    let { baseRevision } = request;
    if (baseRevision === undefined) {
        const { catalogue } = await client.show();
        if (request.changeId === undefined && request.isInForce?.(catalogue)) {
            return reportUnchanged(catalogue.revision);
        }
        baseRevision = catalogue.revision;
    }
    const { operation, operator } = request;
    const changeId = request.changeId ?? deriveChangeId(operator, baseRevision, operation);
    const answer = await client.apply({ changeId, baseRevision, operation });
    const resend = `${request.command} --base-revision ${baseRevision} --change-id ${changeId}`;
    return reportAnswer(answer, changeId, baseRevision, resend);
}

function reportUnchanged(revision: number): Report {
    const detail = `nothing to change: revision ${revision} already has it`;
    return { lines: [detail], json: { outcome: "unchanged", revision, detail }, exitCode: ExitCode.done };
}

function reportAnswer(answer: ApplyAnswer, changeId: string, baseRevision: number, resend: string): Report {
    const isOpen = answer.outcome === ApplyOutcome.pending || answer.outcome === ApplyOutcome.unknown;
    return {
        lines: describeAnswer(answer, changeId, baseRevision, resend),
        json: { changeId, baseRevision, ...answer, resend: isOpen ? resend : undefined },
        exitCode: exitCodeOf(answer.outcome),
    };
}

function describeAnswer(answer: ApplyAnswer, changeId: string, baseRevision: number, resend: string): string[] {
    const held = `${answer.entriesHolding} of ${answer.entriesTotal} entries hold it`;
    const resendLines = ["To find out how it ends, send the same change again:", `  ${resend}`];
    switch (answer.outcome) {
        case ApplyOutcome.accepted:
            return [`change ${changeId} is accepted as revision ${answer.revision}; ${held}`];
        case ApplyOutcome.pending:
            return [
                `PENDING: change ${changeId} is durable as revision ${answer.revision}, but is not yet known to be in ` +
                `force everywhere; ${held}`,
                ...resendLines,
            ];
        case ApplyOutcome.unknown:
            return [`UNKNOWN: whether change ${changeId} was made is not known (${answer.detail})`, ...resendLines];
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
