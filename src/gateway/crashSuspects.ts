import { createHash } from "node:crypto";
import type { Clock } from "../core/clock.js";
import { BodyIdentity } from "../entry/bodyIdentity.js";
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
    /** A body that is not buffered is recognized once its identity is known; undefined without a body. */
    readonly body: Buffer | BodyIdentity | undefined;
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

    /**
     * Returns whether the identity of a body must be known before it is sent, since instances were lost with bodies that were
     * sent to the same path.
     */
    isIdentityNeeded(request: SuspectableRequest): boolean {
        return request.body instanceof BodyIdentity && this.hasLosses &&
            (this.countLosses(fingerprintOfPath(request)) > 0 ||
                this.countLosses(fingerprintOfEarlierVersions(request)) > 0);
    }

    /** Returns how a request is treated. */
    treat(request: SuspectableRequest): SuspectTreatment {
        const fingerprint = this.hasLosses ? makeFingerprint(request) : undefined;
        const lossCount = fingerprint === undefined ? 0 : this.countLosses(fingerprint);
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
        const record = (fingerprint: Fingerprint) => {
            const nowMs = clock.monotonicMs();
            const isNew = this.table.add({ fingerprint, service, upstreamId: id, incarnation: bornAtMs }, nowMs);
            if (isNew) {
                this.recentLosses.push({ value: [fingerprint, id, bornAtMs], atMs: nowMs });
                const losses = this.table.countLosses(fingerprint, nowMs);
                logger.info("an instance was lost with a request", { upstream: id, fingerprint, losses });
                onNews();
            }
            return isNew;
        };
        const { body } = request;
        if (!(body instanceof BodyIdentity)) {
            metrics.suspectedCrashes.inc({ service }, record(fingerprintOfBuffered(request, body)) ? 1 : 0);
            return;
        }
        metrics.suspectedCrashes.inc({ service }, record(fingerprintOfPath(request)) ? 1 : 0);
        // Its caller may still be sending it.
        record(fingerprintOfStreamed(request, await body.whenKnown));
    }

    /** Records that an instance answered a request; equal ones, and no others, then are no suspects. */
    recordSurvived(request: SuspectableRequest): void {
        const fingerprint = this.hasLosses ? makeFingerprint(request) : undefined;
        if (fingerprint === undefined) {
            return;
        }
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

    private get hasLosses(): boolean {
        return this.table.size > 0 || this.shared.size > 0;
    }

    /** Returns how many instances were lost with requests of a fingerprint, as this entry or the control VM knows. */
    private countLosses(fingerprint: Fingerprint): number {
        const nowMs = this.nowMs();
        return Math.max(
            this.table.countLosses(fingerprint, nowMs),
            nowMs - this.sharedAtMs < lossWindowMs ? this.shared.get(fingerprint) ?? 0 : 0,
        );
    }

    private nowMs(): number {
        return this.options.clock.monotonicMs();
    }
}

/** Returns undefined for a body whose identity is not known. */
function makeFingerprint(request: SuspectableRequest): Fingerprint | undefined {
    const { body } = request;
    if (!(body instanceof BodyIdentity)) {
        return fingerprintOfBuffered(request, body);
    }
    return body.value === undefined ? undefined : fingerprintOfStreamed(request, body.value);
}

function fingerprintOfBuffered({ service, method, path }: SuspectableRequest, body: Buffer | undefined): Fingerprint {
    const bodyHash = body === undefined || body.length === 0
        ? undefined
        : createHash("sha256").update(body).digest("base64");
    return fingerprintOf({ service, method, path, bodyHash });
}

function fingerprintOfStreamed({ service, method, path }: SuspectableRequest, identity: string): Fingerprint {
    return fingerprintOf({ service, method, path, bodyHash: `streamed ${identity}` });
}

/** Fingerprint under which the losses with all streamed bodies of a path are counted. */
function fingerprintOfPath({ service, method, path }: SuspectableRequest): Fingerprint {
    return fingerprintOf({ service, method, path, bodyHash: "streamed" });
}

/** Fingerprint that entries of earlier versions give to all streamed bodies of a path. */
function fingerprintOfEarlierVersions({ service, method, path }: SuspectableRequest): Fingerprint {
    return fingerprintOf({ service, method, path, bodyHash: undefined });
}
