export { type Catalogue, emptyCatalogue, type EntryVm, type Service } from "./catalogue/model.js";
export { CatalogueState } from "./control/catalogueState.js";
export { startControl } from "./control/daemon.js";
export type {
    ControlAnswer,
    ControlEffect,
    ControlEvent,
    Member,
    PersistedState,
    ReplicationMessage,
} from "./control/messages.js";
export type { ControlDaemon, ControlOptions } from "./control/options.js";
export { Replica } from "./control/replica.js";
export { type ReplicaOptions, ReplicaRole } from "./control/replicaModel.js";
export { type Clock, ManualClock, SystemClock } from "./core/clock.js";
export { ChannelError, errorMessages, FigwharfError, SettingsError } from "./core/errors.js";
export { RandomSource, SeededRandom } from "./core/random.js";
export { combineVerdicts, Verdict } from "./core/verdict.js";
export { EntryCore, type EntryCoreOptions } from "./entry/core.js";
export { type RunningEntry, startEntry } from "./entry/daemon.js";
export type { EntryEffect, EntryEvent, PeerMessage } from "./entry/messages.js";
export { defaultEntryLimits, type EntryLimits, type EntryOptions } from "./entry/options.js";
export { ControlStore } from "./storage/controlStore.js";
export { Disk } from "./storage/disk.js";
export { FileDisk } from "./storage/fileDisk.js";
