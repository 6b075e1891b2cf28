import { CatalogueLog, type ProposalEnd } from "./catalogueLog.js";
import { CatalogueState } from "./catalogueState.js";
import type { ChangeCommand } from "./messages.js";
import type { VoterStatus } from "./operatorApi.js";

/** Log of a group with a single member, in memory. */
export class SoleLog extends CatalogueLog {
    readonly state = new CatalogueState();
    readonly isLeader = true;
    readonly leaderAddress = undefined;

    constructor(readonly selfId: string) {
        super();
    }

    propose(change: ChangeCommand): Promise<ProposalEnd> {
        return Promise.resolve({ kind: "applied", result: this.state.apply(change) });
    }

    confirmLeadership(): Promise<boolean> {
        return Promise.resolve(true);
    }

    listVoters(): readonly VoterStatus[] {
        return [
            { id: this.selfId, role: "leader", term: 1, revision: this.state.revision, heardAgoMs: 0, problems: [] },
        ];
    }
}
