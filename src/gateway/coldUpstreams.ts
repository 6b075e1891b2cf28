import { ageMs, type Clock, type Instant } from "../core/clock.js";
import type { ServiceName, UpstreamId } from "../core/ids.js";
import { coldLimitKind } from "../directory/limitKinds.js";
import type { EntryReport } from "../directory/messages.js";
import { isWarmupLimited, type RoutedService } from "../directory/model.js";
import type { ColdReport, ColdRow, EntryLimits } from "../directory/rateLimits.js";
import { warmupToleranceMs } from "../directory/registrations.js";
import type { GatewayLogger } from "./options.js";
import { type Allowance, countPermitsUntil, findPermitAtMs, settlePermits } from "./permits.js";
import type { UpstreamState, UpstreamStateTable } from "./upstreamStateTable.js";

/** Dependencies of ColdUpstreams. */
export interface ColdUpstreamsOptions {
    readonly upstreamTable: UpstreamStateTable;
    readonly clock: Clock;
    readonly logger: GatewayLogger;
    /** Called when an upstream is cold for longer than was known, which the control VM should learn at once. */
    readonly onObserved: () => void;
}

interface HeldRow extends ColdRow {
    readonly coldUntilMs: number;
    /** When the share was granted, or earlier. */
    readonly grantedAtMs: number;
}

/**
 * Cold upstreams of services that limit their rate, and this entry's shares of it. A cold upstream gets only requests
 * with a permit. The warmup ends by monotonic time, since a wall clock that is set forward must not end it; a share
 * ends by the clock that shows more time.
 */
export class ColdUpstreams {
    private rates: ReadonlyMap<ServiceName, number> = new Map();
    private rows: ReadonlyMap<UpstreamId, HeldRow> = new Map();
    /** Whether the rows are those of the control VM in use. */
    private areRowsCurrent = false;
    private validity: { readonly at: Instant; readonly validMs: number; } | undefined;
    private readonly startedAtMs: number;

    constructor(private readonly options: ColdUpstreamsOptions) {
        this.startedAtMs = this.nowMs();
    }

    /** Adopts the configured rates of cold instances. */
    setServices(services: readonly RoutedService[]): void {
        this.settleAll();
        this.rates = new Map(
            services.filter(isWarmupLimited).map(({ name, warmupPerSecond }) => [name, warmupPerSecond]),
        );
    }

    /** Returns the requests a second that a cold upstream accepts from all entries; undefined if it has no such limit. */
    getLimit(upstreamState: UpstreamState): number | undefined {
        const perSecond = this.rates.get(upstreamState.registration.service);
        return perSecond !== undefined && this.findColdUntilMs(upstreamState) > this.nowMs() ? perSecond : undefined;
    }

    isCold(upstreamState: UpstreamState): boolean {
        return this.getLimit(upstreamState) !== undefined;
    }

    count(): number {
        return this.options.upstreamTable.list().filter(upstreamState => this.isCold(upstreamState)).length;
    }

    /** Returns when a request may be sent: in the past, in the future, or Infinity without a share. */
    findPermitAtMs(upstreamState: UpstreamState): number {
        if (!this.isCold(upstreamState)) {
            return -Infinity;
        }
        this.settle(upstreamState);
        const permitAtMs = findPermitAtMs(upstreamState.cold.permits, this.findAllowance(upstreamState));
        return Math.min(permitAtMs, Math.max(this.nowMs(), this.findColdUntilMs(upstreamState)));
    }

    /** Returns how many requests may be sent until a time; Infinity for an upstream that is not cold. */
    countPermitsUntil(upstreamState: UpstreamState, untilMs: number): number {
        if (!this.isCold(upstreamState) || untilMs >= this.findColdUntilMs(upstreamState)) {
            return Infinity;
        }
        this.settle(upstreamState);
        return countPermitsUntil(upstreamState.cold.permits, this.findAllowance(upstreamState), untilMs);
    }

    takePermit(upstreamState: UpstreamState): void {
        this.settle(upstreamState);
        const { permits } = upstreamState.cold;
        permits.count = Math.max(0, permits.count - 1);
    }

    /** Returns a permit whose request was not sent, or not counted by the upstream. */
    returnPermit(upstreamState: UpstreamState): void {
        this.settle(upstreamState);
        const { permits } = upstreamState.cold;
        permits.count = Math.min(this.findAllowance(upstreamState).burst, permits.count + 1);
    }

    /** Records the rest of a warmup that an upstream states in its answer to a probe. */
    recordProbe(upstreamState: UpstreamState, warmupMs: number | undefined): void {
        const { cold, registration: { id, service } } = upstreamState;
        const untilMs = this.nowMs() + (warmupMs ?? 0);
        if (
            warmupMs === undefined || !this.rates.has(service) ||
            untilMs <= this.findColdUntilMs(upstreamState) + warmupToleranceMs
        ) {
            return;
        }
        this.settle(upstreamState);
        cold.observedUntilMs = untilMs;
        this.options.logger.info("upstream is cold", { upstream: id, warmupMs });
        this.options.onObserved();
    }

    /** Returns the warmups that this entry saw and that neither the registration nor the control VM shows. */
    describeUnreported(): Pick<EntryReport, "cold"> {
        const nowMs = this.nowMs();
        const cold: readonly ColdReport[] = this.options.upstreamTable.list().flatMap(upstreamState => {
            const { cold: { observedUntilMs, registeredUntilMs }, registration: { id, bornAtMs } } = upstreamState;
            const row = this.areRowsCurrent ? this.findRow(upstreamState) : undefined;
            const shownUntilMs = Math.max(nowMs, registeredUntilMs, row?.coldUntilMs ?? 0);
            return observedUntilMs > shownUntilMs + warmupToleranceMs
                ? [{ id, bornAtMs, warmupMs: observedUntilMs - nowMs }]
                : [];
        });
        return cold.length === 0 ? {} : { cold };
    }

    /** Reports all warmups anew; called when the entry turns to another control VM. */
    resetVersion(): void {
        this.areRowsCurrent = false;
    }

    /** Applies the shares of the control VM; `sentAt` is when the call was sent whose answer they are. */
    apply({ validMs, rows, cold }: EntryLimits, sentAt: Instant): void {
        const nowMs = this.nowMs();
        this.settleAll();
        this.validity = { at: sentAt, validMs };
        if (rows !== undefined && rows !== null) {
            this.areRowsCurrent = true;
            this.rows = new Map((cold ?? []).map(row => [row.id, {
                ...row,
                coldUntilMs: nowMs + row.warmupMs,
                grantedAtMs: sentAt.monotonicMs - (row.start?.[2] ?? 0),
            }]));
            this.settleAll();
        }
    }

    findShare(upstreamState: UpstreamState): number {
        const { validity } = this;
        const isValid = validity !== undefined && ageMs(validity.at, this.options.clock) < validity.validMs;
        return isValid ? this.findRow(upstreamState)?.share ?? 0 : 0;
    }

    private findColdUntilMs(upstreamState: UpstreamState): number {
        const { registeredUntilMs, observedUntilMs } = upstreamState.cold;
        return Math.max(registeredUntilMs, observedUntilMs, this.findRow(upstreamState)?.coldUntilMs ?? -Infinity);
    }

    private settleAll(): void {
        this.options.upstreamTable.list().forEach(upstreamState => this.settle(upstreamState));
    }

    /** Brings the permits of an upstream up to date; without a valid share, there are none. */
    private settle(upstreamState: UpstreamState): void {
        const { cold } = upstreamState;
        const allowance = this.findAllowance(upstreamState);
        settlePermits(cold.permits, allowance, this.nowMs());
        this.addStart(upstreamState, allowance);
    }

    /** Adds the permits with which a holding starts, once; a process that started later has not seen their use. */
    private addStart(upstreamState: UpstreamState, { burst }: Allowance): void {
        const { cold } = upstreamState;
        const row = this.findRow(upstreamState);
        const start = row?.start ?? undefined;
        if (row === undefined || start === undefined || burst === 0 || cold.startedGrant === start[1]) {
            return;
        }
        cold.startedGrant = start[1];
        if (row.grantedAtMs > this.startedAtMs) {
            cold.permits.count = Math.min(burst, Math.max(cold.permits.count, start[0]));
        }
    }

    private findAllowance(upstreamState: UpstreamState): Allowance {
        const limit = this.getLimit(upstreamState);
        if (limit === undefined) {
            return { ratePerSecond: 0, burst: 0 };
        }
        const share = this.findShare(upstreamState);
        return {
            ratePerSecond: share * coldLimitKind.usableRatePerSecond(limit),
            burst: share * coldLimitKind.usableBurst(limit),
        };
    }

    private findRow({ registration }: UpstreamState): HeldRow | undefined {
        const row = this.rows.get(registration.id);
        return row?.bornAtMs === registration.bornAtMs ? row : undefined;
    }

    private nowMs(): number {
        return this.options.clock.monotonicMs();
    }
}
