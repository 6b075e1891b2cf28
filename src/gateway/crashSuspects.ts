import { createHash } from "node:crypto";
import type { Clock } from "../core/clock.js";
import type { GatewayMetrics } from "../metrics/gatewayMetrics.js";
import { type Fingerprint, fingerprintOf, lossWindowMs, SuspectTable } from "../requests/suspectTable.js";
import type { EntrySuspects, LossRow, SuspectReport } from "../suspects/suspectMessages.js";
import type { GatewayLogger } from "./options.js";
import type { UpstreamState } from "./upstreamStateTable.js";

/** Losses after which a request gets no second attempt at this entry. */
const lossesBeforeSingleAttempt = 2;
/** Losses after which a request is refused. Each further attempt would end an instance with all its other requests. */
const lossesBeforeRefusal = 3;
/** Timeout of the connection that shows whether an instance is still there. */
const connectTimeoutMs = 100;
/** A report is repeated for this time, since one can be lost. */
const reportTtlMs = 2000;

/** What may happen to a request, given the instances that were lost with requests like it. */
export const SuspectTreatment = {
    normal: "normal",
    /** Not repeated after a failed attempt. */
    singleAttempt: "single-attempt",
    refused: "refused",
} as const;

export type SuspectTreatment = typeof SuspectTreatment[keyof typeof SuspectTreatment];

/** The parts of a request by which it is recognized when it comes again. */
export interface SuspectableRequest {
    readonly service: string;
    readonly method: string;
    readonly path: string;
    /** Undefined if the body is not buffered. */
    readonly body: Buffer | undefined;
}

/** Dependencies of CrashSuspects. */
export interface CrashSuspectsOptions {
    readonly clock: Clock;
    readonly logger: GatewayLogger;
    readonly metrics: Pick<GatewayMetrics, "suspectedCrashes">;
    /** Resolves with whether an address accepts a connection within a timeout. */
    readonly checkConnection: (address: string, timeoutMs: number) => Promise<boolean>;
    /** Returns whether the entry may be partitioned from the instances, so that an unreachable one is no evidence. */
    readonly isPartitionSuspected: () => boolean;
    /** Called when the control VM should learn something at once. */
    readonly onNews: () => void;
}

interface Timed<Value> {
    readonly value: Value;
    readonly atMs: number;
}

/**
 * Requests suspected of crashing the instances that run them: instances were lost while they ran, and none survived one.
 * The entries share what they saw through the control VMs.
 */
export class CrashSuspects {
    private readonly table = new SuspectTable();
    private shared: ReadonlyMap<Fingerprint, number> = new Map();
    private sharedAtMs = -Infinity;
    private recentLosses: Timed<LossRow>[] = [];
    private recentSurvived: Timed<Fingerprint>[] = [];
    private heldVersion = 0;

    constructor(private readonly options: CrashSuspectsOptions) {}

    /** Version of the suspects received from the control VM in use; 0 if none. */
    get version(): number {
        return this.heldVersion;
    }

    /** Called when the entry turns to another control VM, whose versions are its own, and which may know no losses. */
    resetVersion(): void {
        const nowMs = this.nowMs();
        this.heldVersion = 0;
        this.recentLosses = this.table.listLosses(nowMs).map(({ fingerprint, upstreamId, incarnation }) => ({
            value: [fingerprint, upstreamId, incarnation],
            atMs: nowMs,
        }));
    }

    /** Applies the suspects from the control VM. */
    apply({ version, rows }: EntrySuspects): void {
        this.heldVersion = version;
        this.shared = new Map(rows);
        this.sharedAtMs = this.nowMs();
    }

    /** Returns how a request is treated. */
    treat(request: SuspectableRequest): SuspectTreatment {
        if (this.table.size === 0 && this.shared.size === 0) {
            return SuspectTreatment.normal;
        }
        const fingerprint = makeFingerprint(request);
        const lossCount = Math.max(
            this.table.countLosses(fingerprint, this.nowMs()),
            this.nowMs() - this.sharedAtMs < lossWindowMs ? this.shared.get(fingerprint) ?? 0 : 0,
        );
        if (lossCount >= lossesBeforeRefusal) {
            return SuspectTreatment.refused;
        }
        return lossCount >= lossesBeforeSingleAttempt ? SuspectTreatment.singleAttempt : SuspectTreatment.normal;
    }

    /** Checks whether an instance that gave no response was lost; a connection that was reset alone does not show it. */
    async recordNoResponse(request: SuspectableRequest, upstreamState: UpstreamState): Promise<void> {
        const { checkConnection, isPartitionSuspected, clock, logger, metrics, onNews } = this.options;
        const { id, address, bornAtMs, service } = upstreamState.registration;
        if (await checkConnection(address, connectTimeoutMs) || isPartitionSuspected()) {
            return;
        }
        const fingerprint = makeFingerprint(request);
        const nowMs = clock.monotonicMs();
        if (this.table.add({ fingerprint, service, upstreamId: id, incarnation: bornAtMs }, nowMs)) {
            this.recentLosses.push({ value: [fingerprint, id, bornAtMs], atMs: nowMs });
            metrics.suspectedCrashes.inc({ service });
            const losses = this.table.countLosses(fingerprint, nowMs);
            logger.info("an instance was lost with a request", { upstream: id, fingerprint, losses });
            onNews();
        }
    }

    /** Records that an instance answered a request, which then is no suspect. */
    recordSurvived(request: SuspectableRequest): void {
        if (this.table.size === 0 && this.shared.size === 0) {
            return;
        }
        const fingerprint = makeFingerprint(request);
        if (this.table.clear(fingerprint) || this.shared.has(fingerprint)) {
            this.shared = new Map([...this.shared].filter(([other]) => other !== fingerprint));
            this.recentLosses = this.recentLosses.filter(({ value: [other] }) => other !== fingerprint);
            this.recentSurvived.push({ value: fingerprint, atMs: this.nowMs() });
            this.options.onNews();
        }
    }

    /** Returns what the control VM should know; undefined if there is nothing. */
    describe(): SuspectReport | undefined {
        const nowMs = this.nowMs();
        this.table.tick(nowMs);
        this.recentLosses = this.recentLosses.filter(({ atMs }) => nowMs - atMs < reportTtlMs);
        this.recentSurvived = this.recentSurvived.filter(({ atMs }) => nowMs - atMs < reportTtlMs);
        return this.recentLosses.length + this.recentSurvived.length === 0 ? undefined : {
            losses: this.recentLosses.map(({ value }) => value),
            survived: this.recentSurvived.map(({ value }) => value),
        };
    }

    private nowMs(): number {
        return this.options.clock.monotonicMs();
    }
}

function makeFingerprint({ service, method, path, body }: SuspectableRequest): Fingerprint {
    const bodyHash = body === undefined || body.length === 0
        ? undefined
        : createHash("sha256").update(body).digest("base64");
    return fingerprintOf({ service, method, path, bodyHash });
}
