import type { Clock } from "../core/clock.js";
import { ControlError } from "../core/errors.js";
import type { CatalogueLog } from "./catalogueLog.js";
import type { EntryTable } from "./entryTable.js";
import { GroupTime } from "./groupTime.js";
import type { ChangeResult, EntryGroup } from "./messages.js";
import {
    type ApplyAnswer,
    ApplyOutcome,
    type AuditAnswer,
    type AuditFilter,
    type ConfigSyncAnswer,
    type ConfigSyncParams,
    OperatorMethod,
    type ShowAnswer,
    type StatusAnswer,
} from "./operatorApi.js";
import { findChangeProblem, parseApplyParams } from "./validation.js";

const defaultEntryWaitMs = 4000;
const confirmTimeoutMs = 2000;

/** Sender of an operator's call. */
export interface OperatorCaller {
    readonly operator: string;
    /** Remote address of the call. */
    readonly from: string;
}

/** Answers calls of operators and entries; changes and confirmed reads only on the leader. */
export class CatalogueService {
    private readonly groupTime: GroupTime;

    constructor(
        private readonly log: CatalogueLog,
        private readonly entries: EntryTable,
        private readonly clock: Clock,
        /** Maximum time that a call waits for the entries. */
        private readonly entryWaitMs = defaultEntryWaitMs,
    ) {
        this.groupTime = new GroupTime(log.state);
        this.observeTime();
    }

    /** Observes the group time; must be called regularly, also when this VM does not lead. */
    observeTime(): void {
        this.groupTime.observe(this.clock.monotonicMs());
    }

    /** Answers an operator's call. Throws ControlError when it cannot be answered at the moment. */
    async answer(method: string, params: unknown, caller: OperatorCaller): Promise<unknown> {
        switch (method) {
            case OperatorMethod.apply:
                return this.apply(params, caller);
            case OperatorMethod.show:
                return this.show();
            case OperatorMethod.history:
                return this.listAudit({ ...params as AuditFilter, outcome: ApplyOutcome.accepted });
            case OperatorMethod.audit:
                return this.listAudit(params as AuditFilter ?? {});
            case OperatorMethod.status:
                return this.describeStatus();
            default:
                throw new ControlError("method-unknown", { method });
        }
    }

    /** Answers `config.sync`. The quorum round that confirms the answer starts after the call. */
    async sync(params: ConfigSyncParams): Promise<ConfigSyncAnswer> {
        this.entries.record(params, this.clock.monotonicMs());
        const isQuorumConfirmed = this.log.isLeader && await this.log.confirmLeadership();
        const catalogue = this.log.state.current;
        return {
            isQuorumConfirmed,
            revision: catalogue.revision,
            catalogue: catalogue.revision > params.revision ? catalogue : undefined,
            leaderAddress: this.log.leaderAddress,
        };
    }

    private async apply(rawParams: unknown, caller: OperatorCaller): Promise<ApplyAnswer> {
        const { params, problem } = parseApplyParams(rawParams);
        if (params === undefined) {
            return this.toAnswer(ApplyOutcome.rejected, this.log.state.revision, problem);
        }
        const { changeId, baseRevision, operation } = params;
        const known = this.log.state.findResult(changeId, operation);
        if (known !== undefined) {
            return this.awaitEntries(known);
        }
        if (baseRevision > this.log.state.revision) {
            return this.answerFutureBase(baseRevision);
        }
        const proposalOutcome = await this.log.propose({
            changeId,
            baseRevision,
            operation,
            ...caller,
            proposedAtMs: this.clock.now().getTime(),
            groupTimeMs: this.groupTime.read(this.clock.monotonicMs()),
            problem: findChangeProblem(this.log.state.current, operation),
        });
        this.observeTime();
        switch (proposalOutcome.kind) {
            case "applied":
                return this.awaitEntries(proposalOutcome.result);
            case "refused":
                throw new ControlError("leader-unknown");
            case "unknown":
                return this.toAnswer(
                    ApplyOutcome.unknown,
                    this.log.state.revision,
                    "leadership was lost while the change waited; send the same command again to settle it",
                );
        }
    }

    /** Records nothing, so that the change can be resent once its base revision is current. */
    private async answerFutureBase(baseRevision: number): Promise<ApplyAnswer> {
        await this.requireLeadership();
        const { revision } = this.log.state;
        return this.toAnswer(
            ApplyOutcome.conflict,
            revision,
            `the base revision ${baseRevision} is not in force; the current one is ${revision}`,
        );
    }

    /** Waits up to `entryWaitMs` until the entries hold an accepted change. */
    private async awaitEntries(result: ChangeResult): Promise<ApplyAnswer> {
        if (result.outcome !== ApplyOutcome.accepted) {
            return { ...this.toAnswer(result.outcome, result.revision, result.detail), winner: result.winner };
        }
        const groups = result.requiredGroups ?? this.log.state.listEntryGroups();
        const isHeld = await this.waitUntilHeld(groups, result.revision);
        const detail = isHeld ? "" : "durable; not yet held by a majority of the entries of each region";
        return this.toAnswer(isHeld ? ApplyOutcome.accepted : ApplyOutcome.pending, result.revision, detail);
    }

    private waitUntilHeld(groups: readonly EntryGroup[], revision: number): Promise<boolean> {
        return new Promise(resolve => {
            const finish = (isHeld: boolean) => {
                clearTimeout(timer);
                unwatch();
                resolve(isHeld);
            };
            const check = () => this.entries.isHeldByMajorities(groups, revision) && finish(true);
            const unwatch = this.entries.watch(check);
            const timer = setTimeout(() => finish(false), this.entryWaitMs);
            check();
        });
    }

    private toAnswer(outcome: ApplyOutcome, revision: number, detail: string): ApplyAnswer {
        const listed = this.log.state.listEntryGroups().flatMap(group => group.entryIds);
        return {
            outcome,
            revision,
            detail,
            winner: undefined,
            entriesHolding: this.entries.countHolding(listed, revision),
            entriesTotal: listed.length,
        };
    }

    private async show(): Promise<ShowAnswer> {
        await this.requireLeadership();
        return { catalogue: this.log.state.current };
    }

    private async listAudit(filter: AuditFilter): Promise<AuditAnswer> {
        await this.requireLeadership();
        return { records: this.log.state.listAudit(filter) };
    }

    private async requireLeadership(): Promise<void> {
        if (!await this.log.confirmLeadership()) {
            throw new ControlError("leader-unconfirmed", { timeoutMs: confirmTimeoutMs });
        }
    }

    private async describeStatus(): Promise<StatusAnswer> {
        const isQuorumConfirmed = this.log.isLeader && await this.log.confirmLeadership();
        const nowMs = this.clock.monotonicMs();
        const catalogue = this.log.state.current;
        return {
            answeredBy: this.log.selfId,
            isQuorumConfirmed,
            revision: catalogue.revision,
            voters: this.log.listVoters(),
            entries: this.entries.listStatus(catalogue, nowMs),
            upstreams: this.entries.listUpstreams(nowMs),
        };
    }
}
