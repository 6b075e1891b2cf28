import type { Catalogue, EntryVm } from "../src/catalogue/model.js";
import type { ConfigSyncAnswer, ConfigSyncParams } from "../src/control/operatorApi.js";
import { ChannelClient } from "../src/transport/channel.js";
import { benchSecret } from "./benchCatalogue.js";

const syncIntervalMs = 500;
const syncTimeoutMs = 1000;
const maxConfirmationAgeMs = 3000;

/** When an entry came to hold a revision. */
export interface HeldRevision {
    readonly revision: number;
    readonly atMs: number;
    /** Value of the bench service's `maxInFlight`, which names the change. */
    readonly uniqueLimit: number;
}

/** Entry of the catalogue benchmark; it syncs as an entry does and records what it holds. */
export class SimulatedEntry {
    readonly heldRevisions: HeldRevision[] = [];
    readonly violations: string[] = [];
    /** Which control VM led, and when a quorum confirmed it, by the wall clock. */
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
            // A new revision is reported at once, so that control can count it.
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
            // The next control VM may know the leader.
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
            this.violations.push(`${this.id}: a quorum confirmed ${answer.revision} while ${this.revision} is held`);
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
