import type { ControlLogger } from "../control/options.js";
import type { Clock } from "../core/clock.js";
import { type Fingerprint, SuspectTable } from "../requests/suspectTable.js";
import type { EntrySuspects, LossRow, SuspectReport, SuspectRow } from "./suspectMessages.js";

/** Losses from which entries learn of a fingerprint; one alone is mostly a crash that the request did not cause. */
const minSharedLosses = 2;
/** Maximum number of fingerprints in a message; the latest ones are kept. */
const maxRows = 64;
/** Age up to which the rows of the leader are used; it sends them every second. */
const maxLeaderRowsAgeMs = 3000;

/** Dependencies of a suspect exchange. */
export interface SuspectExchangeOptions {
    readonly log: { readonly isLeader: boolean; readonly leaderAddress: string | undefined; };
    readonly clock: Clock;
    readonly logger: ControlLogger;
    /** Called when the suspects for entries have changed. */
    readonly onChanged: () => void;
    /** Called when an entry reported something that the leader does not know yet. */
    readonly onNews: () => void;
}

/**
 * Requests suspected of crashing instances, at a control VM. Entries report instances that were lost with a request, and
 * suspects that an instance survived. The leader counts them, and all control VMs tell their entries.
 */
export class SuspectExchange {
    private readonly table = new SuspectTable();
    private unsentLosses = new Map<string, LossRow>();
    private unsentSurvived = new Set<Fingerprint>();
    /** Leader that has received all reports except the unsent ones. */
    private informedLeader: string | undefined;
    private leaderRows: readonly SuspectRow[] = [];
    private leaderRowsAtMs = -Infinity;
    private rows: readonly SuspectRow[] = [];
    /** Changes with `rows`; 0 before the first change. */
    private version = 0;

    constructor(private readonly options: SuspectExchangeOptions) {}

    /** Records the report of an attached entry. Entries repeat their reports, so most of them contain nothing new. */
    recordEntryReport(report: SuspectReport | undefined): void {
        if (report === undefined || !this.record(report)) {
            return;
        }
        if (!this.options.log.isLeader) {
            report.losses.forEach(loss => this.unsentLosses.set(loss.join(), loss));
            report.survived.forEach(fingerprint => this.unsentSurvived.add(fingerprint));
            this.options.onNews();
        }
        this.update();
    }

    /** Returns what the leader does not know yet; undefined if there is nothing. */
    buildReport(): SuspectReport | undefined {
        const { leaderAddress } = this.options.log;
        if (leaderAddress !== undefined && leaderAddress !== this.informedLeader) {
            this.informedLeader = leaderAddress;
            this.table.listLosses(this.nowMs()).forEach(({ fingerprint, upstreamId, incarnation }) => {
                const loss: LossRow = [fingerprint, upstreamId, incarnation];
                this.unsentLosses.set(loss.join(), loss);
            });
        }
        return this.unsentLosses.size + this.unsentSurvived.size === 0
            ? undefined
            : { losses: [...this.unsentLosses.values()], survived: [...this.unsentSurvived] };
    }

    /** Applies the leader's answer to a report; undefined rows come from a leader that does not know suspects. */
    applyAnswer(report: SuspectReport | undefined, rows: readonly SuspectRow[] | undefined): void {
        report?.losses.forEach(loss => this.unsentLosses.delete(loss.join()));
        report?.survived.forEach(fingerprint => this.unsentSurvived.delete(fingerprint));
        if (rows !== undefined) {
            this.leaderRows = rows;
            this.leaderRowsAtMs = this.nowMs();
        }
        this.update();
    }

    /** Handles the report of another control VM at the leader; returns the suspects. */
    handleReport(report: SuspectReport | undefined): readonly SuspectRow[] | undefined {
        if (!this.options.log.isLeader) {
            return undefined;
        }
        if (report !== undefined && this.record(report)) {
            this.update();
        }
        return this.rows;
    }

    /** Drops expired losses. */
    runMaintenance(): void {
        this.table.tick(this.nowMs());
        this.update();
    }

    /** Returns whether an entry does not have the current suspects. `version` is undefined for one without support. */
    hasNews(version: number | undefined): boolean {
        return version !== undefined && version !== this.version;
    }

    /** Returns the suspects for an entry that has `heldVersion`; undefined if it has them. */
    describe(heldVersion: number | undefined): EntrySuspects | undefined {
        return this.hasNews(heldVersion) ? { version: this.version, rows: this.rows } : undefined;
    }

    /** Records losses and survivals; returns whether any of them was new. */
    private record({ losses, survived }: SuspectReport): boolean {
        const nowMs = this.nowMs();
        const isAnyLossNew = losses.map(([fingerprint, upstreamId, incarnation]) =>
            this.table.add({ fingerprint, service: "", upstreamId, incarnation }, nowMs)
        ).includes(true);
        const isAnyCleared = survived.map(fingerprint => this.table.clear(fingerprint)).includes(true);
        const isSharedCleared = survived.some(cleared => this.rows.some(([fingerprint]) => fingerprint === cleared));
        return isAnyLossNew || isAnyCleared || isSharedCleared;
    }

    private update(): void {
        const nowMs = this.nowMs();
        const areLeaderRowsUsed = !this.options.log.isLeader && nowMs - this.leaderRowsAtMs < maxLeaderRowsAgeMs;
        const rows = areLeaderRowsUsed
            ? this.leaderRows.filter(([fingerprint]) => !this.unsentSurvived.has(fingerprint))
            : this.listOwn(nowMs);
        if (JSON.stringify(rows) !== JSON.stringify(this.rows)) {
            this.rows = rows;
            this.version++;
            this.options.logger.info("requests suspected of crashing instances changed", {
                suspects: rows.map(([fingerprint, lossCount]) => `${fingerprint}: ${lossCount}`),
            });
            this.options.onChanged();
        }
    }

    private listOwn(nowMs: number): readonly SuspectRow[] {
        const fingerprints = new Set(this.table.listLosses(nowMs).map(loss => loss.fingerprint));
        return [...fingerprints]
            .map((fingerprint): SuspectRow => [fingerprint, this.table.countLosses(fingerprint, nowMs)])
            .filter(([, lossCount]) => lossCount >= minSharedLosses)
            .slice(-maxRows);
    }

    private nowMs(): number {
        return this.options.clock.monotonicMs();
    }
}
