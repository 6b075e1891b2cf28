import type { CatalogueState } from "./catalogueState.js";
import type { ChangeCommand, ChangeResult } from "./messages.js";
import type { ReplicaHost } from "./replicaHost.js";

/** The replica of the catalogue on a control VM. */
export type CatalogueHost = ReplicaHost<CatalogueState, ChangeCommand, ChangeResult>;
