import type { CatalogueState } from "./catalogueState.js";
import type { ChangeCommand, ChangeResult } from "./messages.js";
import type { ReplicaHost } from "./replicaHost.js";

/** Host of the catalogue's replica on a control VM. */
export type CatalogueHost = ReplicaHost<CatalogueState, ChangeCommand, ChangeResult>;
