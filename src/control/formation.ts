import type { CatalogueHost } from "./catalogueHost.js";
import type { Member } from "./messages.js";
import type { PeerLinks } from "./peerLinks.js";

const stepIntervalMs = 300;
const callTimeoutMs = 1000;

/** Channel methods by which a VM finds and joins its group. */
export const FormationMethod = {
    hello: "replication.hello",
    join: "replication.join",
} as const;

/** Answer of `replication.hello`. */
export interface HelloAnswer {
    readonly id: string;
    readonly hasGroup: boolean;
}

/**
 * Bootstraps a group or joins an existing one. The first VM by name bootstraps a group when all others answer that they
 * have none. A VM that is not a member, for example after the loss of its disk, or that may have been removed while it was
 * silent, asks the others to let it join.
 */
export class Formation {
    private timer: NodeJS.Timeout | undefined;
    private isClosed = false;

    constructor(
        private readonly host: CatalogueHost,
        private readonly links: PeerLinks,
        private readonly self: Member,
        /** The other VMs in the settings; their ids are VM names, not identities. */
        private readonly others: readonly Member[],
        private readonly isFirst: boolean,
    ) {}

    /** Runs one step and schedules the next one. */
    async start(): Promise<void> {
        await this.step();
        if (!this.isClosed) {
            this.timer = setTimeout(() => void this.start(), stepIntervalMs);
        }
    }

    close(): void {
        this.isClosed = true;
        clearTimeout(this.timer);
    }

    /** Answers a call of another VM. */
    answer(method: string, params: unknown): HelloAnswer {
        const member = params as Member;
        this.links.recordAddress(member);
        const isConfigured = this.others.some(other => other.peerAddress === member.peerAddress);
        if (method === FormationMethod.join && isConfigured) {
            this.host.submit({ kind: "join", member });
        }
        return { id: this.self.id, hasGroup: this.hasGroup() };
    }

    private hasGroup(): boolean {
        return this.host.members.voters.length > 0;
    }

    private async step(): Promise<void> {
        if (!this.host.needsToJoin) {
            return;
        }
        const method = this.hasGroup() ? FormationMethod.join : FormationMethod.hello;
        const answers = await Promise.all(this.others.map(other => this.callPeer(other.peerAddress, method)));
        const isGroupFound = answers.some(answer => answer?.hasGroup);
        if (isGroupFound && method === FormationMethod.hello) {
            await Promise.all(this.others.map(other => this.callPeer(other.peerAddress, FormationMethod.join)));
        }
        const isGroupAbsent = answers.every(answer => answer?.hasGroup === false);
        if (this.isFirst && isGroupAbsent && !this.hasGroup() && !this.isClosed) {
            this.bootstrap(answers as readonly HelloAnswer[]);
        }
    }

    private bootstrap(answers: readonly HelloAnswer[]): void {
        const otherVoters = this.others.map((other, position) => ({
            id: answers[position].id,
            peerAddress: other.peerAddress,
        }));
        this.host.submit({ kind: "found", members: { voters: [this.self, ...otherVoters], learners: [] } });
        this.host.run();
    }

    private async callPeer(address: string, method: string): Promise<HelloAnswer | undefined> {
        try {
            const answer = await this.links.call(address, method, this.self, callTimeoutMs) as HelloAnswer | null;
            if (answer === null) {
                return undefined;
            }
            // A VM without a member list needs this address to answer the first messages of the leader.
            this.links.recordAddress({ id: answer.id, peerAddress: address });
            return answer;
        }
        catch {
            // An unreachable VM is called again in the next step.
            return undefined;
        }
    }
}
