import type { AuditRecord } from "../src/control/operatorApi.js";
import type { FaultWindow } from "./catalogueFaults.js";
import type { SentChange } from "./catalogueOperators.js";
import type { HeldRevision, SimulatedEntry } from "./simulatedEntry.js";

const reachabilityWindowMs = 1000;

/** Violations of one run by kind, one line each. */
export interface Violations {
    readonly lost: readonly string[];
    readonly reverted: readonly string[];
    readonly doubled: readonly string[];
}

/** Checks the answers to operators and the revisions held by entries against the audit trail. */
export function findViolations(
    changes: readonly SentChange[],
    audit: readonly AuditRecord[],
    entries: readonly SimulatedEntry[],
): Violations {
    const accepted = audit.filter(record => record.outcome === "accepted");
    const limitByChangeId = new Map(changes.map(change => [change.changeId, change.uniqueLimit]));
    const limitByRevision = new Map(accepted.map(record => [record.revision, limitByChangeId.get(record.changeId)]));
    return {
        lost: changes.flatMap(change => findLost(change, accepted)),
        reverted: entries.flatMap(entry => findReverted(entry, limitByRevision)),
        doubled: changes.flatMap(change => findDoubled(change, accepted)),
    };
}

/** Times from a change's proposal at the leader until an entry held it, in ms; infinite when it never did. */
export interface InForceTimes {
    readonly all: readonly number[];
    /** Without changes whose leader had a fault or was replaced within 1 s of the proposal. */
    readonly reachable: readonly number[];
}

/** Measures how long each accepted change took to reach each entry. */
export function measureInForce(
    audit: readonly AuditRecord[],
    entries: readonly SimulatedEntry[],
    windows: readonly FaultWindow[],
): InForceTimes {
    const confirmations = entries.flatMap(entry => entry.confirmations).sort((a, b) => a.atMs - b.atMs);
    const times = { all: [] as number[], reachable: [] as number[] };
    for (const record of audit.filter(row => row.outcome === "accepted")) {
        const proposalAtMs = Date.parse(record.at);
        const leader = confirmations.findLast(row => row.atMs <= proposalAtMs)?.leaderAddress;
        const laterLeader = confirmations.find(row => row.atMs >= proposalAtMs + reachabilityWindowMs)?.leaderAddress;
        const isFaulted = windows.some(window =>
            window.peerAddress === leader && window.startMs <= proposalAtMs + reachabilityWindowMs &&
            window.endMs >= proposalAtMs
        );
        const isReachable = leader === laterLeader && !isFaulted;
        for (const entry of entries) {
            const held = entry.heldRevisions.find(row => row.revision >= record.revision);
            const durationMs = held === undefined ? Infinity : held.atMs - proposalAtMs;
            times.all.push(durationMs);
            if (isReachable) {
                times.reachable.push(durationMs);
            }
        }
    }
    return times;
}

function findLost(change: SentChange, accepted: readonly AuditRecord[]): readonly string[] {
    return change.answers
        .filter(answer => answer.outcome === "accepted" || answer.outcome === "pending")
        .filter(answer =>
            !accepted.some(record => record.changeId === change.changeId && record.revision === answer.revision)
        )
        .map(answer =>
            `${change.changeId} was ${answer.outcome} at revision ${answer.revision} but is not in the audit trail`
        );
}

function findDoubled(change: SentChange, accepted: readonly AuditRecord[]): readonly string[] {
    const appliedRecords = accepted.filter(record => record.changeId === change.changeId);
    const wasRefused = change.answers.some(answer => answer.outcome === "conflict" || answer.outcome === "rejected");
    const revisions = new Set(
        change.answers.filter(answer => answer.outcome === "accepted" || answer.outcome === "pending")
            .map(answer => answer.revision),
    );
    return [
        ...appliedRecords.length > 1 ? [`${change.changeId} was applied ${appliedRecords.length} times`] : [],
        ...wasRefused && appliedRecords.length > 0 ? [`${change.changeId} was refused and applied`] : [],
        ...revisions.size > 1 ? [`${change.changeId} was answered with revisions ${[...revisions].join()}`] : [],
    ];
}

function findReverted(
    entry: SimulatedEntry,
    limitByRevision: ReadonlyMap<number, number | undefined>,
): readonly string[] {
    const isMismatch = (row: HeldRevision) => limitByRevision.get(row.revision) !== row.uniqueLimit;
    return [
        ...entry.violations,
        ...entry.heldRevisions.filter(isMismatch).map(row =>
            `${entry.id} held maxInFlight ${row.uniqueLimit} at revision ${row.revision}, which set it to ${
                limitByRevision.get(row.revision)
            }`
        ),
    ];
}
