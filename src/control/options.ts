import type { Clock } from "../core/clock.js";
import type { RandomSource } from "../core/random.js";
import type { Member } from "./messages.js";

/** Address on which a process listens; port 0 selects a free port. */
export interface ListenAddress {
    readonly host: string;
    readonly port: number;
}

/** An operator and the bearer token that authenticates the operator. */
export interface OperatorToken {
    readonly operator: string;
    readonly token: string;
}

/** Logger of a daemon; a tslog logger is compatible. */
export interface ControlLogger {
    info(text: string, fields?: object): unknown;
    warn(text: string, fields?: object): unknown;
    error(text: string, fields?: object): unknown;
}

/** Options of a control daemon. */
export interface ControlOptions {
    /** Name of the VM, as in `members`. */
    readonly id: string;
    readonly region: string;
    readonly availabilityZone: string;
    readonly operatorListen: ListenAddress;
    readonly peerListen: ListenAddress;
    /** All control VMs, this one included. */
    readonly members: readonly Member[];
    readonly dataFolder: string;
    /** Secret that all processes of the system share. */
    readonly clusterSecret: string;
    readonly operatorTokens: readonly OperatorToken[];
    readonly logger: ControlLogger;
    readonly clock: Clock;
    readonly random: RandomSource;
    /** Called once after a failed disk or an inconsistent log stopped the VM; by default, exits with status 1. */
    readonly onFailed?: (error: Error) => void;
}

/** A running control daemon. */
export interface ControlDaemon {
    /** Port of the HTTP interface for operators. */
    readonly operatorPort: number;
    readonly peerPort: number;
    close(): Promise<void>;
}
