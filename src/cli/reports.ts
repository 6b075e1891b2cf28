import type { Catalogue } from "../catalogue/model.js";
import {
    type AuditFilter,
    type AuditRecord,
    type EntryStatus,
    OperatorMethod,
    type StatusAnswer,
    type UpstreamStatus,
} from "../control/operatorApi.js";
import type { ControlClient } from "./controlClient.js";
import { createSuccessReport, formatDifferences, formatOrigin, type Report } from "./report.js";
import { formatCount, formatTable } from "./table.js";

const confirmationLifetimeMs = 3_000;

/** Lists the upstreams reported by the entries, with operators' overrides. */
export async function reportUpstreams(client: ControlClient, service?: string): Promise<Report> {
    const { catalogue } = await client.show();
    const status = await client.status();
    const rows = status.upstreams
        .filter(row => service === undefined || row.service === service)
        .map(row => ({ ...row, override: findOverride(catalogue, row) }));
    const header = ["SERVICE", "UPSTREAM", "ADDRESS", "AVAILABILITY ZONE", "STATE", "OVERRIDE", "SLOTS", "EVIDENCE"];
    const cells = rows.map(row => [
        row.service,
        row.id,
        row.address,
        row.availabilityZone,
        row.state,
        row.override ?? "-",
        String(row.slots),
        formatAge(row.evidenceAgeMs),
    ]);
    return createSuccessReport([...formatTable([header, ...cells]), formatCount(rows.length, "upstream")], {
        upstreams: rows,
    });
}

function findOverride(catalogue: Catalogue, upstream: UpstreamStatus): string | undefined {
    return catalogue.upstreamOverrides
        .find(upstreamOverride =>
            upstreamOverride.service === upstream.service && upstreamOverride.upstreamId === upstream.id
        )?.state;
}

/** Lists the entry VMs of the catalogue with the status that each last reported to control. */
export async function reportEntryVms(client: ControlClient): Promise<Report> {
    const { catalogue } = await client.show();
    const status = await client.status();
    const rows = Object.values(catalogue.entryVms).map(entryVm => ({
        ...entryVm,
        heard: status.entries.find(entry => entry.id === entryVm.id),
    }));
    const header = ["ENTRY VM", "REGION", "AVAILABILITY ZONE", "ADDRESS", "STATE", "REVISION", "HEARD"];
    const cells = rows.map(({ id, region, availabilityZone, address, state, heard }) => [
        id,
        region,
        availabilityZone,
        address,
        state,
        heard === undefined ? "-" : String(heard.revision),
        heard === undefined ? "never" : formatAge(heard.heardAgoMs),
    ]);
    return createSuccessReport([...formatTable([header, ...cells]), formatCount(rows.length, "entry VM")], {
        entryVms: rows,
    });
}

/** Reports the control VMs, the entries, the cost of probing and all problems. */
export async function reportStatus(client: ControlClient): Promise<Report> {
    const status = await client.status();
    const quorum = status.isQuorumConfirmed ?
        "confirmed by a quorum" :
        "NOT CONFIRMED BY A QUORUM: changes are not possible, and this status may be out of date";
    const lines = [
        `revision ${status.revision}, answered by ${status.answeredBy}, ${quorum}`,
        "",
        ...formatTable([
            ["CONTROL VM", "ROLE", "TERM", "REVISION", "HEARD"],
            ...status.voters.map(voter => [
                voter.id,
                voter.role,
                String(voter.term),
                String(voter.revision),
                formatAge(voter.heardAgoMs),
            ]),
        ]),
        "",
        ...formatTable([
            ["ENTRY VM", "AVAILABILITY ZONE", "REVISION", "CONFIRMED", "DRAINING", "HEARD"],
            ...status.entries.map(formatEntryCells),
        ]),
        "",
        ...formatProbeCost(status),
        "",
        ...formatProblems(status),
    ];
    return createSuccessReport(lines, status);
}

function formatEntryCells(entry: EntryStatus): string[] {
    return [
        entry.id,
        entry.availabilityZone,
        String(entry.revision),
        isConfirmationFresh(entry) ? entry.isConfirmed ? "yes" : "NO" : "unknown",
        entry.isDraining ? "yes" : "no",
        formatAge(entry.heardAgoMs),
    ];
}

/** Whether the confirmation that an entry last reported can still be valid; it expires after 3 s. */
function isConfirmationFresh({ heardAgoMs }: EntryStatus): boolean {
    return heardAgoMs >= 0 && heardAgoMs <= confirmationLifetimeMs;
}

/** Formats the probe cost per service, summed over the entries that own the service or owned it recently. */
function formatProbeCost(status: StatusAnswer): string[] {
    const costByService = new Map<string, number>();
    for (const entry of status.entries) {
        for (const [service, msPerSecond] of Object.entries(entry.measuringSpentMsPerSecond)) {
            costByService.set(service, (costByService.get(service) ?? 0) + msPerSecond);
        }
    }
    const rows = [...costByService].sort().map(([service, msPerSecond]) => [service, msPerSecond.toFixed(1)]);
    return formatTable([["SERVICE", "MEASURING (upstream ms per second)"], ...rows]);
}

function formatProblems(status: StatusAnswer): string[] {
    const problems = [...status.voters, ...status.entries]
        .flatMap(vm => vm.problems.map(problem => `  ${vm.id}: ${problem}`));
    return [problems.length === 0 ? "no problems" : `${formatCount(problems.length, "problem")}:`, ...problems];
}

/** Lists records of the audit trail, or of the history, which has only accepted changes. */
export async function reportAudit(
    client: ControlClient,
    method: "audit.list" | "catalogue.history",
    filter: AuditFilter,
): Promise<Report> {
    const { records } = await client.listAudit(method, filter);
    const lines = records.flatMap(record => describeRecord(record, method === OperatorMethod.audit));
    return createSuccessReport([...lines, formatCount(records.length, "record")], { records });
}

function describeRecord(record: AuditRecord, isOutcomeShown: boolean): string[] {
    const outcome = isOutcomeShown ? ` ${record.outcome}` : "";
    const detail = record.detail === "" ? [] : [`  ${record.detail}`];
    return [
        `revision ${record.revision} ${record.operation}${outcome} by ${formatOrigin(record)}`,
        ...detail,
        ...formatDifferences(record.difference),
    ];
}

/** Reports the current catalogue. */
export async function reportCatalogue(client: ControlClient): Promise<Report> {
    const { catalogue } = await client.show();
    const lines = [
        `revision ${catalogue.revision}`,
        "",
        ...formatTable([
            ["SERVICE", "OWNER", "CLASS", "POLICY", "IN FLIGHT", "PER SECOND", "MEASURING (ms/s)"],
            ...Object.values(catalogue.services).map(service => [
                service.name,
                service.owner,
                service.class,
                service.policy,
                String(service.limits.maxInFlight),
                String(service.limits.requestsPerSecond),
                String(service.measuringBudgetMsPerSecond),
            ]),
        ]),
        "",
        ...formatTable([
            ["RUNBOOK COMMAND", "OPERATION", "ARGUMENTS"],
            ...Object.values(catalogue.runbookCommands).map(
                command => [command.name, command.operation, command.arguments.join(" ")],
            ),
        ]),
        "",
        formatCount(Object.keys(catalogue.entryVms).length, "entry VM"),
        formatCount(catalogue.upstreamOverrides.length, "upstream override"),
    ];
    return createSuccessReport(lines, catalogue);
}

/** Formats an age; a negative one means that no report was received. */
function formatAge(ageMs: number): string {
    return ageMs < 0 ? "never" : `${(ageMs / 1000).toFixed(1)} s ago`;
}
