import type { Member } from "../control/messages.js";
import type { ControlLogger } from "../control/options.js";
import type { PeerLinks } from "../control/peerLinks.js";
import type { ReplicaHost } from "../control/replicaHost.js";
import type { DirectoryChange, DirectoryResult, DirectoryState } from "./directoryState.js";
import { DirectoryMethod, type JoinAnswer } from "./messages.js";

const joinIntervalMs = 300;
const callTimeoutMs = 1000;

/** Replica of the directory on a control VM. */
export type DirectoryHost = ReplicaHost<DirectoryState, DirectoryChange, DirectoryResult>;

/** Options of GroupFormation. */
export interface GroupFormationOptions {
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
 * Returns the member id of a seed in the initial group. All seeds derive the same members from the same addresses, so
 * each creates the same group without asking the others. A VM that lost its disk uses a random id instead.
 */
export function foundingIdentity(peerAddress: string): string {
    return `${peerAddress}.first`;
}

/**
 * Makes a control VM a member of the group: a seed founds it on the first start, other VMs ask members to add them, also
 * after they were removed while they were silent.
 */
export class GroupFormation {
    private timer: NodeJS.Timeout | undefined;
    private isClosed = false;
    private isJoining = false;
    /** Peer addresses from the answers of other VMs. */
    private readonly discoveredAddresses = new Set<string>();

    constructor(private readonly options: GroupFormationOptions) {}

    start(): void {
        const { host, self, seeds, isFirstStart, logger } = this.options;
        const isFounder = isFirstStart && self.id === foundingIdentity(self.peerAddress);
        if (isFounder && host.members.voters.length === 0) {
            const voters = seeds.map(peerAddress => ({ id: foundingIdentity(peerAddress), peerAddress }));
            logger.info("founding the group", { voters: voters.map(member => member.id).join(", ") });
            host.submit({ kind: "found", members: { voters, learners: [] } });
            host.run();
        }
        void this.joinIfNeeded();
    }

    close(): void {
        this.isClosed = true;
        clearTimeout(this.timer);
    }

    /** Handles another VM's request to join the group. */
    handleJoin(member: Member): JoinAnswer {
        const { host, links } = this.options;
        links.recordAddress(member);
        host.submit({ kind: "join", member });
        return { members: [...host.members.voters, ...host.members.learners] };
    }

    private async joinIfNeeded(): Promise<void> {
        const { host, seeds, self, logger } = this.options;
        const needsToJoin = host.needsToJoin;
        if (needsToJoin !== this.isJoining) {
            this.isJoining = needsToJoin;
            logger.info(needsToJoin ? "asking to join the group" : "joined the group", { isMember: host.isMember });
        }
        if (needsToJoin) {
            const knownAddresses = [...host.members.voters, ...host.members.learners].map(member => member.peerAddress);
            const addresses = new Set([...seeds, ...knownAddresses, ...this.discoveredAddresses]);
            addresses.delete(self.peerAddress);
            await Promise.all([...addresses].map(address => this.requestJoin(address)));
        }
        if (!this.isClosed) {
            this.timer = setTimeout(() => void this.joinIfNeeded(), joinIntervalMs);
        }
    }

    private async requestJoin(address: string): Promise<void> {
        const { links, self, logger } = this.options;
        try {
            const { members } = await links.call(address, DirectoryMethod.join, self, callTimeoutMs) as JoinAnswer;
            for (const member of members) {
                links.recordAddress(member);
                this.discoveredAddresses.add(member.peerAddress);
            }
        }
        catch (error) {
            // Retried after joinIntervalMs.
            logger.info("join request to a control VM failed", { address, reason: (error as Error).message });
        }
    }
}
