import type { Catalogue } from "../catalogue/model.js";
import { ApplyOutcome, type ChangeOperation, OperatorMethod } from "../control/operatorApi.js";
import { applyChange } from "./change.js";
import type { ControlClient } from "./controlClient.js";
import type { Report } from "./report.js";
import { reportAudit, reportEntryVms, reportStatus, reportUpstreams } from "./reports.js";

/** Client, operator and flags that an operation runs with. */
export interface OperationContext {
    readonly client: ControlClient;
    readonly operator: string;
    readonly baseRevision: number | undefined;
    readonly changeId: string | undefined;
    /** Command line without the base revision and change id. */
    readonly command: string;
}

interface OperationChange {
    readonly operation: ChangeOperation;
    readonly isSatisfiedBy: (catalogue: Catalogue) => boolean;
}

/** Outcomes of changes, as values of a flag. */
export const applyOutcomes = Object.values(ApplyOutcome);

/** Runs an operation by its name in `runbookOperations`. The arguments must be valid. */
export function runOperation(name: string, values: readonly string[], context: OperationContext): Promise<Report> {
    const { client } = context;
    switch (name) {
        case "upstream-list":
            return reportUpstreams(client);
        case "entry-vm-list":
            return reportEntryVms(client);
        case "status":
            return reportStatus(client);
        case "audit":
            return reportAudit(client, OperatorMethod.audit, {});
        default:
            return applyChange(client, { ...context, ...makeChange(name, values) });
    }
}

function makeChange(name: string, [first, second, third]: readonly string[]): OperationChange {
    switch (name) {
        case "upstream-drain":
            return drainUpstream(first, second);
        case "upstream-resume":
            return resumeUpstream(first, second);
        case "entry-vm-drain":
            return setEntryVmState(first, "draining");
        case "entry-vm-resume":
            return setEntryVmState(first, "active");
        default:
            return setServiceLimit(first, second, Number(third));
    }
}

function drainUpstream(service: string, upstreamId: string): OperationChange {
    return {
        operation: { kind: "set-upstream-override", override: { service, upstreamId, state: "draining" } },
        isSatisfiedBy: catalogue => hasOverride(catalogue, service, upstreamId),
    };
}

function resumeUpstream(service: string, upstreamId: string): OperationChange {
    return {
        operation: { kind: "clear-upstream-override", service, upstreamId },
        isSatisfiedBy: catalogue => !hasOverride(catalogue, service, upstreamId),
    };
}

function hasOverride(catalogue: Catalogue, service: string, upstreamId: string): boolean {
    return catalogue.upstreamOverrides.some(upstreamOverride =>
        upstreamOverride.service === service && upstreamOverride.upstreamId === upstreamId
    );
}

function setEntryVmState(entryId: string, state: "active" | "draining"): OperationChange {
    return {
        operation: { kind: "set-entry-vm-state", entryId, state },
        isSatisfiedBy: catalogue => catalogue.entryVms[entryId]?.state === state,
    };
}

function setServiceLimit(service: string, limit: string, value: number): OperationChange {
    return {
        operation: { kind: "set-service-limit", service, limit, value },
        isSatisfiedBy: catalogue =>
            Object.entries(catalogue.services[service]?.limits ?? {})
                .some(([name, current]) => name === limit && current === value),
    };
}
