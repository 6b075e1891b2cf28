import { PolicyName } from "../src/catalogue/model.js";
import { type Fleet, quantileOf } from "./routingScenario.js";

/** Results of one policy, or of the simulated bound, in one scenario. */
export interface RoutingRow {
    readonly scenario: string;
    readonly fleet: Fleet;
    readonly name: string;
    readonly latenciesMs: readonly number[];
    readonly failed: number;
    readonly measuringMsPerSecond: number;
    readonly connections: number;
}

const boundName = "perfect-knowledge";
const targetScenario = "slow-70";
const maxRatioToBaseline = 0.5;
const maxRatioToBound = 1.5;
const maxMeasuringRatio = 0.5;
const header = [
    "scenario".padEnd(13),
    "policy".padEnd(18),
    "requests",
    "    p50",
    "     p99",
    "   p99.9",
    "failed",
    "probe ms/s",
    "conns",
    "/two-ch",
    "/bound",
].join(" ");

/** Prints the tables and returns the exit code: 0 when all targets that were measured are met. */
export function reportRows(rows: readonly RoutingRow[]): number {
    const fleets = [...new Set(rows.map(row => row.fleet))];
    const areTargetsMet = fleets.map(fleet => reportFleet(fleet, rows.filter(row => row.fleet === fleet)));
    return areTargetsMet.every(Boolean) ? 0 : 1;
}

function reportFleet(fleet: Fleet, rows: readonly RoutingRow[]): boolean {
    console.log(`\n${fleet.instances} upstreams x ${fleet.slots} slots; latencies in ms; ratios of p99`);
    console.log(header);
    const printedScenarios = new Set<string>();
    for (const name of [...new Set(rows.map(row => row.scenario))]) {
        const scenarioRows = rows.filter(row => row.scenario === name);
        for (const row of scenarioRows.sort((a, b) => a.name === boundName ? -1 : b.name === boundName ? 1 : 0)) {
            if (row.name !== boundName || !printedScenarios.has(name)) {
                console.log(formatRow(row, scenarioRows));
            }
            printedScenarios.add(name);
        }
    }
    return checkTarget(rows.filter(row => row.scenario === targetScenario));
}

function formatRow(row: RoutingRow, scenarioRows: readonly RoutingRow[]): string {
    const quantile = (share: number) => quantileOf(row.latenciesMs, share);
    return [
        row.scenario.padEnd(13),
        row.name.padEnd(18),
        String(row.latenciesMs.length).padStart(8),
        quantile(0.5).toFixed(2).padStart(7),
        quantile(0.99).toFixed(2).padStart(8),
        quantile(0.999).toFixed(2).padStart(8),
        String(row.failed).padStart(6),
        row.measuringMsPerSecond.toFixed(1).padStart(10),
        String(row.connections).padStart(5),
        formatRatio(row, scenarioRows.find(other => other.name === PolicyName.twoChoices)).padStart(7),
        formatRatio(row, scenarioRows.find(other => other.name === boundName)).padStart(6),
    ].join(" ");
}

function formatRatio(row: RoutingRow, other: RoutingRow | undefined): string {
    return other === undefined ? "-" : ratio(row, other).toFixed(2);
}

function ratio(row: RoutingRow, other: RoutingRow): number {
    return quantileOf(row.latenciesMs, 0.99) / quantileOf(other.latenciesMs, 0.99);
}

function checkTarget(rows: readonly RoutingRow[]): boolean {
    const find = (name: string) => rows.find(row => row.name === name);
    const [candidate, baseline, bound] = [find(PolicyName.slotGrants), find(PolicyName.twoChoices), find(boundName)];
    if (candidate === undefined || baseline === undefined || bound === undefined) {
        console.log(`targets need ${PolicyName.slotGrants} and ${PolicyName.twoChoices} in ${targetScenario}`);
        return true;
    }
    const measuringRatio = candidate.measuringMsPerSecond / Math.max(baseline.measuringMsPerSecond, Number.MIN_VALUE);
    const checks = [
        [`p99 at most ${maxRatioToBaseline} of two-choices`, ratio(candidate, baseline), maxRatioToBaseline],
        [`p99 within ${maxRatioToBound} of the bound`, ratio(candidate, bound), maxRatioToBound],
        [`measuring at most ${maxMeasuringRatio} of two-choices`, measuringRatio, maxMeasuringRatio],
    ] as const;
    for (const [text, value, limit] of checks) {
        console.log(`target: ${text}: ${value.toFixed(3)} ${value <= limit ? "met" : "MISSED"}`);
    }
    return checks.every(([, value, limit]) => value <= limit);
}
