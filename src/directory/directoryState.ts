import { Packr } from "msgpackr";
import { createHash } from "node:crypto";
import { StateMachine } from "../control/stateMachine.js";
import type { UpstreamId } from "../core/ids.js";
import { diffRoutes } from "./diffRoutes.js";
import { type ControlNode, emptyRouteTable, type Registration, type RouteTable, type RouteUpdate } from "./model.js";
import { RegistrationTable } from "./registrations.js";
import { updateRoutes } from "./updateRoutes.js";
import { findRouteProblem } from "./validateRoutes.js";

/** Changes whose resend is recognized. A resend comes within seconds; an operator makes hundreds a day. */
const maxRememberedChanges = 4096;
/** Ended registrations that a watcher can still be told of one by one; one that is further behind gets all rows. */
const maxRememberedEnds = 1024;
const maxAuditRecords = 2000;
/** Tables of which a watcher can hold one and still be told only what has changed. */
const maxRememberedTables = 16;

const packr = new Packr({ useRecords: false, encodeUndefinedAsNil: false });

/** A change of the routes: a whole table, or an update of named items on the table of the base version. */
export interface RouteChange {
    readonly kind: "routes";
    readonly baseVersion: number;
    readonly table: RouteTable | undefined;
    readonly update: RouteUpdate | undefined;
    /** Wall-clock time at the leader in Unix milliseconds, for the audit trail. */
    readonly proposedAtMs: number;
}

/** A change of the directory, as it is replicated. */
export type DirectoryChange =
    | RouteChange
    | { readonly kind: "register"; readonly registration: Registration; }
    /** The instance has left; `bornAtMs` names its life, if known. */
    | { readonly kind: "end"; readonly id: UpstreamId; readonly bornAtMs: number | undefined; }
    /** The instance was not heard for long; it may come back. */
    | { readonly kind: "expire"; readonly id: UpstreamId; readonly bornAtMs: number; }
    | { readonly kind: "node"; readonly node: ControlNode; }
    /** The VM at the address is no member of the group any more. */
    | { readonly kind: "node-gone"; readonly peerAddress: string; };

/** How a change of the routes ended. */
export const RouteOutcome = {
    accepted: "accepted",
    /** Another version is in force than the one the change builds on. */
    conflict: "conflict",
    invalid: "invalid",
} as const;

export type RouteOutcome = typeof RouteOutcome[keyof typeof RouteOutcome];

/** Result of a change. */
export interface DirectoryResult {
    readonly outcome: RouteOutcome;
    readonly detail: string;
}

/** One change of the routes, for the audit trail. */
export interface RouteAuditRecord {
    readonly baseVersion: number;
    readonly version: number;
    readonly outcome: RouteOutcome;
    readonly detail: string;
    readonly proposedAtMs: number;
}

/** What has changed since a version of the state. */
export interface DirectoryDelta {
    readonly version: number;
    /** Whether the receiver has to drop all rows that the delta does not name. */
    readonly isFull: boolean;
    /** Undefined when the routes have not changed, or when `tableUpdate` tells what has. */
    readonly table: RouteTable | undefined;
    /** Makes the present routes of those that the receiver holds. */
    readonly tableUpdate?: TableUpdate;
    readonly registrations: readonly Registration[];
    readonly ended: readonly UpstreamId[];
    readonly nodes: readonly ControlNode[] | undefined;
}

/** An update of a table that is held. */
export interface TableUpdate {
    /** Version of the routes that the update starts from. */
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

/** The replicated directory: routes, instances and control VMs. Depends only on the changes applied. */
export class DirectoryState extends StateMachine {
    /** Called after each change that took effect. */
    onChange: () => void = () => undefined;
    readonly registrations = new RegistrationTable();
    private table: RouteTable = emptyRouteTable;
    private nodeRows = new Map<string, ControlNode>();
    private version = 0;
    private acceptedDigests = new Set<string>();
    private auditRecords: RouteAuditRecord[] = [];
    private tableVersion = 0;
    /** The latest tables with the versions of the state that brought them, the present one last. */
    private tables: { readonly version: number; readonly table: RouteTable; }[] = [];
    /** Updates to the present table, by the version of the state that brought the table they start from. */
    private readonly tableUpdates = new Map<number, TableUpdate>();
    private nodesVersion = 0;
    private readonly rowVersions = new Map<UpstreamId, number>();
    private ends: { readonly version: number; readonly id: UpstreamId; }[] = [];
    /** A watcher that holds an older version than this gets all rows. */
    private oldestDeltaVersion = 0;

    /** Counts the changes that took effect; the same at all replicas for the same state. */
    get revision(): number {
        return this.version;
    }

    get routes(): RouteTable {
        return this.table;
    }

    get nodes(): readonly ControlNode[] {
        return [...this.nodeRows.values()];
    }

    get audit(): readonly RouteAuditRecord[] {
        return this.auditRecords;
    }

    apply(change: DirectoryChange): DirectoryResult {
        const versionBefore = this.version;
        const result = this.decide(change);
        if (this.version !== versionBefore) {
            this.onChange();
        }
        return result;
    }

    private decide(change: DirectoryChange): DirectoryResult {
        switch (change.kind) {
            case "routes":
                return this.changeRoutes(change);
            case "register":
                this.noteRows(this.registrations.register(change.registration));
                return accepted;
            case "end":
            case "expire":
                if (this.registrations.end(change.id, change.bornAtMs, change.kind === "end")) {
                    this.noteRows([change.id]);
                }
                return accepted;
            case "node":
                this.nodeRows.set(change.node.peerAddress, change.node);
                this.nodesVersion = this.advance();
                return accepted;
            case "node-gone":
                if (this.nodeRows.delete(change.peerAddress)) {
                    this.nodesVersion = this.advance();
                }
                return accepted;
        }
    }

    /** Returns what has changed since a version. With `canUpdate`, the receiver takes updates of its table. */
    diffSince(version: number, canUpdate = false): DirectoryDelta {
        const isFull = version < this.oldestDeltaVersion || version > this.version || version === 0;
        const since = isFull ? -1 : version;
        const isTableNew = this.tableVersion > since;
        const tableUpdate = isTableNew && canUpdate && !isFull ? this.findTableUpdate(since) : undefined;
        return {
            version: this.version,
            isFull,
            table: isTableNew && tableUpdate === undefined ? this.table : undefined,
            tableUpdate,
            registrations: this.registrations.list().filter(row => (this.rowVersions.get(row.id) ?? 0) > since),
            ended: isFull ? [] : this.ends.filter(row => row.version > since).map(row => row.id),
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
        this.nodeRows = new Map(image.nodes.map(node => [node.peerAddress, node]));
        this.acceptedDigests = new Set(image.acceptedDigests);
        this.auditRecords = [...image.audit];
        this.tableVersion = this.version;
        this.tables = [{ version: this.version, table: this.table }];
        this.tableUpdates.clear();
        this.nodesVersion = this.version;
        this.rowVersions.clear();
        this.ends = [];
        this.oldestDeltaVersion = this.version;
        this.onChange();
    }

    private changeRoutes(change: RouteChange): DirectoryResult {
        const digest = digestChange(change);
        if (this.acceptedDigests.has(digest)) {
            return accepted;
        }
        const result = this.decideRoutes(change);
        const version = change.table?.version ?? change.update?.version ?? 0;
        const { baseVersion, proposedAtMs } = change;
        this.auditRecords.push({ baseVersion, version, ...result, proposedAtMs });
        this.auditRecords.splice(0, this.auditRecords.length - maxAuditRecords);
        if (result.outcome === RouteOutcome.accepted) {
            this.rememberChange(digest);
        }
        return result;
    }

    private decideRoutes({ baseVersion, table, update }: RouteChange): DirectoryResult {
        const { version } = this.table;
        if (baseVersion !== version) {
            const detail = `the change builds on version ${baseVersion}, and version ${version} is in force`;
            return { outcome: RouteOutcome.conflict, detail };
        }
        const next = update === undefined ? table : updateRoutes(this.table, update);
        const problem = next === undefined ? "the change is empty" : findRouteProblem(next);
        if (next === undefined || problem !== undefined) {
            return { outcome: RouteOutcome.invalid, detail: problem ?? "" };
        }
        if (next.version <= version) {
            const detail = `version ${next.version} is not above version ${version}, which is in force`;
            return { outcome: RouteOutcome.invalid, detail };
        }
        this.table = next;
        this.tableVersion = this.advance();
        this.tables = [...this.tables, { version: this.version, table: next }].slice(-maxRememberedTables);
        this.tableUpdates.clear();
        return accepted;
    }

    private findTableUpdate(version: number): TableUpdate | undefined {
        const held = this.tables.findLast(row => row.version <= version);
        if (held === undefined || held.table.version === 0) {
            return undefined;
        }
        const known = this.tableUpdates.get(held.version);
        const found = known ??
            { baseVersion: held.table.version, update: diffRoutes(held.table, this.table) } satisfies TableUpdate;
        this.tableUpdates.set(held.version, found);
        return found;
    }

    private rememberChange(digest: string): void {
        this.acceptedDigests.add(digest);
        for (const oldest of this.acceptedDigests) {
            if (this.acceptedDigests.size <= maxRememberedChanges) {
                break;
            }
            this.acceptedDigests.delete(oldest);
        }
    }

    private noteRows(ids: readonly UpstreamId[]): void {
        if (ids.length === 0) {
            return;
        }
        const version = this.advance();
        for (const id of ids) {
            if (this.registrations.get(id) === undefined) {
                this.rowVersions.delete(id);
                this.ends.push({ version, id });
            }
            else {
                this.rowVersions.set(id, version);
            }
        }
        const surplus = this.ends.splice(0, this.ends.length - maxRememberedEnds);
        this.oldestDeltaVersion = surplus.at(-1)?.version ?? this.oldestDeltaVersion;
    }

    private advance(): number {
        this.version++;
        return this.version;
    }
}

/** Two changes with the same content and base are the same change, whoever sends them and whenever. */
function digestChange({ baseVersion, table, update }: RouteChange): string {
    return createHash("sha256").update(JSON.stringify([baseVersion, table ?? null, update ?? null])).digest("base64");
}
