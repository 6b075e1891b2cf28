/** Name of a service in the catalogue. */
export type ServiceName = string;
/** Id of an upstream instance; chosen by the upstream, unique in its service. */
export type UpstreamId = string;
/** Id of an entry VM; from its settings and the catalogue. */
export type EntryId = string;
/** Identity of a control VM; a VM whose disk was lost gets a new one. */
export type VoterId = string;
/** Id of a caller's request; made by the entry that accepted it. */
export type RequestId = string;
/** Id of one try to have an upstream answer a request. */
export type AttemptId = string;
