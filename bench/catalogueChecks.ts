import type { AuditRecord } from "../src/control/operatorApi.js";
import type { FaultWindow } from "./catalogueFaults.js";
import type { SentChange } from "./catalogueOperators.js";
import type { HeldRevision, StandInEntry } from "./standInEntry.js";

const reachableMs = 1000;

/** Violations of one run, each as one line. */
export interface Violations {
    readonly lost: readonly string[];
    readonly reverted: readonly string[];
    readonly doubled: readonly string[];
}

/** Compares the answers that operators got, and what entries held, with the audit trail. */
export function findViolations(
    changes: readonly SentChange[],
    audit: readonly AuditRecord[],
    entries: readonly StandInEntry[],
): Violations {
    const accepted = audit.filter(record => record.outcome === "accepted");
    const marks = new Map(changes.map(change => [change.changeId, change.mark]));
    const markByRevision = new Map(accepted.map(record => [record.revision, marks.get(record.changeId)]));
    return {
        lost: changes.flatMap(change => findLost(change, accepted)),
        reverted: entries.flatMap(entry => findReverted(entry, markByRevision)),
        doubled: changes.flatMap(change => findDoubled(change, accepted)),
    };
}

/** Times from when the leader took a change to when an entry held it, in ms. */
export interface InForceTimes {
    readonly all: readonly number[];
    /** Without changes whose leader was faulted or replaced within the second after it took them. */
    readonly reachable: readonly number[];
}

/** Returns how long each accepted change took to be held by each entry. */
export function measureInForce(
    audit: readonly AuditRecord[],
    entries: readonly StandInEntry[],
    windows: readonly FaultWindow[],
): InForceTimes {
    const confirmations = entries.flatMap(entry => entry.confirmations).sort((a, b) => a.atMs - b.atMs);
    const times = { all: [] as number[], reachable: [] as number[] };
    for (const record of audit.filter(row => row.outcome === "accepted")) {
        const takenAtMs = Date.parse(record.at);
        const leader = confirmations.findLast(row => row.atMs <= takenAtMs)?.leaderAddress;
        const laterLeader = confirmations.find(row => row.atMs >= takenAtMs + reachableMs)?.leaderAddress;
        const isFaulted = windows.some(window =>
            window.peerAddress === leader && window.startMs <= takenAtMs + reachableMs && window.endMs >= takenAtMs
        );
        const isReachable = leader === laterLeader && !isFaulted;
        for (const entry of entries) {
            const held = entry.held.find(row => row.revision >= record.revision);
            const durationMs = held === undefined ? Infinity : held.atMs - takenAtMs;
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
        .map(answer => `${change.changeId} was ${answer.outcome} at ${answer.revision} and is not in the audit trail`);
}

function findDoubled(change: SentChange, accepted: readonly AuditRecord[]): readonly string[] {
    const made = accepted.filter(record => record.changeId === change.changeId);
    const wasRefused = change.answers.some(answer => answer.outcome === "conflict" || answer.outcome === "rejected");
    const revisions = new Set(
        change.answers.filter(answer => answer.outcome === "accepted" || answer.outcome === "pending")
            .map(answer => answer.revision),
    );
    return [
        ...made.length > 1 ? [`${change.changeId} was made ${made.length} times`] : [],
        ...wasRefused && made.length > 0 ? [`${change.changeId} was refused and made`] : [],
        ...revisions.size > 1 ? [`${change.changeId} was answered with revisions ${[...revisions].join()}`] : [],
    ];
}

function findReverted(
    entry: StandInEntry,
    markByRevision: ReadonlyMap<number, number | undefined>,
): readonly string[] {
    const isWrong = (row: HeldRevision) => markByRevision.get(row.revision) !== row.mark;
    return [
        ...entry.violations,
        ...entry.held.filter(isWrong).map(row =>
            `${entry.id} held ${row.mark} at revision ${row.revision}, which is ${markByRevision.get(row.revision)}`
        ),
    ];
}
