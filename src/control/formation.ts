import type { CatalogueHost } from "./catalogueHost.js";
import type { Member } from "./messages.js";
import type { PeerLinks } from "./peerLinks.js";

const stepMs = 300;
const callTimeoutMs = 1000;

/** Methods by which a VM finds its group. */
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
 * Brings a VM into a group. The first VM in the order of names founds a group when all others answer that they have
 * none. A VM that is not a member, for example after its disk was lost, asks the others to let it join.
 */
export class Formation {
    private timer: NodeJS.Timeout | undefined;
    private isClosed = false;

    constructor(
        private readonly host: CatalogueHost,
        private readonly links: PeerLinks,
        private readonly self: Member,
        /** The VMs of the settings; their ids are names, not identities. */
        private readonly others: readonly Member[],
        private readonly isFirst: boolean,
    ) {}

    /** Takes one step and schedules the next one. */
    async start(): Promise<void> {
        await this.step();
        if (!this.isClosed) {
            this.timer = setTimeout(() => void this.start(), stepMs);
        }
    }

    close(): void {
        this.isClosed = true;
        clearTimeout(this.timer);
    }

    /** Answers a call of another VM. */
    answer(method: string, params: unknown): HelloAnswer {
        const member = params as Member;
        this.links.learn(member);
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
        if (this.host.isMember) {
            return;
        }
        const method = this.hasGroup() ? FormationMethod.join : FormationMethod.hello;
        const answers = await Promise.all(this.others.map(other => this.ask(other.peerAddress, method)));
        const isAnyGroup = answers.some(answer => answer?.hasGroup);
        if (isAnyGroup && method === FormationMethod.hello) {
            await Promise.all(this.others.map(other => this.ask(other.peerAddress, FormationMethod.join)));
        }
        const isEmptyEverywhere = answers.every(answer => answer?.hasGroup === false);
        if (this.isFirst && isEmptyEverywhere && !this.hasGroup() && !this.isClosed) {
            this.found(answers as readonly HelloAnswer[]);
        }
    }

    private found(answers: readonly HelloAnswer[]): void {
        const found = this.others.map((other, position) => ({
            id: answers[position].id,
            peerAddress: other.peerAddress,
        }));
        this.host.submit({ kind: "found", members: { voters: [this.self, ...found], learners: [] } });
        this.host.run();
    }

    private async ask(address: string, method: string): Promise<HelloAnswer | undefined> {
        try {
            const answer = await this.links.call(address, method, this.self, callTimeoutMs) as HelloAnswer | null;
            if (answer === null) {
                return undefined;
            }
            // A VM without a log needs the address to answer the leader's messages.
            this.links.learn({ id: answer.id, peerAddress: address });
            return answer;
        }
        catch {
            // An unreachable VM is asked again in the next step.
            return undefined;
        }
    }
}
