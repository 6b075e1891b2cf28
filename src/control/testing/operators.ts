import type { ChangeCommand, ChangeResult } from "../messages.js";
import { ApplyOutcome } from "../operatorApi.js";
import type { FakeGroup, FakeVm } from "./fakeGroup.js";

const resendIntervalMs = 400;
const attemptLimit = 80;

/** Operation of an operator, from its first attempt to its answer. */
export interface Operation {
    readonly kind: "change" | "read";
    readonly changeId: string;
    readonly baseRevision: number;
    readonly invokedAtMs: number;
    endedAtMs: number | undefined;
    outcome: ApplyOutcome | undefined;
    /** Revision observed in the answer. */
    revision: number;
    /** Change that made this revision, if the answer shows it. */
    observedChangeId: string | undefined;
}

/** Operator that reads and changes the catalogue, and resends each operation until it is answered. */
export class FakeOperator {
    readonly operations: Operation[] = [];
    private current: Operation | undefined;
    private lastSentMs = -Infinity;
    private attempts = 0;
    private knownRevision = 0;

    constructor(private readonly group: FakeGroup, private readonly name: string) {}

    step(): void {
        if (this.current === undefined) {
            this.startOperation();
        }
        if (this.current !== undefined && this.group.nowMs - this.lastSentMs >= resendIntervalMs) {
            this.send(this.current);
        }
    }

    private startOperation(): void {
        const { random, nowMs } = this.group;
        if (random.nextUnit() > 0.2) {
            return;
        }
        const kind = random.nextUnit() < 0.35 ? "read" : "change";
        // Some changes are based on an outdated revision.
        const baseRevision = Math.max(0, this.knownRevision - (random.nextUnit() < 0.1 ? 1 : 0));
        this.current = {
            kind,
            changeId: `${this.name}-${this.operations.length}`,
            baseRevision,
            invokedAtMs: nowMs,
            endedAtMs: undefined,
            outcome: undefined,
            revision: 0,
            observedChangeId: undefined,
        };
        this.operations.push(this.current);
        this.attempts = 0;
        this.lastSentMs = -Infinity;
    }

    private send(operation: Operation): void {
        const { group } = this;
        this.lastSentMs = group.nowMs;
        this.attempts++;
        if (this.attempts > attemptLimit) {
            this.current = undefined;
            return;
        }
        // A partitioned VM may still report itself as the leader.
        const leaders = group.vms.filter(vm => vm.replica?.role === "leader");
        const isRandomVm = leaders.length === 0 || group.random.nextUnit() < 0.3;
        const candidates = isRandomVm ? group.vms : leaders;
        const vm = candidates[group.random.nextInt(candidates.length)];
        const isSubmitted = operation.kind === "read" ? this.sendRead(vm, operation) : this.sendChange(vm, operation);
        if (!isSubmitted) {
            this.scheduleRetry();
        }
    }

    private sendRead(vm: FakeVm, operation: Operation): boolean {
        return this.group.submitRequest(vm, requestId => ({ kind: "read", requestId }), (answer, answeringVm) => {
            if (answer.kind === "confirmed") {
                const { revision } = answeringVm.machine;
                const lastRecord = answeringVm.machine.listAudit({ outcome: ApplyOutcome.accepted, limit: 1 }).at(0);
                this.finish(operation, undefined, revision, lastRecord?.changeId);
            }
            else {
                this.scheduleRetry();
            }
        });
    }

    private sendChange(vm: FakeVm, operation: Operation): boolean {
        return this.group.proposeChange(vm, this.toCommand(operation), answer => {
            if (answer.kind === "applied" && answer.result !== undefined) {
                const { outcome, revision } = answer.result as ChangeResult;
                const observedId = outcome === ApplyOutcome.accepted ? operation.changeId : undefined;
                this.finish(operation, outcome, revision, observedId);
            }
            else {
                this.scheduleRetry();
            }
        });
    }

    private toCommand(operation: Operation): ChangeCommand {
        const command = { name: operation.changeId, operation: "status", arguments: [] };
        return {
            changeId: operation.changeId,
            baseRevision: operation.baseRevision,
            operation: {
                kind: "declare",
                declarations: { services: [], entryVms: [], runbookCommands: [command] },
            },
            operator: this.name,
            from: "127.0.0.1",
            proposedAtMs: 0,
            groupTimeMs: this.group.nowMs,
            problem: undefined,
        };
    }

    private finish(
        operation: Operation,
        outcome: ApplyOutcome | undefined,
        revision: number,
        observedChangeId: string | undefined,
    ): void {
        this.knownRevision = Math.max(this.knownRevision, revision);
        if (operation.endedAtMs === undefined) {
            Object.assign(operation, { endedAtMs: this.group.nowMs, outcome, revision, observedChangeId });
        }
        if (this.current === operation) {
            this.current = undefined;
        }
    }

    private scheduleRetry(): void {
        this.lastSentMs = this.group.nowMs - resendIntervalMs + 100;
    }
}
