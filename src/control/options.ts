import type { Clock } from "../core/clock.js";
import type { RandomSource } from "../core/random.js";
import type { Member } from "./messages.js";

/** Where a process listens; port 0 picks a free one. */
export interface ListenAddress {
    readonly host: string;
    readonly port: number;
}

/** An operator and the bearer token that proves it. */
export interface OperatorToken {
    readonly operator: string;
    readonly token: string;
}

/** Receives the log lines of a daemon; a tslog logger fits. */
export interface ControlLogger {
    info(text: string, fields?: object): unknown;
    warn(text: string, fields?: object): unknown;
    error(text: string, fields?: object): unknown;
}

/** Options of a control daemon. */
export interface ControlOptions {
    /** Name of the VM; also in `members`. */
    readonly id: string;
    readonly region: string;
    readonly availabilityZone: string;
    readonly operatorListen: ListenAddress;
    readonly peerListen: ListenAddress;
    /** All control VMs, this one included. */
    readonly members: readonly Member[];
    readonly dataFolder: string;
    /** Shared by all processes of the system. */
    readonly clusterSecret: string;
    readonly operatorTokens: readonly OperatorToken[];
    readonly logger: ControlLogger;
    readonly clock: Clock;
    readonly random: RandomSource;
    /** Called once when the VM stops because its disk failed; the default ends the process with status 1. */
    readonly onFailed?: (error: Error) => void;
}

/** A running control daemon. */
export interface ControlDaemon {
    /** Port of the operators' HTTP interface. */
    readonly operatorPort: number;
    readonly peerPort: number;
    close(): Promise<void>;
}
