import type { Clock } from "../core/clock.js";
import type { LeavingInstance } from "../directory/messages.js";
import { RegistrationState } from "../directory/model.js";
import type { GatewayMetrics } from "../metrics/gatewayMetrics.js";
import type { ResponseHead } from "../requests/model.js";
import type { Dialect } from "./dialect.js";
import type { GatewayLogger } from "./options.js";
import type { MessageKind } from "./upstreamLimits.js";
import type { UpstreamState, UpstreamStateTable } from "./upstreamStateTable.js";

/** Dependencies of UpstreamStatements. */
export interface UpstreamStatementsOptions {
    readonly upstreamTable: UpstreamStateTable;
    readonly dialect: Dialect;
    readonly clock: Clock;
    readonly logger: GatewayLogger;
    readonly metrics: Pick<GatewayMetrics, "leavingUpstreams" | "backOffs">;
    /** Called when an upstream announced that it leaves, which the control VM should learn at once. */
    readonly onLeaving: () => void;
}

/** Applies what responses state about the availability of their instance: that it leaves, or that it wants a pause. */
export class UpstreamStatements {
    constructor(private readonly options: UpstreamStatementsOptions) {}

    /** Records the head of an authentic response of an upstream. */
    recordHead(upstreamState: UpstreamState, head: ResponseHead, kind: MessageKind): void {
        const { dialect } = this.options;
        const backOffMs = dialect.readBackOffMs(head);
        if (backOffMs !== undefined && backOffMs > 0) {
            this.recordBackOff(upstreamState, backOffMs, kind);
        }
        if (dialect.isLeaving(head) && !upstreamState.isLeaving) {
            this.recordLeaving(upstreamState, kind);
        }
    }

    /** Lists the incarnations that announced to this entry that they leave and that the directory shows as ready. */
    listUnreported(): readonly LeavingInstance[] {
        return this.options.upstreamTable.list()
            .filter(({ isLeaving, registration: { state, bornAtMs } }) =>
                // The directory could not tell a later incarnation from one without a start time.
                isLeaving && state === RegistrationState.ready && bornAtMs !== 0
            )
            .map(({ registration: { id, bornAtMs } }) => ({ id, bornAtMs }));
    }

    private recordLeaving(upstreamState: UpstreamState, kind: MessageKind): void {
        const { upstreamTable, logger, metrics, onLeaving } = this.options;
        const { id, bornAtMs, service } = upstreamState.registration;
        upstreamTable.markLeaving(upstreamState);
        metrics.leavingUpstreams.inc({ service });
        logger.info("upstream announces that it leaves", { upstream: id, bornAtMs, in: kind });
        onLeaving();
    }

    private recordBackOff(upstreamState: UpstreamState, backOffMs: number, kind: MessageKind): void {
        const { clock, logger, metrics } = this.options;
        const nowMs = clock.monotonicMs();
        const { id, service } = upstreamState.registration;
        // Requests in flight when a back-off begins can extend it; only its begin is logged.
        if (upstreamState.backOffUntilMs <= nowMs) {
            metrics.backOffs.inc({ service });
            logger.info("upstream asks for a pause", { upstream: id, backOffMs, in: kind });
        }
        upstreamState.backOffUntilMs = Math.max(upstreamState.backOffUntilMs, nowMs + backOffMs);
    }
}
