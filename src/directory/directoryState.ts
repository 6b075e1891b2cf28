import { Packr } from "msgpackr";
import { createHash } from "node:crypto";
import { StateMachine } from "../control/stateMachine.js";
import type { UpstreamId } from "../core/ids.js";
import { diffRoutes } from "./diffRoutes.js";
import { type ControlNode, emptyRouteTable, type Registration, type RouteTable, type RouteUpdate } from "./model.js";
import { RegistrationTable } from "./registrations.js";
import { updateRoutes } from "./updateRoutes.js";
import { findRouteProblem } from "./validateRoutes.js";

/** Accepted changes whose resend is recognized. Resends arrive within seconds; operators make hundreds a day. */
const maxAcceptedDigests = 4096;
/** Removed registrations that a delta can list; a watcher that is further behind gets the full state. */
const maxRemovals = 1024;
const maxAuditRecords = 2000;
/** Route tables from which an update can be computed; a watcher with an older table gets the whole table. */
const maxRecentTables = 16;

const packr = new Packr({ useRecords: false, encodeUndefinedAsNil: false });

/** Route change: a whole table, or an update of the table at the base version. */
export interface RouteChange {
    readonly kind: "routes";
    readonly baseVersion: number;
    readonly table: RouteTable | undefined;
    readonly update: RouteUpdate | undefined;
    /** Wall-clock time at the VM that received the change, in Unix milliseconds, for the audit trail. */
    readonly proposedAtMs: number;
}

/** A replicated change of the directory. */
export type DirectoryChange =
    | RouteChange
    | { readonly kind: "register"; readonly registration: Registration; }
    /** The instance has deregistered; `bornAtMs` identifies its incarnation, if known. */
    | { readonly kind: "end"; readonly id: UpstreamId; readonly bornAtMs: number | undefined; }
    /** The instance sent no heartbeats for too long; a later heartbeat registers it again. */
    | { readonly kind: "expire"; readonly id: UpstreamId; readonly bornAtMs: number; }
    | { readonly kind: "node"; readonly node: ControlNode; }
    /** The VM at the address is no longer a member of the group. */
    | { readonly kind: "node-gone"; readonly peerAddress: string; };

/** Outcome of a route change. */
export const RouteOutcome = {
    accepted: "accepted",
    /** The change is based on a version that is not the current one. */
    conflict: "conflict",
    invalid: "invalid",
} as const;

export type RouteOutcome = typeof RouteOutcome[keyof typeof RouteOutcome];

/** Result of a change. */
export interface DirectoryResult {
    readonly outcome: RouteOutcome;
    readonly detail: string;
}

/** Audit record of a route change. */
export interface RouteAuditRecord {
    readonly baseVersion: number;
    readonly version: number;
    readonly outcome: RouteOutcome;
    readonly detail: string;
    readonly proposedAtMs: number;
}

/** Difference between an earlier version of the state and the current one. */
export interface DirectoryDelta {
    readonly version: number;
    /** Whether the receiver must drop all registrations that the delta does not list. */
    readonly isFull: boolean;
    /** Undefined if the routes have not changed or `tableUpdate` is set. */
    readonly table: RouteTable | undefined;
    /** Turns the receiver's routes into the current ones. */
    readonly tableUpdate?: TableUpdate;
    readonly registrations: readonly Registration[];
    readonly ended: readonly UpstreamId[];
    readonly nodes: readonly ControlNode[] | undefined;
}

/** Update of a route table that the receiver has. */
export interface TableUpdate {
    /** Version of the table to which the update applies. */
    readonly baseVersion: number;
    readonly update: RouteUpdate;
}

interface StateImage {
    readonly version: number;
    readonly table: RouteTable;
    readonly registrations: ReturnType<RegistrationTable["toImage"]>;
    readonly nodes: readonly ControlNode[];
    readonly acceptedDigests: readonly string[];
    readonly audit: readonly RouteAuditRecord[];
}

const accepted: DirectoryResult = { outcome: RouteOutcome.accepted, detail: "" };

/** Replicated state of the directory: routes, instances and control VMs. Depends only on the applied changes. */
export class DirectoryState extends StateMachine {
    /** Called after each change that took effect. */
    onChange: () => void = () => undefined;
    readonly registrations = new RegistrationTable();
    private table: RouteTable = emptyRouteTable;
    private nodesByAddress = new Map<string, ControlNode>();
    private version = 0;
    private acceptedDigests = new Set<string>();
    private auditRecords: RouteAuditRecord[] = [];
    private tableVersion = 0;
    /** Latest route tables with the state versions at which they were installed, oldest first. */
    private recentTables: { readonly version: number; readonly table: RouteTable; }[] = [];
    /** Updates to the current table, by the state version at which their base table was installed. */
    private readonly cachedTableUpdates = new Map<number, TableUpdate>();
    private nodesVersion = 0;
    private readonly registrationVersions = new Map<UpstreamId, number>();
    private removals: { readonly version: number; readonly id: UpstreamId; }[] = [];
    /** A watcher with an older version gets the full state. */
    private oldestDeltaVersion = 0;

    /** Number of changes that took effect; the same on all replicas for the same state. */
    get revision(): number {
        return this.version;
    }

    get routes(): RouteTable {
        return this.table;
    }

    get nodes(): readonly ControlNode[] {
        return [...this.nodesByAddress.values()];
    }

    get audit(): readonly RouteAuditRecord[] {
        return this.auditRecords;
    }

    apply(change: DirectoryChange): DirectoryResult {
        const versionBefore = this.version;
        const result = this.applyChange(change);
        if (this.version !== versionBefore) {
            this.onChange();
        }
        return result;
    }

    private applyChange(change: DirectoryChange): DirectoryResult {
        switch (change.kind) {
            case "routes":
                return this.changeRoutes(change);
            case "register":
                this.recordRegistrationChanges(this.registrations.register(change.registration));
                return accepted;
            case "end":
            case "expire":
                if (this.registrations.remove(change.id, change.bornAtMs, change.kind === "end")) {
                    this.recordRegistrationChanges([change.id]);
                }
                return accepted;
            case "node":
                this.nodesByAddress.set(change.node.peerAddress, change.node);
                this.nodesVersion = this.incrementVersion();
                return accepted;
            case "node-gone":
                if (this.nodesByAddress.delete(change.peerAddress)) {
                    this.nodesVersion = this.incrementVersion();
                }
                return accepted;
        }
    }

    /** Returns the delta since a version. `canUpdate`: whether the receiver supports updates of its route table. */
    diffSince(version: number, canUpdate = false): DirectoryDelta {
        const isFull = version < this.oldestDeltaVersion || version > this.version || version === 0;
        const since = isFull ? -1 : version;
        const isTableChanged = this.tableVersion > since;
        const tableUpdate = isTableChanged && canUpdate && !isFull ? this.findTableUpdate(since) : undefined;
        return {
            version: this.version,
            isFull,
            table: isTableChanged && tableUpdate === undefined ? this.table : undefined,
            tableUpdate,
            registrations: this.registrations.list().filter(registered =>
                (this.registrationVersions.get(registered.id) ?? 0) > since
            ),
            ended: isFull ? [] : this.removals.filter(removal => removal.version > since).map(removal => removal.id),
            nodes: this.nodesVersion > since ? this.nodes : undefined,
        };
    }

    toBytes(): Uint8Array {
        const image: StateImage = {
            version: this.version,
            table: this.table,
            registrations: this.registrations.toImage(),
            nodes: this.nodes,
            acceptedDigests: [...this.acceptedDigests],
            audit: this.auditRecords,
        };
        return packr.pack(image);
    }

    restore(bytes: Uint8Array): void {
        const image = packr.unpack(bytes) as StateImage;
        this.version = image.version;
        this.table = image.table;
        this.registrations.fromImage(image.registrations);
        this.nodesByAddress = new Map(image.nodes.map(node => [node.peerAddress, node]));
        this.acceptedDigests = new Set(image.acceptedDigests);
        this.auditRecords = [...image.audit];
        this.tableVersion = this.version;
        this.recentTables = [{ version: this.version, table: this.table }];
        this.cachedTableUpdates.clear();
        this.nodesVersion = this.version;
        this.registrationVersions.clear();
        this.removals = [];
        this.oldestDeltaVersion = this.version;
        this.onChange();
    }

    private changeRoutes(change: RouteChange): DirectoryResult {
        const digest = digestChange(change);
        if (this.acceptedDigests.has(digest)) {
            return accepted;
        }
        const result = this.validateAndApply(change);
        const version = change.table?.version ?? change.update?.version ?? 0;
        const { baseVersion, proposedAtMs } = change;
        this.auditRecords.push({ baseVersion, version, ...result, proposedAtMs });
        this.auditRecords.splice(0, this.auditRecords.length - maxAuditRecords);
        if (result.outcome === RouteOutcome.accepted) {
            this.recordDigest(digest);
        }
        return result;
    }

    private validateAndApply({ baseVersion, table, update }: RouteChange): DirectoryResult {
        const { version } = this.table;
        if (baseVersion !== version) {
            const detail = `the change builds on version ${baseVersion}, and version ${version} is in force`;
            return { outcome: RouteOutcome.conflict, detail };
        }
        const newTable = update === undefined ? table : updateRoutes(this.table, update);
        const problem = newTable === undefined ? "the change is empty" : findRouteProblem(newTable);
        if (newTable === undefined || problem !== undefined) {
            return { outcome: RouteOutcome.invalid, detail: problem ?? "" };
        }
        if (newTable.version <= version) {
            const detail = `version ${newTable.version} is not above version ${version}, which is in force`;
            return { outcome: RouteOutcome.invalid, detail };
        }
        this.table = newTable;
        this.tableVersion = this.incrementVersion();
        this.recentTables = [...this.recentTables, { version: this.version, table: newTable }].slice(-maxRecentTables);
        this.cachedTableUpdates.clear();
        return accepted;
    }

    private findTableUpdate(version: number): TableUpdate | undefined {
        const base = this.recentTables.findLast(installed => installed.version <= version);
        if (base === undefined || base.table.version === 0) {
            return undefined;
        }
        const cached = this.cachedTableUpdates.get(base.version);
        const updateFromBase = cached ??
            { baseVersion: base.table.version, update: diffRoutes(base.table, this.table) } satisfies TableUpdate;
        this.cachedTableUpdates.set(base.version, updateFromBase);
        return updateFromBase;
    }

    private recordDigest(digest: string): void {
        this.acceptedDigests.add(digest);
        for (const oldest of this.acceptedDigests) {
            if (this.acceptedDigests.size <= maxAcceptedDigests) {
                break;
            }
            this.acceptedDigests.delete(oldest);
        }
    }

    private recordRegistrationChanges(ids: readonly UpstreamId[]): void {
        if (ids.length === 0) {
            return;
        }
        const version = this.incrementVersion();
        for (const id of ids) {
            if (this.registrations.get(id) === undefined) {
                this.registrationVersions.delete(id);
                this.removals.push({ version, id });
            }
            else {
                this.registrationVersions.set(id, version);
            }
        }
        const evicted = this.removals.splice(0, this.removals.length - maxRemovals);
        this.oldestDeltaVersion = evicted.at(-1)?.version ?? this.oldestDeltaVersion;
    }

    private incrementVersion(): number {
        this.version++;
        return this.version;
    }
}

/** Returns a digest of a change's content and base version, without its time, so that a resend has the same digest. */
function digestChange({ baseVersion, table, update }: RouteChange): string {
    return createHash("sha256").update(JSON.stringify([baseVersion, table ?? null, update ?? null])).digest("base64");
}
