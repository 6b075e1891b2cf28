import type { CatalogueState } from "./catalogueState.js";
import type { ChangeCommand, ChangeResult } from "./messages.js";
import type { VoterStatus } from "./operatorApi.js";
import { ReplicatedLog } from "./replicatedLog.js";

/** The replicated log of the catalogue, as the services of a control VM use it. */
export abstract class CatalogueLog extends ReplicatedLog<CatalogueState, ChangeCommand, ChangeResult> {
    abstract listVoters(): readonly VoterStatus[];
}
