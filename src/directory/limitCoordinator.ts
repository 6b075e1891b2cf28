import type { ControlLogger } from "../control/options.js";
import { type Clock, type Instant, readInstant } from "../core/clock.js";
import type { EntryId, UpstreamId } from "../core/ids.js";
import { ColdLimits } from "./coldLimits.js";
import { GrantValidity } from "./grantValidity.js";
import { LeaderTerm } from "./leaderTerm.js";
import { type AllocationInput, LimitShares, type SharedLimit, shareTtlMs } from "./limitShares.js";
import type { EntryReport, HeartbeatReport, MemberLimits } from "./messages.js";
import type { Registration, RoutedService } from "./model.js";
import type { EntryDemand, EntryLimits, LimitReport } from "./rateLimits.js";

/** Maximum age of the entries that another control VM reported; they are reported every second. */
const maxReportAgeMs = 3000;

/** Dependencies of a limit coordinator. */
export interface LimitCoordinatorOptions {
    readonly log: { readonly isLeader: boolean; confirmLeadership(): Promise<boolean>; };
    readonly clock: Clock;
    readonly logger: ControlLogger;
    readonly listRegistrations: () => readonly Registration[];
    readonly listServices: () => readonly RoutedService[];
    /** Lists the entries that are attached to this control VM. */
    readonly listEntries: () => readonly EntryReport[];
    /** Called when the limits or shares of attached entries have changed. */
    readonly onChanged: () => void;
    /** Called when an entry saw a limit that the leader does not know yet. */
    readonly onObserved: () => void;
}

interface Observation extends Omit<LimitReport, "ageMs"> {
    readonly observedAtMs: number;
}

/**
 * Rate limits of instances at a control VM. Entries report the limits that they see. The leader divides each among the
 * entries that need it (`LimitShares`); the other control VMs forward reports to the leader and shares to their entries.
 */
export class LimitCoordinator {
    private readonly shares = new LimitShares();
    private readonly term: LeaderTerm;
    /** The allocation that is under way. */
    private allocation: Promise<void> | undefined;
    private mustAllocateAgain = false;
    /** Whether this VM has divided limits since it leads. */
    private hasAllocated = false;
    private readonly memberEntries = new Map<
        string,
        { readonly entries: readonly EntryDemand[]; readonly receivedAtMs: number; }
    >();
    /** Observations that the leader has not received. */
    private readonly pending = new Map<UpstreamId, Observation>();
    private limits: readonly SharedLimit[] = [];
    /** Changes with `limits`; 0 before the first change. */
    private version = 0;
    private content = "[[],[]]";
    /** Until when the shares may be used. */
    private readonly validity: GrantValidity;
    /** Limits of cold instances; they share messages, versions and validity with the named ones. */
    readonly cold: ColdLimits;

    constructor(private readonly options: LimitCoordinatorOptions) {
        this.cold = new ColdLimits(options);
        this.term = new LeaderTerm(options.log, options.clock);
        this.validity = new GrantValidity(options.clock);
    }

    /** Number of instances that name a limit. */
    get limitedCount(): number {
        return this.limits.filter(limit => limit.perSecond !== undefined).length;
    }

    /** Divides the limits of instances that are cold now, or asks the leader for shares. */
    onDirectoryChanged(): void {
        if (this.cold.refresh()) {
            this.distribute();
        }
    }

    /** Records the limits in the report of an attached entry. */
    recordEntryReport({ limits, cold }: EntryReport): void {
        const hasColdNews = this.cold.recordReports(cold);
        const hasNews = this.options.log.isLeader
            ? this.observeAll(limits)
            : (limits ?? []).filter(report => this.addPending(report)).length > 0;
        if (hasColdNews) {
            this.updateVersion();
        }
        if (hasNews || hasColdNews) {
            this.distribute();
        }
    }

    /** Records that a heartbeat says that an instance is cold for longer, before that is committed. */
    recordWarmup({ id, bornAtMs, warmupMs }: Registration): void {
        if (warmupMs > 0 && this.cold.recordReports([{ id, bornAtMs, warmupMs }])) {
            this.updateVersion();
            this.distribute();
        }
    }

    private distribute(): void {
        if (this.options.log.isLeader) {
            this.startLeading();
            void this.allocate();
        }
        else {
            this.options.onObserved();
        }
    }

    /** Returns whether an entry does not have the current limits. `version` is undefined for an entry without support. */
    hasNews(version: number | undefined): boolean {
        return version !== undefined && version !== this.version;
    }

    /** Returns the limits with the shares of an entry that has `heldVersion`; undefined if none was ever known. */
    describe(entryId: EntryId, heldVersion: number | undefined): EntryLimits | undefined {
        const { version } = this;
        if (version === 0 || heldVersion === undefined) {
            return undefined;
        }
        const nowMs = this.nowMs();
        const rows = heldVersion === version ? undefined : this.limits.map(limit => ({
            id: limit.id,
            bornAtMs: limit.bornAtMs,
            perSecond: limit.perSecond,
            ageMs: nowMs - limit.observedAtMs,
            share: limit.shares.get(entryId) ?? 0,
        }));
        const cold = rows === undefined ? undefined : this.cold.describe(entryId);
        return { version, validMs: this.validity.remainingMs, rows, ...(cold === undefined ? {} : { cold }) };
    }

    /** Returns what this VM reports to the leader; nothing while it knows of no limit and none is configured. */
    buildReport(): Pick<HeartbeatReport, "entries" | "limits" | "cold"> {
        const nowMs = this.nowMs();
        if (this.limits.length === 0 && this.pending.size === 0 && !this.cold.isConfigured) {
            return {};
        }
        const limits = [...this.pending.values()].map(observation => toReport(observation, nowMs));
        const cold = this.cold.listReported();
        return { entries: this.listDemands(), limits, ...(cold.length === 0 ? {} : { cold }) };
    }

    /** Applies the leader's answer to a report that was sent at `sentAt`. */
    applyAnswer(
        { entries, limits: reported }: Pick<HeartbeatReport, "entries" | "limits">,
        answer: MemberLimits | undefined,
        sentAt: Instant,
    ): void {
        reported?.forEach(({ id, perSecond }) => {
            // Another value was observed after the report.
            if (this.pending.get(id)?.perSecond === perSecond) {
                this.pending.delete(id);
            }
        });
        if (answer === undefined || this.options.log.isLeader) {
            return;
        }
        const nowMs = this.nowMs();
        this.validity.renew(sentAt, answer.validMs);
        this.cold.applyRows(answer.cold ?? undefined, entries, sentAt.monotonicMs);
        this.setLimits(answer.rows.map(row => ({
            id: row.id,
            bornAtMs: row.bornAtMs,
            perSecond: row.perSecond ?? undefined,
            observedAtMs: nowMs - row.ageMs,
            shares: new Map(row.shares.flatMap(([position, share]) => {
                const entry = entries?.at(position);
                return entry === undefined ? [] : [[entry.id, share] as const];
            })),
        })));
    }

    /** Handles the report of another control VM at the leader; returns the limits with the shares of its entries. */
    async handleReport(
        { entries, limits, cold }: Pick<HeartbeatReport, "entries" | "limits" | "cold">,
        memberId: string,
    ): Promise<MemberLimits | undefined> {
        if (!this.options.log.isLeader) {
            return undefined;
        }
        if (entries !== undefined && entries !== null) {
            this.memberEntries.set(memberId, { entries, receivedAtMs: this.nowMs() });
        }
        const hasNews = this.observeAll(limits);
        if (this.cold.recordReports(cold) || hasNews) {
            await this.allocate();
        }
        // The answer includes what is being divided now, for a VM that has just applied a registration.
        if (this.cold.isConfigured) {
            await this.allocation;
        }
        if (!this.hasAllocated && !this.shares.canAllocate(this.nowMs())) {
            // The shares of the previous leader stay in force until they expire.
            return undefined;
        }
        const positions = new Map((entries ?? []).map((entry, position) => [entry.id, position]));
        const coldRows = this.cold.describeForMember(positions);
        return {
            ...(coldRows === undefined ? {} : { cold: coldRows }),
            validMs: this.validity.remainingMs,
            rows: this.limits.map(limit => ({
                id: limit.id,
                bornAtMs: limit.bornAtMs,
                perSecond: limit.perSecond,
                ageMs: this.nowMs() - limit.observedAtMs,
                shares: [...limit.shares].flatMap(([id, share]) => {
                    const position = positions.get(id);
                    return position === undefined ? [] : [[position, share] as const];
                }),
            })),
        };
    }

    /** Renews the shares at the leader; called every second. */
    runMaintenance(): void {
        this.term.maintain();
        if (!this.options.log.isLeader) {
            this.memberEntries.clear();
            return;
        }
        this.startLeading();
        if (this.shares.size > 0 || this.limits.length > 0 || this.cold.isConfigured) {
            void this.allocate();
        }
    }

    private startLeading(): void {
        if (this.term.begin()) {
            this.hasAllocated = false;
            this.cold.startLeading();
            const nowMs = this.nowMs();
            const known = [...this.limits, ...this.pending.values()];
            this.shares.startLeading(known.map(observation => toReport(observation, nowMs)), nowMs);
            this.pending.clear();
        }
    }

    /** Records observations at the leader; returns whether a limit begins or ends. */
    private observeAll(reports: readonly LimitReport[] | undefined): boolean {
        this.startLeading();
        const nowMs = this.nowMs();
        return (reports ?? []).filter(report =>
            this.shares.observe({ ...report, perSecond: report.perSecond ?? undefined }, nowMs)
        ).length > 0;
    }

    /** Keeps an observation for the next report to the leader; returns whether a limit begins or ends. */
    private addPending({ id, bornAtMs, perSecond: reported, ageMs: observationAgeMs }: LimitReport): boolean {
        const perSecond = reported ?? undefined;
        const observedAtMs = this.nowMs() - observationAgeMs;
        const known = this.pending.get(id) ??
            this.limits.find(limit => limit.id === id && limit.bornAtMs === bornAtMs);
        if (known !== undefined && known.observedAtMs > observedAtMs) {
            return false;
        }
        this.pending.set(id, { id, bornAtMs, perSecond, observedAtMs });
        return known === undefined || (known.perSecond === undefined) !== (perSecond === undefined);
    }

    /** Allocates shares; a call during an allocation is served by one more allocation after it. */
    private async allocate(): Promise<void> {
        this.mustAllocateAgain = this.allocation !== undefined;
        this.allocation ??= this.allocateOnce();
        await this.allocation;
    }

    /** Allocates shares once a quorum has confirmed that no later leader exists; a later one waits for their expiry. */
    private async allocateOnce(): Promise<void> {
        const { log, clock, listRegistrations } = this.options;
        do {
            this.mustAllocateAgain = false;
            const at = readInstant(clock);
            if (!await log.confirmLeadership() || !log.isLeader || !this.term.isLeading) {
                break;
            }
            const nowMs = this.nowMs();
            const canDivideNamed = this.shares.canAllocate(nowMs);
            if (!this.cold.confirm() && !canDivideNamed) {
                break;
            }
            const input: AllocationInput = {
                nowMs,
                expiresAtMs: at.monotonicMs + shareTtlMs,
                entries: this.listAllDemands(nowMs),
                registrations: listRegistrations(),
            };
            // Before the shares of the previous leader have expired, only new cold instances are divided.
            const limits = canDivideNamed
                ? this.shares.allocate({ ...input, otherLimitedIds: this.cold.listIds() })
                : this.limits.map(limit => ({ ...limit, shares: new Map<EntryId, number>() }));
            const limitedIds = limits.filter(({ perSecond }) => perSecond !== undefined).map(({ id }) => id);
            this.cold.allocate({ ...input, otherLimitedIds: new Set([...limitedIds, ...this.cold.listIds()]) });
            this.hasAllocated = true;
            this.logChanges(limits);
            this.validity.renew(at, shareTtlMs);
            this.setLimits(limits);
        }
        while (this.mustAllocateAgain);
        this.allocation = undefined;
    }

    private listDemands(): readonly EntryDemand[] {
        return this.options.listEntries().map(({ id, availabilityZone, services }) => ({
            id,
            availabilityZone,
            services: services ?? [],
        }));
    }

    private listAllDemands(nowMs: number): readonly EntryDemand[] {
        const reported = [...this.memberEntries.values()].filter(({ receivedAtMs }) =>
            nowMs - receivedAtMs < maxReportAgeMs
        );
        const demands = [...reported.flatMap(({ entries }) => entries), ...this.listDemands()];
        // An entry that moves to another control VM is reported twice for a while.
        return [...new Map(demands.map(demand => [demand.id, demand])).values()];
    }

    private setLimits(limits: readonly SharedLimit[]): void {
        this.limits = limits;
        this.updateVersion();
    }

    private updateVersion(): void {
        const { limits } = this;
        const content = JSON.stringify(
            [
                limits.map(({ id, bornAtMs, perSecond, shares }) => [id, bornAtMs, perSecond, ...shares]),
                this.cold.describeContent(),
            ],
        );
        if (content !== this.content) {
            this.content = content;
            // Wall-clock time, so that a restarted VM does not repeat a version with other content.
            this.version = Math.max(this.version + 1, this.options.clock.now().getTime());
            this.options.onChanged();
        }
    }

    private logChanges(limits: readonly SharedLimit[]): void {
        const known = new Map(this.limits.map(limit => [limit.id, limit]));
        for (const { id, perSecond, shares } of limits) {
            const previous = known.get(id);
            if (previous?.perSecond !== perSecond || previous?.shares.size !== shares.size) {
                this.options.logger.info("divided a rate limit", { upstream: id, perSecond, holders: shares.size });
            }
        }
    }

    private nowMs(): number {
        return this.options.clock.monotonicMs();
    }
}

function toReport({ id, bornAtMs, perSecond, observedAtMs }: Observation, nowMs: number): LimitReport {
    return { id, bornAtMs, perSecond, ageMs: nowMs - observedAtMs };
}
