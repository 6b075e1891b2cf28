import type { ControlLogger } from "../control/options.js";
import { type Clock, type Instant, readInstant } from "../core/clock.js";
import { GrantValidity } from "../directory/grantValidity.js";
import { LeaderTerm } from "../directory/leaderTerm.js";
import type { RouteTable } from "../directory/model.js";
import { EntryReserve } from "./entryReserve.js";
import { MemberQuotas as MemberBuckets } from "./memberQuotas.js";
import { listQuotas, type QuotaBounds } from "./quotaBounds.js";
import { QuotaLedger } from "./quotaLedger.js";
import type { EntryQuotas, MemberQuotas, QuotaReport, QuotaUse } from "./quotaMessages.js";

/** Time for which a grant may be used without renewal; longer than an election usually takes. */
const grantTtlMs = 4000;
/**
 * Minimum time between two reports to the leader: shorter while entries admit everything and the level falls, as they
 * may spend more than is left.
 */
const urgentIntervalsMs = { none: Infinity, limited: Infinity, free: 200 } as const;
/** Minimum time between two computations of shares. */
const minUpdateIntervalMs = 50;

/** Dependencies of a quota coordinator. */
export interface QuotaCoordinatorOptions {
    readonly bounds: QuotaBounds;
    readonly log: { readonly selfId: string; readonly isLeader: boolean; confirmLeadership(): Promise<boolean>; };
    readonly clock: Clock;
    readonly logger: ControlLogger;
    readonly getRoutes: () => RouteTable;
    /** Returns the number of entries attached to all control VMs; undefined if it is not known. */
    readonly getEntryTotal: () => number | undefined;
    /** Called when entries must learn of a change at once. */
    readonly onChanged: () => void;
    /** Called when the leader should get a report at once. */
    readonly onUrgent: () => void;
}

/**
 * Quotas of organisations at a control VM: spends this VM's part of each quota (`MemberQuotas`), and keeps the buckets
 * while this VM leads (`QuotaLedger`).
 */
export class QuotaCoordinator {
    private readonly ledger: QuotaLedger;
    private readonly member: MemberBuckets;
    private readonly term: LeaderTerm;
    private readonly reserve = new EntryReserve();
    /** Until when this VM's part may be spent. */
    private readonly validity: GrantValidity;
    /** Until when a quorum's confirmation of this leader counts. */
    private readonly confirmation: GrantValidity;
    private routes: RouteTable | undefined;
    private mustReportLevels = false;
    /** Whether the report that is being built is sent at once, for organisations with a low level. */
    private isReportingLow = false;
    private urgentAtMs = -Infinity;
    private updatedAtMs = -Infinity;

    constructor(private readonly options: QuotaCoordinatorOptions) {
        const { log, clock, bounds } = options;
        this.ledger = new QuotaLedger(bounds);
        this.member = new MemberBuckets(bounds);
        this.term = new LeaderTerm(log, clock);
        this.validity = new GrantValidity(clock);
        this.confirmation = new GrantValidity(clock);
    }

    /** Number of organisations that are at their quota; known only at the leader. */
    get limitedCount(): number {
        return this.options.log.isLeader ? this.ledger.countLimited() : 0;
    }

    /** Records the use of quotas that an attached entry reported. */
    recordEntryReport(uses: readonly QuotaUse[] | undefined): void {
        if (!this.configure() || uses === undefined || uses === null) {
            return;
        }
        const nowMs = this.nowMs();
        const urgency = this.member.record(uses, nowMs);
        if (nowMs - this.urgentAtMs >= urgentIntervalsMs[urgency]) {
            this.urgentAtMs = nowMs;
            this.exchange();
        }
        if (nowMs - this.updatedAtMs >= minUpdateIntervalMs) {
            this.update(nowMs);
        }
    }

    /** Returns whether an entry must get an answer at once. `heldVersion` is undefined for one without support. */
    hasNews(heldVersion: number | undefined): boolean {
        return heldVersion !== undefined && this.configure() && this.member.hasNews(heldVersion);
    }

    /** Returns what has changed for an entry; no field without quotas, since an undefined one takes bytes. */
    describe(heldVersion: number | undefined): { readonly quotas?: EntryQuotas; } {
        if (heldVersion === undefined || !this.configure()) {
            return {};
        }
        const { version, rows } = this.member.describe(heldVersion);
        return { quotas: [version, Math.round(this.validity.remainingMs), rows] };
    }

    /** Returns what this VM reports to the leader; undefined without quotas. */
    buildReport(): QuotaReport | undefined {
        if (!this.configure()) {
            return undefined;
        }
        const levels = this.mustReportLevels ? this.member.listLevels() : undefined;
        const uses = this.member.takeUses(this.isReportingLow);
        return levels === undefined ? { uses } : { uses, levels };
    }

    /** Applies the leader's answer to a report that was sent at `sentAt`; undefined if it did not take the report. */
    applyAnswer(report: QuotaReport | undefined, answer: MemberQuotas | undefined, sentAt: Instant): void {
        if (report === undefined) {
            return;
        }
        if (answer === undefined) {
            this.member.returnUses(report.uses);
            return;
        }
        this.mustReportLevels = answer.wantsLevels;
        if (!this.options.log.isLeader) {
            this.validity.renew(sentAt, answer.validMs);
            this.member.apply(answer.rows, answer.usableShare, this.nowMs());
            this.update(this.nowMs());
        }
    }

    /** Handles the report of another control VM at the leader; undefined if it may no longer be the leader. */
    handleReport(report: QuotaReport | undefined, memberId: string): MemberQuotas | undefined {
        if (report === undefined || report === null || !this.configure() || !this.canGrant()) {
            return undefined;
        }
        const nowMs = this.nowMs();
        const wantsLevels = this.ledger.wantsLevels(memberId, nowMs) && (report.levels ?? undefined) === undefined;
        this.ledger.recordLevels(report.levels ?? [], nowMs);
        const rows = this.ledger.exchange(memberId, report.uses, nowMs);
        return {
            validMs: Math.round(this.confirmation.remainingMs),
            wantsLevels,
            usableShare: this.ledger.usableShare,
            rows,
        };
    }

    /** Confirms the leader, and charges its own entries; called every second. */
    runMaintenance(): void {
        this.term.maintain();
        const nowMs = this.nowMs();
        const share = this.reserve.record(this.options.getEntryTotal(), nowMs);
        if (!this.configure()) {
            return;
        }
        if (this.options.log.isLeader) {
            void this.confirm();
            this.ledger.reserve(share);
            this.exchange();
            this.logTransitions(nowMs);
        }
        this.update(nowMs);
    }

    private exchange(): void {
        if (!this.options.log.isLeader) {
            this.isReportingLow = true;
            this.options.onUrgent();
            this.isReportingLow = false;
        }
        else if (this.canGrant()) {
            const nowMs = this.nowMs();
            this.validity.renew(readInstant(this.options.clock), this.confirmation.remainingMs);
            const rows = this.ledger.exchange(this.options.log.selfId, this.member.takeUses(false), nowMs);
            this.member.apply(rows, this.ledger.usableShare, nowMs);
        }
    }

    private update(nowMs: number): void {
        this.updatedAtMs = nowMs;
        if (this.member.update(nowMs)) {
            this.options.onChanged();
        }
    }

    private canGrant(): boolean {
        const { log } = this.options;
        if (!log.isLeader || this.term.wasSuspended) {
            return false;
        }
        if (this.term.begin()) {
            const nowMs = this.nowMs();
            this.confirmation.end();
            this.ledger.startLeading(this.member.listLevels(), nowMs - this.member.lastAnswerAtMs, nowMs);
            this.ledger.configure(listQuotas(this.routes?.organisations), nowMs);
            void this.confirm();
        }
        return this.confirmation.remainingMs > 0;
    }

    private async confirm(): Promise<void> {
        const { log, clock } = this.options;
        this.canGrant();
        const at = readInstant(clock);
        if (await log.confirmLeadership() && log.isLeader) {
            this.confirmation.renew(at, grantTtlMs);
        }
    }

    /** Applies the configuration if it has changed; returns whether it has quotas. */
    private configure(): boolean {
        const routes = this.options.getRoutes();
        if (routes !== this.routes) {
            this.routes = routes;
            const quotas = listQuotas(routes.organisations);
            this.member.configure(quotas, this.nowMs());
            this.ledger.configure(quotas, this.nowMs());
        }
        return this.member.size > 0;
    }

    private logTransitions(nowMs: number): void {
        for (const { organisation, level, demand, isLimited } of this.ledger.listTransitions(nowMs)) {
            this.options.logger.info(isLimited ? "organisation reached its quota" : "organisation is below its quota", {
                organisation,
                level: Math.round(level),
                demandPerSecond: Math.round(demand),
            });
        }
    }

    private nowMs(): number {
        return this.options.clock.monotonicMs();
    }
}
