import type { ControlLogger } from "../control/options.js";
import type { Clock } from "../core/clock.js";
import type { EntryId, UpstreamId } from "../core/ids.js";
import { type ColdInstance, ColdInstances, type ColdInstancesOptions } from "./coldInstances.js";
import { coldLimitKind } from "./limitKinds.js";
import { type AllocationInput, LimitShares, type ShareStart } from "./limitShares.js";
import type { Registration } from "./model.js";
import type { ColdReport, ColdRow, EntryDemand, MemberColdRow, StartRow } from "./rateLimits.js";

/** Dependencies of ColdLimits. */
export interface ColdLimitsOptions extends ColdInstancesOptions {
    readonly clock: Clock;
    readonly logger: ControlLogger;
}

/** The limit of a cold instance with the shares in force. */
interface SharedColdLimit extends Omit<ColdInstance, "appearedAtMs"> {
    readonly shares: ReadonlyMap<EntryId, number>;
    readonly starts: ReadonlyMap<EntryId, ShareStart>;
}

const noShares: ReadonlyMap<EntryId, number> = new Map();
const noStarts: ReadonlyMap<EntryId, ShareStart> = new Map();

/** The limits of cold instances at a control VM: divided at the leader, known from its answers at the others. */
export class ColdLimits {
    private readonly instances: ColdInstances;
    private readonly shares = new LimitShares(coldLimitKind);
    private limits: readonly SharedColdLimit[] = [];
    /** When a quorum confirmed this VM for the first time since it leads; it has then applied all earlier changes. */
    private confirmedAtMs: number | undefined;

    constructor(private readonly options: ColdLimitsOptions) {
        this.instances = new ColdInstances(options);
    }

    get isConfigured(): boolean {
        return this.instances.isConfigured;
    }

    /** Whether an instance is cold or has a share. */
    get isActive(): boolean {
        return this.limits.length > 0 || this.instances.list().length > 0;
    }

    /** Number of cold instances whose rate is limited. */
    get coldCount(): number {
        return this.instances.list().length;
    }

    /** What decides about the shares of entries, to notice changes. */
    describeContent(): readonly unknown[] {
        const reported = this.instances.list().filter(({ isOnlyReported }) => isOnlyReported);
        return [
            ...this.limits.map(({ id, bornAtMs, perSecond, shares }) => [id, bornAtMs, perSecond, ...shares]),
            ...reported.map(({ id, bornAtMs, coldUntilMs }) => [id, bornAtMs, coldUntilMs]),
        ];
    }

    /** Follows the directory; returns whether an instance is cold that was not, or is cold for longer. */
    refresh(): boolean {
        return this.instances.refresh();
    }

    /** Records what entries saw; returns whether an instance is cold for longer than was known. */
    recordReports(reports: readonly ColdReport[] | undefined): boolean {
        return (reports ?? []).filter(report => this.instances.recordReport(report)).length > 0;
    }

    listReported(): readonly ColdReport[] {
        return this.instances.listReported();
    }

    adjust(registration: Registration): Registration {
        return this.instances.adjust(registration);
    }

    findRemainingMs(registration: Registration): number | undefined {
        return this.instances.findRemainingMs(registration);
    }

    /** Starts without shares; those of the previous leader expire first. */
    startLeading(): void {
        this.confirmedAtMs = undefined;
        this.shares.startLeading([], this.nowMs());
    }

    /** Records that a quorum has confirmed this VM as the leader; returns whether there is something to divide. */
    confirm(): boolean {
        if (this.confirmedAtMs === undefined) {
            this.instances.refresh();
            this.confirmedAtMs = this.nowMs();
        }
        return this.listDivisible().length > 0;
    }

    /** Lists the ids of cold instances. */
    listIds(): ReadonlySet<UpstreamId> {
        return new Set(this.instances.list().map(({ id }) => id));
    }

    /** Divides the limits of cold instances at the leader. */
    allocate(input: Omit<AllocationInput, "newIds">): void {
        const { nowMs } = input;
        const cold = this.listDivisible();
        const coldIds = new Set(cold.map(({ id }) => id));
        cold.forEach(({ id, bornAtMs, perSecond }) =>
            this.shares.observe({ id, bornAtMs, perSecond, ageMs: 0 }, nowMs)
        );
        this.limits.filter(({ id }) => !coldIds.has(id)).forEach(({ id, bornAtMs }) =>
            this.shares.observe({ id, bornAtMs, perSecond: undefined, ageMs: 0 }, nowMs)
        );
        const newIds = new Set(cold.filter(instance => this.isNew(instance)).map(({ id }) => id));
        const allocated = new Map(this.shares.allocate({ ...input, newIds }).map(limit => [limit.id, limit]));
        const known = new Map(this.limits.map(limit => [limit.id, limit]));
        this.limits = cold.flatMap(instance => {
            const limit = allocated.get(instance.id);
            return limit === undefined
                ? []
                : [{ ...instance, shares: limit.shares, starts: limit.starts ?? new Map() }];
        });
        for (const { id, perSecond, coldUntilMs, shares } of this.limits) {
            if (known.get(id)?.shares.size !== shares.size) {
                const warmupMs = Math.round(coldUntilMs - nowMs);
                const holders = shares.size;
                this.options.logger.info("divided the rate of a cold instance", {
                    upstream: id,
                    perSecond,
                    warmupMs,
                    holders,
                });
            }
        }
    }

    /** Returns the rows of an entry: those with a share, and those that no registration shows, also without a leader. */
    describe(entryId: EntryId): readonly ColdRow[] | undefined {
        const nowMs = this.nowMs();
        const limits = this.listCurrent();
        const limitedIds = new Set(limits.map(({ id }) => id));
        const others = this.instances.list().filter(({ id }) => !limitedIds.has(id));
        const withoutHolders = others.map(instance => ({ ...instance, shares: noShares, starts: noStarts }));
        const rows = [...limits, ...withoutHolders].filter(({ isOnlyReported, shares }) =>
            isOnlyReported || shares.has(entryId)
        );
        return rows.length === 0 ? undefined : rows.map(({ id, bornAtMs, perSecond, coldUntilMs, shares, starts }) => ({
            id,
            bornAtMs,
            perSecond,
            warmupMs: coldUntilMs - nowMs,
            share: shares.get(entryId) ?? 0,
            start: toStartRow(starts.get(entryId), nowMs),
        }));
    }

    /** Returns the rows of a control VM with the entries of its report. */
    describeForMember(positions: ReadonlyMap<EntryId, number>): readonly MemberColdRow[] | undefined {
        const nowMs = this.nowMs();
        const rows = this.listCurrent().map((
            { id, bornAtMs, perSecond, coldUntilMs, isOnlyReported, shares, starts },
        ) => ({
            id,
            bornAtMs,
            perSecond,
            warmupMs: coldUntilMs - nowMs,
            isOnlyReported,
            shares: [...shares].flatMap(([entryId, share]) => {
                const position = positions.get(entryId);
                return position === undefined
                    ? []
                    : [[position, share, toStartRow(starts.get(entryId), nowMs)] as const];
            }),
        })).filter(({ isOnlyReported, shares }) => isOnlyReported || shares.length > 0);
        return rows.length === 0 ? undefined : rows;
    }

    /** Applies the rows of the leader; `sentAtMs` is when the report was sent whose answer they are. */
    applyRows(
        rows: readonly MemberColdRow[] | undefined,
        entries: readonly EntryDemand[] | undefined,
        sentAtMs: number,
    ): void {
        const nowMs = this.nowMs();
        this.limits = (rows ?? []).map(({ id, bornAtMs, perSecond, warmupMs, isOnlyReported, shares }) => {
            const held = shares.flatMap(([position, share, start]) => {
                const entry = entries?.at(position);
                return entry === undefined ? [] : [{ id: entry.id, share, start: start ?? undefined }];
            });
            return {
                id,
                bornAtMs,
                perSecond,
                coldUntilMs: nowMs + warmupMs,
                isOnlyReported,
                shares: new Map(held.map(entry => [entry.id, entry.share])),
                starts: new Map(held.flatMap(entry =>
                    entry.start === undefined
                        ? []
                        : [[entry.id, fromStartRow(entry.start, sentAtMs)] as const]
                )),
            };
        });
        this.limits.filter(({ isOnlyReported }) => isOnlyReported).forEach(({ id, bornAtMs, coldUntilMs }) =>
            this.instances.recordReport({ id, bornAtMs, warmupMs: coldUntilMs - nowMs })
        );
    }

    private listCurrent(): readonly SharedColdLimit[] {
        const nowMs = this.nowMs();
        return this.limits.filter(({ coldUntilMs }) => coldUntilMs > nowMs);
    }

    /** Lists what may be divided now: until the shares of the previous leader have expired, only new instances. */
    private listDivisible(): readonly ColdInstance[] {
        const cold = this.instances.list();
        return this.shares.canAllocate(this.nowMs()) ? cold : cold.filter(instance => this.isNew(instance));
    }

    /** Returns whether no earlier leader can have known the instance. */
    private isNew({ appearedAtMs }: ColdInstance): boolean {
        return this.confirmedAtMs !== undefined && appearedAtMs > this.confirmedAtMs;
    }

    private nowMs(): number {
        return this.options.clock.monotonicMs();
    }
}

/** A holding keeps its number at all VMs; its age is counted anew at each. */
function toStartRow(
    start: (ShareStart & { readonly grant?: number; }) | undefined,
    nowMs: number,
): StartRow | undefined {
    return start === undefined
        ? undefined
        : [start.permits, start.grant ?? start.grantedAtMs, nowMs - start.grantedAtMs];
}

function fromStartRow([permits, grant, ageMs]: StartRow, sentAtMs: number): ShareStart & { readonly grant: number; } {
    return { permits, grant, grantedAtMs: sentAtMs - ageMs };
}
