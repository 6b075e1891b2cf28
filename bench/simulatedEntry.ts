import type { Catalogue, EntryVm } from "../src/catalogue/model.js";
import type { ConfigSyncAnswer, ConfigSyncParams } from "../src/control/operatorApi.js";
import { ChannelClient } from "../src/transport/channel.js";
import { benchSecret } from "./benchCatalogue.js";

const syncIntervalMs = 500;
const syncTimeoutMs = 1000;
const maxConfirmationAgeMs = 3000;

/** A revision that an entry holds, and when it arrived. */
export interface HeldRevision {
    readonly revision: number;
    readonly atMs: number;
    /** `maxInFlight` of the service; each change sets another value, so it identifies the change. */
    readonly uniqueLimit: number;
}

/** Simulated entry VM: polls `config.sync` as an entry does and records the revisions it receives. */
export class SimulatedEntry {
    readonly heldRevisions: HeldRevision[] = [];
    readonly violations: string[] = [];
    /** Wall-clock times of confirmations by a quorum, with the control VM that answered as leader. */
    readonly confirmations: { readonly atMs: number; readonly leaderAddress: string; }[] = [];
    private readonly clients = new Map<string, ChannelClient>();
    private controlAddress: string;
    private confirmedAtMs = -Infinity;
    private isClosed = false;
    private timer: NodeJS.Timeout | undefined;

    constructor(private readonly vm: EntryVm, private readonly controlAddresses: readonly string[]) {
        controlAddresses.forEach(address =>
            this.clients.set(address, new ChannelClient(address, { selfId: vm.id, secret: benchSecret }))
        );
        [this.controlAddress] = controlAddresses;
        void this.run();
    }

    get id(): string {
        return this.vm.id;
    }

    get revision(): number {
        return this.heldRevisions.at(-1)?.revision ?? 0;
    }

    /** Returns whether the entry may serve: a quorum confirmed its revision within the last 3 s. */
    get isServing(): boolean {
        return performance.now() - this.confirmedAtMs <= maxConfirmationAgeMs;
    }

    close(): void {
        this.isClosed = true;
        clearTimeout(this.timer);
        this.clients.forEach(client => client.close());
    }

    private async run(): Promise<void> {
        const isNew = await this.sync();
        if (!this.isClosed) {
            // Reports a new revision immediately, so that control can count this entry as holding it.
            this.timer = setTimeout(() => void this.run(), isNew ? 0 : syncIntervalMs);
        }
    }

    private async sync(): Promise<boolean> {
        const sentAtMs = performance.now();
        try {
            const client = this.clients.get(this.controlAddress) as ChannelClient;
            const answer = await client.call("config.sync", this.makeParams(), syncTimeoutMs) as ConfigSyncAnswer;
            return this.applyAnswer(answer, sentAtMs);
        }
        catch {
            // Another control VM may be the leader or know it.
            this.selectControl(undefined);
            return false;
        }
    }

    private applyAnswer(answer: ConfigSyncAnswer, sentAtMs: number): boolean {
        const isNew = answer.catalogue !== undefined && answer.catalogue.revision > this.revision;
        if (answer.catalogue !== undefined && isNew) {
            this.recordRevision(answer.catalogue);
        }
        if (answer.isQuorumConfirmed && answer.revision < this.revision) {
            this.violations.push(
                `${this.id}: a quorum confirmed revision ${answer.revision} although revision ${this.revision} is held`,
            );
        }
        if (answer.isQuorumConfirmed) {
            this.confirmedAtMs = sentAtMs;
            this.confirmations.push({ atMs: Date.now(), leaderAddress: this.controlAddress });
        }
        else {
            this.selectControl(answer.leaderAddress);
        }
        return isNew;
    }

    private recordRevision(catalogue: Catalogue): void {
        const uniqueLimit = Object.values(catalogue.services)[0]?.limits.maxInFlight ?? 0;
        this.heldRevisions.push({ revision: catalogue.revision, atMs: Date.now(), uniqueLimit });
    }

    private selectControl(leaderAddress: string | undefined): void {
        const position = this.controlAddresses.indexOf(this.controlAddress);
        const next = this.controlAddresses[(position + 1) % this.controlAddresses.length];
        this.controlAddress = leaderAddress !== undefined && this.clients.has(leaderAddress) ? leaderAddress : next;
    }

    private makeParams(): ConfigSyncParams {
        return {
            entryId: this.vm.id,
            availabilityZone: this.vm.availabilityZone,
            region: this.vm.region,
            incarnation: 1,
            revision: this.revision,
            isDraining: false,
            isConfirmed: this.isServing,
            measuringSpentMsPerSecond: {},
            upstreams: [],
            problems: [],
        };
    }
}
