import type { CatalogueState } from "./catalogueState.js";
import type { ChangeCommand, ChangeResult } from "./messages.js";
import type { VoterStatus } from "./operatorApi.js";
import { ReplicatedLog } from "./replicatedLog.js";

/** Interface of the catalogue's replicated log to the services of a control VM. */
export abstract class CatalogueLog extends ReplicatedLog<CatalogueState, ChangeCommand, ChangeResult> {
    abstract listVoters(): readonly VoterStatus[];
}
