import type { Clock, Instant } from "../core/clock.js";
import type { ServiceName, UpstreamId } from "../core/ids.js";
import { GrantValidity } from "../directory/grantValidity.js";
import {
    type EntryLimits,
    type LimitReport,
    type LimitRow,
    usableBurst,
    usableRatePerSecond,
} from "../directory/rateLimits.js";
import type { GatewayMetrics } from "../metrics/gatewayMetrics.js";
import { ColdUpstreams } from "./coldUpstreams.js";
import type { RateLimitStatement } from "./dialect.js";
import type { GatewayLogger } from "./options.js";
import { type Allowance, countPermitsUntil, findPermitAtMs, settlePermits } from "./permits.js";
import type { UpstreamState, UpstreamStateTable } from "./upstreamStateTable.js";

/**
 * A response without a limit withdraws it only if none was named for this time: responses of one instance can overtake
 * each other on different connections.
 */
const withdrawalDelayMs = 1000;
/** Smaller changes of a limit are not reported; each entry that sends requests sees them in its responses. */
const reportedChangeShare = 0.05;
/** Time for which a service counts as requested after a request for it. */
const demandTtlMs = 10_000;

/** What a message to an upstream was for. */
export const MessageKind = { request: "request", probe: "probe" } as const;

export type MessageKind = typeof MessageKind[keyof typeof MessageKind];

/** Dependencies of UpstreamLimits. */
export interface UpstreamLimitsOptions {
    readonly upstreamTable: UpstreamStateTable;
    readonly clock: Clock;
    readonly logger: GatewayLogger;
    readonly metrics: GatewayMetrics;
    /** Called when a limit begins or ends, which the control VM should learn at once. */
    readonly onObserved: () => void;
}

interface HeldRow extends LimitRow {
    readonly observedAtMs: number;
}

/**
 * Rate limits of upstreams, and this entry's shares of them: limits that upstreams name in their responses, and those of
 * cold upstreams (`cold`). A limited upstream gets only requests with a permit, for each of its limits. Permits accrue at the rate of the entry's share, from none, and end with the share.
 */
export class UpstreamLimits {
    private rows: ReadonlyMap<UpstreamId, HeldRow> = new Map();
    /** Until when the shares may be used. */
    private readonly validity: GrantValidity;
    private readonly requestedAtMs = new Map<ServiceName, number>();
    private heldVersion = 0;
    /** Whether the rows are those of the control VM in use, and not of an earlier one, which may be the only one to know them. */
    private areRowsCurrent = false;
    readonly cold: ColdUpstreams;

    constructor(private readonly options: UpstreamLimitsOptions) {
        this.cold = new ColdUpstreams(options);
        this.validity = new GrantValidity(options.clock);
    }

    /** Version of the limits received from the control VM in use; 0 if none. */
    get version(): number {
        return this.heldVersion;
    }

    /** Returns the requests a second that an upstream accepts from all entries together; undefined without a limit. */
    getLimit(upstreamState: UpstreamState): number | undefined {
        const limits = [this.getNamedLimit(upstreamState), this.cold.getLimit(upstreamState)];
        const perSecond = Math.min(...limits.map(limit => limit ?? Infinity));
        return perSecond === Infinity ? undefined : perSecond;
    }

    private getNamedLimit(upstreamState: UpstreamState): number | undefined {
        const { namedLimit } = upstreamState;
        const row = this.findRow(upstreamState);
        if (namedLimit !== undefined && (row === undefined || namedLimit.observedAtMs >= row.observedAtMs)) {
            return namedLimit.perSecond;
        }
        return row?.perSecond;
    }

    isLimited(upstreamState: UpstreamState): boolean {
        return this.getLimit(upstreamState) !== undefined;
    }

    countLimited(): number {
        return this.options.upstreamTable.list().filter(upstreamState => this.isLimited(upstreamState)).length;
    }

    /** Returns when a request may be sent to an upstream: in the past, in the future, or Infinity without a share. */
    findPermitAtMs(upstreamState: UpstreamState): number {
        const coldPermitAtMs = this.cold.findPermitAtMs(upstreamState);
        if (!this.isNamed(upstreamState)) {
            return coldPermitAtMs;
        }
        this.settle(upstreamState);
        return Math.max(coldPermitAtMs, findPermitAtMs(upstreamState.permits, this.findAllowance(upstreamState)));
    }

    private isNamed(upstreamState: UpstreamState): boolean {
        return this.getNamedLimit(upstreamState) !== undefined;
    }

    isPermitted(upstreamState: UpstreamState): boolean {
        return this.findPermitAtMs(upstreamState) <= this.nowMs();
    }

    /** Returns how many requests may be sent to a limited upstream until a time. */
    countPermitsUntil(upstreamState: UpstreamState, untilMs: number): number {
        const coldCount = this.cold.countPermitsUntil(upstreamState, untilMs);
        if (!this.isNamed(upstreamState)) {
            return coldCount;
        }
        this.settle(upstreamState);
        const allowance = this.findAllowance(upstreamState);
        return Math.min(coldCount, countPermitsUntil(upstreamState.permits, allowance, untilMs));
    }

    /** Uses a permit of a limited upstream. */
    takePermit(upstreamState: UpstreamState): void {
        this.cold.takePermit(upstreamState);
        if (this.isNamed(upstreamState)) {
            this.settle(upstreamState);
            upstreamState.permits.count = Math.max(0, upstreamState.permits.count - 1);
        }
    }

    /** Returns a permit whose request was not sent. */
    returnPermit(upstreamState: UpstreamState): void {
        this.cold.returnPermit(upstreamState);
        if (this.isNamed(upstreamState)) {
            this.settle(upstreamState);
            const { burst } = this.findAllowance(upstreamState);
            upstreamState.permits.count = Math.min(burst, upstreamState.permits.count + 1);
        }
    }

    /** Records a request for a service; the entry needs shares of the service's limits. */
    recordDemand(service: ServiceName): void {
        this.requestedAtMs.set(service, this.nowMs());
    }

    /** Lists the services with recent requests. */
    listRequestedServices(): readonly ServiceName[] {
        const nowMs = this.nowMs();
        return [...this.requestedAtMs].filter(([, atMs]) => nowMs - atMs < demandTtlMs).map(([service]) => service);
    }

    /** Lists the limits that this entry knows and that differ from those of the control VM in use. */
    listUnreported(): readonly LimitReport[] {
        const nowMs = this.nowMs();
        return this.options.upstreamTable.list().flatMap(upstreamState => {
            const { registration: { id, bornAtMs } } = upstreamState;
            const heldRow = this.findRow(upstreamState);
            const row = this.areRowsCurrent ? heldRow : undefined;
            const namedLimit = upstreamState.namedLimit ?? (this.areRowsCurrent ? undefined : heldRow);
            const isCurrent = namedLimit === undefined ||
                (row === undefined
                    ? namedLimit.perSecond === undefined
                    : namedLimit.observedAtMs <= row.observedAtMs ||
                        isSameLimit(namedLimit.perSecond, row.perSecond));
            return isCurrent
                ? []
                : [{ id, bornAtMs, perSecond: namedLimit.perSecond, ageMs: nowMs - namedLimit.observedAtMs }];
        });
    }

    /** Applies the limits of the control VM; `sentAt` is when the call was sent whose answer they are. */
    apply(limits: EntryLimits, sentAt: Instant): void {
        const { version, validMs, rows } = limits;
        const nowMs = this.nowMs();
        this.cold.apply(limits, sentAt);
        // Permits of the past accrue by the shares of the past.
        this.options.upstreamTable.list().forEach(upstreamState => this.settle(upstreamState));
        this.validity.renew(sentAt, validMs);
        if (rows !== undefined && rows !== null) {
            this.heldVersion = version;
            this.areRowsCurrent = true;
            this.rows = new Map(rows.map(row => [row.id, {
                ...row,
                perSecond: row.perSecond ?? undefined,
                observedAtMs: nowMs - row.ageMs,
            }]));
            this.options.upstreamTable.list().forEach(upstreamState => this.adoptWithdrawal(upstreamState));
        }
    }

    /** Records a withdrawal that another entry saw, since the control VMs keep it only for a time. */
    private adoptWithdrawal(upstreamState: UpstreamState): void {
        const row = this.findRow(upstreamState);
        if (row !== undefined && row.perSecond === undefined && !this.isNamed(upstreamState)) {
            upstreamState.namedLimit = { perSecond: undefined, observedAtMs: row.observedAtMs };
        }
    }

    /** Requests and reports all limits anew; called when the entry turns to another control VM, which may know none. */
    resetVersion(): void {
        this.heldVersion = 0;
        this.areRowsCurrent = false;
        this.cold.resetVersion();
    }

    /** Records what a response names. `canWithdraw` is false for responses that do not show that a limit has ended. */
    recordStatement(
        upstreamState: UpstreamState,
        statement: RateLimitStatement,
        kind: MessageKind,
        canWithdraw: boolean,
    ): void {
        const { logger, onObserved } = this.options;
        const observedAtMs = this.nowMs();
        const previousPerSecond = this.getNamedLimit(upstreamState);
        const upstream = upstreamState.registration.id;
        switch (statement.kind) {
            case "limit": {
                const { perSecond } = statement;
                this.settle(upstreamState);
                upstreamState.namedLimit = { perSecond, observedAtMs };
                if (previousPerSecond !== perSecond) {
                    logger.info("upstream names a rate limit", { upstream, perSecond, in: kind });
                }
                if (previousPerSecond === undefined) {
                    onObserved();
                }
                break;
            }
            case "invalid":
                logger.warn("upstream names an invalid rate limit", { upstream, text: statement.text, in: kind });
                break;
            case "none":
                if (
                    canWithdraw && previousPerSecond !== undefined &&
                    observedAtMs - this.findLastNamedAtMs(upstreamState) >= withdrawalDelayMs
                ) {
                    upstreamState.namedLimit = { perSecond: undefined, observedAtMs };
                    logger.info("upstream names no rate limit any more", { upstream });
                    onObserved();
                }
                break;
        }
    }

    /** Records that a message is sent to an upstream. */
    recordSent(upstreamState: UpstreamState, kind: MessageKind): void {
        const perSecond = this.getLimit(upstreamState);
        if (perSecond !== undefined) {
            this.options.metrics.limitedUpstreamMessages.inc({ kind });
            this.options.logger.info("sent to a limited upstream", {
                upstream: upstreamState.registration.id,
                kind,
                perSecond,
                share: this.cold.isCold(upstreamState)
                    ? this.cold.findShare(upstreamState)
                    : this.findShare(upstreamState),
                isCold: this.cold.isCold(upstreamState) || undefined,
            });
        }
    }

    private findLastNamedAtMs(upstreamState: UpstreamState): number {
        const observations = [upstreamState.namedLimit, this.findRow(upstreamState)];
        return Math.max(
            ...observations.map(seen => seen?.perSecond === undefined ? -Infinity : seen.observedAtMs),
        );
    }

    /** Brings the permits of an upstream up to date; without a valid share, there are none. */
    private settle(upstreamState: UpstreamState): void {
        const allowance = this.isNamed(upstreamState)
            ? this.findAllowance(upstreamState)
            : { ratePerSecond: 0, burst: 0 };
        settlePermits(upstreamState.permits, allowance, this.nowMs());
    }

    /** Returns the rate and the burst of this entry's share; both are 0 without one. */
    private findAllowance(upstreamState: UpstreamState): Allowance {
        const limit = this.getNamedLimit(upstreamState) ?? 0;
        const share = this.findShare(upstreamState);
        return { ratePerSecond: share * usableRatePerSecond(limit), burst: share * usableBurst(limit) };
    }

    private findShare(upstreamState: UpstreamState): number {
        return this.validity.remainingMs > 0 ? this.findRow(upstreamState)?.share ?? 0 : 0;
    }

    private findRow({ registration }: UpstreamState): HeldRow | undefined {
        const row = this.rows.get(registration.id);
        return row?.bornAtMs === registration.bornAtMs ? row : undefined;
    }

    private nowMs(): number {
        return this.options.clock.monotonicMs();
    }
}

function isSameLimit(first: number | undefined, second: number | undefined): boolean {
    return first === undefined || second === undefined
        ? first === second
        : Math.abs(first - second) <= reportedChangeShare * Math.max(first, second);
}
