import type { ControlLogger } from "../control/options.js";
import type { PeerLinks } from "../control/peerLinks.js";
import { type Clock, readInstant } from "../core/clock.js";
import type { UpstreamId } from "../core/ids.js";
import type { QuotaCoordinator } from "../quotas/quotaCoordinator.js";
import type { QuotaReport } from "../quotas/quotaMessages.js";
import type { SuspectExchange } from "../suspects/suspectExchange.js";
import type { SuspectReport } from "../suspects/suspectMessages.js";
import type { LimitCoordinator } from "./limitCoordinator.js";
import { DirectoryMethod, type HeartbeatReport, type HeartbeatReportAnswer } from "./messages.js";

/** Timeout of a report to the leader; reports are sent every second. */
const reportTimeoutMs = 900;

/** Dependencies of LeaderReports. */
export interface LeaderReportsOptions {
    readonly log: { readonly leaderAddress: string | undefined; };
    readonly links: Pick<PeerLinks, "call">;
    readonly clock: Clock;
    readonly logger: ControlLogger;
    readonly limits: Pick<LimitCoordinator, "buildReport" | "applyAnswer">;
    readonly quotas: Pick<QuotaCoordinator, "buildReport" | "applyAnswer">;
    readonly suspects: Pick<SuspectExchange, "buildReport" | "applyAnswer">;
    /** Returns the number of entries attached to this control VM. */
    readonly countAttached: () => number;
    /** Receives the number of entries attached to all control VMs; undefined if the leader does not know it. */
    readonly onEntryTotal: (total: number | undefined) => void;
}

/** Omits absent fields, since an undefined one takes bytes. */
function toFields(
    quotas: QuotaReport | undefined,
    suspects: SuspectReport | undefined,
): Pick<HeartbeatReport, "quotas" | "suspects"> {
    return { ...quotas === undefined ? {} : { quotas }, ...suspects === undefined ? {} : { suspects } };
}

/** Reports of a control VM to the leader: received heartbeats, attached entries, and the rate limits that they saw. */
export class LeaderReports {
    private hasLastSucceeded = true;
    /** Whether a report of news is under way, and whether another one must follow it. */
    private isSendingNews = false;
    private mustSendAgain = false;

    constructor(private readonly options: LeaderReportsOptions) {}

    /** Reports to the leader, if it is another VM; `ids` are instances that sent heartbeats since the last report. */
    async send(ids: readonly UpstreamId[]): Promise<void> {
        const { log: { leaderAddress }, links, clock, logger, limits, quotas, suspects, countAttached, onEntryTotal } =
            this.options;
        if (leaderAddress === undefined) {
            return;
        }
        const limitReport = limits.buildReport();
        const quotaReport = quotas.buildReport();
        const suspectReport = suspects.buildReport();
        const params: HeartbeatReport = {
            ids,
            entryCount: countAttached(),
            ...limitReport,
            ...toFields(quotaReport, suspectReport),
        };
        const sentAt = readInstant(clock);
        try {
            const answer = await links.call(leaderAddress, DirectoryMethod.reportHeartbeats, params, reportTimeoutMs) as
                | HeartbeatReportAnswer
                | null;
            onEntryTotal(answer?.entryTotal ?? undefined);
            limits.applyAnswer(limitReport, answer?.limits ?? undefined, sentAt);
            quotas.applyAnswer(quotaReport, answer?.quotas ?? undefined, sentAt);
            suspects.applyAnswer(suspectReport, answer?.suspects ?? undefined);
            this.hasLastSucceeded = true;
        }
        catch (error) {
            quotas.applyAnswer(quotaReport, undefined, sentAt);
            if (this.hasLastSucceeded) {
                logger.info("report to the leader failed", { leaderAddress, reason: (error as Error).message });
            }
            this.hasLastSucceeded = false;
        }
    }

    /** Reports at once, such as that a limit begins or ends; what is observed during the call is reported after it. */
    sendNews(): void {
        this.mustSendAgain = this.isSendingNews;
        if (this.isSendingNews) {
            return;
        }
        this.isSendingNews = true;
        void this.send([]).then(() => {
            this.isSendingNews = false;
            if (this.mustSendAgain) {
                this.sendNews();
            }
        });
    }
}
