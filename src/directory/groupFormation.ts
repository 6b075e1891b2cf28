import type { Member } from "../control/messages.js";
import type { ControlLogger } from "../control/options.js";
import type { PeerLinks } from "../control/peerLinks.js";
import type { ReplicaHost } from "../control/replicaHost.js";
import type { DirectoryChange, DirectoryResult, DirectoryState } from "./directoryState.js";
import { DirectoryMethod, type JoinAnswer } from "./messages.js";

const stepMs = 300;
const callTimeoutMs = 1000;

/** Replica of the directory on a control VM. */
export type DirectoryHost = ReplicaHost<DirectoryState, DirectoryChange, DirectoryResult>;

/** What a control VM needs to find its group. */
export interface FormationOptions {
    readonly host: DirectoryHost;
    readonly links: PeerLinks;
    readonly logger: ControlLogger;
    readonly self: Member;
    /** Peer addresses at which members may be found. */
    readonly seeds: readonly string[];
    /** Whether the whole system starts for the first time, with empty disks. */
    readonly isFirstStart: boolean;
}

/**
 * Returns the identity that a seed has in the first group. All seeds derive the same members from the same addresses,
 * so each of them can found the group alone and there is only one. A disk that was lost gets a random identity.
 */
export function foundingIdentity(peerAddress: string): string {
    return `${peerAddress}.first`;
}

/** Brings a control VM into the group: founds it on the first start, otherwise asks its members to let it join. */
export class GroupFormation {
    private timer: NodeJS.Timeout | undefined;
    private isClosed = false;
    /** Addresses that other VMs have named. */
    private readonly learned = new Set<string>();

    constructor(private readonly options: FormationOptions) {}

    start(): void {
        const { host, self, seeds, isFirstStart, logger } = this.options;
        const isFounder = isFirstStart && self.id === foundingIdentity(self.peerAddress);
        if (isFounder && host.members.voters.length === 0) {
            const voters = seeds.map(peerAddress => ({ id: foundingIdentity(peerAddress), peerAddress }));
            logger.info("founding the group", { voters: voters.map(member => member.id).join(", ") });
            host.submit({ kind: "found", members: { voters, learners: [] } });
            host.run();
        }
        void this.step();
    }

    close(): void {
        this.isClosed = true;
        clearTimeout(this.timer);
    }

    /** Answers a VM that wants to be a member. */
    answerJoin(member: Member): JoinAnswer {
        const { host, links } = this.options;
        links.learn(member);
        host.submit({ kind: "join", member });
        return { members: [...host.members.voters, ...host.members.learners] };
    }

    private async step(): Promise<void> {
        const { host, seeds, self } = this.options;
        if (!host.isMember) {
            const known = [...host.members.voters, ...host.members.learners].map(member => member.peerAddress);
            const addresses = new Set([...seeds, ...known, ...this.learned]);
            addresses.delete(self.peerAddress);
            await Promise.all([...addresses].map(address => this.askToJoin(address)));
        }
        if (!this.isClosed) {
            this.timer = setTimeout(() => void this.step(), stepMs);
        }
    }

    private async askToJoin(address: string): Promise<void> {
        const { links, self, logger } = this.options;
        try {
            const { members } = await links.call(address, DirectoryMethod.join, self, callTimeoutMs) as JoinAnswer;
            for (const member of members) {
                links.learn(member);
                this.learned.add(member.peerAddress);
            }
        }
        catch (error) {
            // The VM is asked again in the next step.
            logger.info("a control VM cannot be asked to join", { address, reason: (error as Error).message });
        }
    }
}
