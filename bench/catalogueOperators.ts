import type { EntryVm } from "../src/catalogue/model.js";
import type { ApplyAnswer, ApplyParams, ChangeOperation } from "../src/control/operatorApi.js";
import type { RandomSource } from "../src/core/random.js";
import { benchService } from "./benchCatalogue.js";
import type { ControlGroup, ControlVm } from "./controlGroup.js";

const pollMs = 5;
const resendDelayMs = 100;
const sendTimeoutMs = 30_000;
const firstUniqueLimit = 1000;

/** A change and the answers that its operator received. */
export interface SentChange {
    readonly changeId: string;
    readonly baseRevision: number;
    /** Value of `maxInFlight` that identifies the change in the catalogue. */
    readonly uniqueLimit: number;
    sends: number;
    /** Answers other than `unknown`, in order. */
    readonly answers: ApplyAnswer[];
    /** When the first `accepted` answer arrived, on the monotonic clock. */
    acceptedAtMs: number | undefined;
}

/** Concurrent operators that send each change again until its outcome is final. */
export class CatalogueOperators {
    readonly changes: SentChange[] = [];
    private isStopped = false;

    constructor(
        private readonly group: ControlGroup,
        private readonly random: RandomSource,
        private readonly entryVms: readonly EntryVm[],
    ) {}

    get acceptedCount(): number {
        return this.changes.filter(change => change.acceptedAtMs !== undefined).length;
    }

    /** Declares the entry VMs and one service. */
    async declare(): Promise<SentChange> {
        const change = this.makeChange("declare", 0);
        const service = benchService("orders");
        const limits = { ...service.limits, maxInFlight: change.uniqueLimit };
        const declarations = {
            services: [{ ...service, limits }],
            entryVms: this.entryVms,
            runbookCommands: [],
        };
        return this.send(change, { kind: "declare", declarations });
    }

    /** Sends changes one after the other until `stop` is called. */
    async run(name: string): Promise<void> {
        while (!this.isStopped) {
            const revision = await this.readRevision();
            if (revision !== undefined) {
                await this.changeLimit(name, revision);
            }
        }
    }

    stop(): void {
        this.isStopped = true;
    }

    /** Sends `count` changes, each as soon as the previous one is durable, and waits for the answers to all. */
    async pipeline(count: number): Promise<readonly SentChange[]> {
        const pending: Promise<SentChange>[] = [];
        let revision = await this.readRevision() ?? 0;
        for (let done = 0; done < count; done++) {
            pending.push(this.changeLimit("pipeline", revision));
            const nextRevision = revision + 1;
            while (revision < nextRevision) {
                await new Promise(resolve => setTimeout(resolve, pollMs));
                revision = await this.readRevision() ?? revision;
            }
        }
        return Promise.all(pending);
    }

    private changeLimit(name: string, baseRevision: number): Promise<SentChange> {
        const change = this.makeChange(name, baseRevision);
        return this.send(change, {
            kind: "set-service-limit",
            service: "orders",
            limit: "maxInFlight",
            value: change.uniqueLimit,
        });
    }

    private makeChange(name: string, baseRevision: number): SentChange {
        const uniqueLimit = firstUniqueLimit + this.changes.length;
        const changeId = `${name}-${uniqueLimit}`;
        const change = { changeId, baseRevision, uniqueLimit, sends: 0, answers: [], acceptedAtMs: undefined };
        this.changes.push(change);
        return change;
    }

    private async send(change: SentChange, operation: ChangeOperation): Promise<SentChange> {
        const params: ApplyParams = { changeId: change.changeId, baseRevision: change.baseRevision, operation };
        const endMs = performance.now() + sendTimeoutMs;
        while (performance.now() < endMs) {
            change.sends++;
            const answer = await this.group.apply(this.pickVm(), params).catch(() => undefined);
            if (answer !== undefined && answer.outcome !== "unknown") {
                change.answers.push(answer);
            }
            if (answer?.outcome === "accepted") {
                change.acceptedAtMs ??= performance.now();
            }
            if (answer !== undefined && answer.outcome !== "unknown" && answer.outcome !== "pending") {
                break;
            }
            await new Promise(resolve => setTimeout(resolve, resendDelayMs));
        }
        return change;
    }

    private async readRevision(): Promise<number | undefined> {
        const answer = await this.group.show(this.pickVm()).catch(() => undefined);
        return answer?.catalogue.revision;
    }

    private pickVm(): ControlVm {
        return this.group.vms[this.random.nextInt(this.group.vms.length)];
    }
}
