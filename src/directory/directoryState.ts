import { Packr } from "msgpackr";
import { StateMachine } from "../control/stateMachine.js";
import type { UpstreamId } from "../core/ids.js";
import { concealKeysInTable, concealKeysInUpdate } from "../organisations/keyConcealment.js";
import { findOrganisationProblem, type OrganisationProblem } from "../organisations/organisationProblems.js";
import { diffRoutes } from "./diffRoutes.js";
import { EvacuatedZones, type EvacuationChange } from "./evacuatedZones.js";
import {
    type ControlNode,
    emptyRouteTable,
    isWarmupLimited,
    type Registration,
    type RouteTable,
    type RouteUpdate,
} from "./model.js";
import { RegistrationTable } from "./registrations.js";
import { hasRepeatedHost, keepLastEntries } from "./repeatedHosts.js";
import { digestRouteChange } from "./routeChangeDigest.js";
import { measureTable } from "./tableSize.js";
import { updateRoutes } from "./updateRoutes.js";
import { findRouteProblem } from "./validateRoutes.js";

/**
 * Maximum number of digests kept to recognize resends of accepted route changes. Resends arrive within seconds, and
 * operators make hundreds of changes a day.
 */
const maxAcceptedDigests = 4096;
/** Maximum number of removals kept for deltas; a watcher that missed an older one gets the full state. */
const maxRemovals = 1024;
const maxAuditRecords = 2000;
/** Maximum number of route tables kept as bases of updates; a watcher with an older table gets the whole table. */
const maxRecentTables = 16;
/** Maximum size of these tables together; the latest one is always kept. */
const maxRecentTableBytes = 8 * 1024 * 1024;

const packr = new Packr({ useRecords: false, encodeUndefinedAsNil: false });

/**
 * Route change: a whole table or an update of the current one; the other field is undefined. The current table must
 * have the base version, unless the change is a resend.
 */
export interface RouteChange {
    readonly kind: "routes";
    readonly baseVersion: number;
    readonly table: RouteTable | undefined;
    readonly update: RouteUpdate | undefined;
    /** Wall-clock time at the VM that received the change, in Unix milliseconds, for the audit trail. */
    readonly proposedAtMs: number;
    /** Digest of the change as it was sent, if its content was replaced; resends are recognized by it. */
    readonly sentDigest?: string;
}

/** Replicated change of the directory. */
export type DirectoryChange =
    | RouteChange
    | EvacuationChange
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
    /** The base version is not the version of the current table. */
    conflict: "conflict",
    invalid: "invalid",
} as const;

export type RouteOutcome = typeof RouteOutcome[keyof typeof RouteOutcome];

/** Result of a change. Only route changes can be rejected; the others are always accepted. */
export interface DirectoryResult {
    readonly outcome: RouteOutcome;
    /** Reason for the rejection; empty if accepted. */
    readonly detail: string;
    /** Field of an organisation that caused the rejection; undefined for other reasons. */
    readonly organisationField?: OrganisationProblem["field"];
}

/** Audit record of a route change. */
export interface RouteAuditRecord {
    readonly baseVersion: number;
    readonly version: number;
    readonly outcome: RouteOutcome;
    readonly detail: string;
    readonly proposedAtMs: number;
}

/** Audit record of an operator's change; one of an evacuation is the change itself. */
export type DirectoryAuditRecord = RouteAuditRecord | EvacuationChange;

/** Difference between an earlier revision of the state and the current one. */
export interface DirectoryDelta {
    /** Revision of the state after the delta. */
    readonly version: number;
    /** Whether the receiver must drop all registrations that the delta does not list. */
    readonly isFull: boolean;
    /** Undefined if the routes have not changed or `tableUpdate` is set. */
    readonly table: RouteTable | undefined;
    /** Replaces `table` for a receiver that has a recent route table and supports updates. */
    readonly tableUpdate?: TableUpdate;
    /** `table` or `tableUpdate` in compressed form, for a receiver that supports it; both are then undefined. */
    readonly packedRoutes?: Uint8Array;
    readonly registrations: readonly Registration[];
    /** Removed registrations; empty if `isFull`. */
    readonly ended: readonly UpstreamId[];
    /** Undefined if unchanged. */
    readonly nodes: readonly ControlNode[] | undefined;
    /** Evacuated availability zones; undefined if unchanged, and if `isFull` when there are none. */
    readonly evacuatedZones?: readonly string[];
}

/** A `RouteUpdate` with the version of the route table to which it applies. */
export interface TableUpdate {
    readonly baseVersion: number;
    readonly update: RouteUpdate;
}

interface RecentTable {
    readonly atRevision: number;
    readonly table: RouteTable;
    readonly sizeBytes: number;
}

interface StateSnapshot {
    /** Revision of the state. */
    readonly version: number;
    readonly table: RouteTable;
    readonly registrations: ReturnType<RegistrationTable["toImage"]>;
    readonly nodes: readonly ControlNode[];
    readonly acceptedDigests: readonly string[];
    readonly audit: readonly DirectoryAuditRecord[];
    /** Undefined in snapshots of versions without evacuations. */
    readonly evacuatedZones?: readonly string[];
}

const accepted: DirectoryResult = { outcome: RouteOutcome.accepted, detail: "" };

/** Replicated state of the directory: routes, instances and control VMs. Depends only on the applied changes. */
export class DirectoryState extends StateMachine {
    /** Called after each change that took effect, and after a restore. */
    onChange: () => void = () => undefined;
    readonly registrations = new RegistrationTable();
    private table: RouteTable = emptyRouteTable;
    private nodesByAddress = new Map<string, ControlNode>();
    private stateRevision = 0;
    private acceptedDigests = new Set<string>();
    private auditRecords: DirectoryAuditRecord[] = [];
    private readonly evacuations = new EvacuatedZones();
    /** Below every revision until the first evacuation, so that deltas and snapshots without one stay as they were. */
    private evacuationChangedAtRevision = -1;
    private tableChangedAtRevision = 0;
    /** Latest route tables with the revisions at which they were installed, oldest first. */
    private recentTables: RecentTable[] = [];
    /** Updates from earlier route tables to the current one, by the revision at which the earlier one was installed. */
    private readonly cachedTableUpdates = new Map<number, TableUpdate>();
    /** The current route table as entries get it; undefined until it is asked for. */
    private cachedEntryTable: RouteTable | undefined;
    private nodesChangedAtRevision = 0;
    /** Revision of the last change of each registration. */
    private readonly registrationRevisions = new Map<UpstreamId, number>();
    private removals: { readonly atRevision: number; readonly id: UpstreamId; }[] = [];
    /** A watcher at an older revision gets the full state. */
    private oldestDeltaRevision = 0;

    /** Number of changes that took effect; the same on all replicas for the same state. `version` in messages. */
    get revision(): number {
        return this.stateRevision;
    }

    get routes(): RouteTable {
        return this.table;
    }

    /** The current routes as entries get them: with digests instead of keys. */
    get entryRoutes(): RouteTable {
        this.cachedEntryTable ??= concealKeysInTable(this.table);
        return this.cachedEntryTable;
    }

    get nodes(): readonly ControlNode[] {
        return [...this.nodesByAddress.values()];
    }

    get audit(): readonly DirectoryAuditRecord[] {
        return this.auditRecords;
    }

    get evacuatedZones(): readonly string[] {
        return this.evacuations.list();
    }

    apply(change: DirectoryChange): DirectoryResult {
        const revisionBefore = this.stateRevision;
        const result = this.applyChange(change);
        if (this.stateRevision !== revisionBefore) {
            this.onChange();
        }
        return result;
    }

    private applyChange(change: DirectoryChange): DirectoryResult {
        switch (change.kind) {
            case "routes":
                return this.changeRoutes(change);
            case "evacuation":
                this.changeEvacuation(change);
                return accepted;
            case "register":
                this.recordRegistrationChanges(
                    this.registrations.register(change.registration, this.tracksWarmup(change.registration)),
                );
                return accepted;
            case "end":
            case "expire":
                if (this.registrations.remove(change.id, change.bornAtMs, change.kind === "end")) {
                    this.recordRegistrationChanges([change.id]);
                }
                return accepted;
            case "node":
                this.nodesByAddress.set(change.node.peerAddress, change.node);
                this.nodesChangedAtRevision = this.incrementRevision();
                return accepted;
            case "node-gone":
                if (this.nodesByAddress.delete(change.peerAddress)) {
                    this.nodesChangedAtRevision = this.incrementRevision();
                }
                return accepted;
        }
    }

    /**
     * Returns the delta since a revision, with digests instead of keys. `canUpdate`: whether the receiver supports
     * updates of its route table.
     */
    diffSince(heldRevision: number, canUpdate = false): DirectoryDelta {
        const isFull = heldRevision < this.oldestDeltaRevision || heldRevision > this.stateRevision ||
            heldRevision === 0;
        const since = isFull ? -1 : heldRevision;
        const isTableChanged = this.tableChangedAtRevision > since;
        const tableUpdate = isTableChanged && canUpdate && !isFull ? this.findTableUpdate(since) : undefined;
        return {
            version: this.stateRevision,
            isFull,
            table: isTableChanged && tableUpdate === undefined ? this.entryRoutes : undefined,
            tableUpdate,
            registrations: this.registrations.list().filter(registered =>
                (this.registrationRevisions.get(registered.id) ?? 0) > since
            ),
            ended: isFull ? [] : this.removals.filter(removal => removal.atRevision > since).map(removal => removal.id),
            nodes: this.nodesChangedAtRevision > since ? this.nodes : undefined,
            ...this.evacuationChangedAtRevision > since ? { evacuatedZones: this.evacuatedZones } : {},
        };
    }

    toBytes(): Uint8Array {
        const snapshot: StateSnapshot = {
            version: this.stateRevision,
            table: this.table,
            registrations: this.registrations.toImage(),
            nodes: this.nodes,
            acceptedDigests: [...this.acceptedDigests],
            audit: this.auditRecords,
            ...this.evacuatedZones.length > 0 ? { evacuatedZones: this.evacuatedZones } : {},
        };
        return packr.pack(snapshot);
    }

    restore(bytes: Uint8Array): void {
        const snapshot = packr.unpack(bytes) as StateSnapshot;
        this.stateRevision = snapshot.version;
        this.table = snapshot.table;
        this.registrations.fromImage(snapshot.registrations);
        this.nodesByAddress = new Map(snapshot.nodes.map(node => [node.peerAddress, node]));
        this.acceptedDigests = new Set(snapshot.acceptedDigests);
        this.auditRecords = [...snapshot.audit];
        this.evacuations.restore(snapshot.evacuatedZones);
        this.evacuationChangedAtRevision = this.evacuatedZones.length > 0 ? this.stateRevision : -1;
        this.tableChangedAtRevision = this.stateRevision;
        this.recentTables = [];
        this.addRecentTable(this.table);
        this.cachedTableUpdates.clear();
        this.cachedEntryTable = undefined;
        this.nodesChangedAtRevision = this.stateRevision;
        this.registrationRevisions.clear();
        this.removals = [];
        this.oldestDeltaRevision = this.stateRevision;
        this.onChange();
    }

    /** Returns whether a route change is a resend of an accepted one. */
    wasAccepted(change: RouteChange): boolean {
        return this.acceptedDigests.has(digestRouteChange(change));
    }

    private changeRoutes(change: RouteChange): DirectoryResult {
        const digest = digestRouteChange(change);
        if (this.acceptedDigests.has(digest)) {
            return accepted;
        }
        const result = this.validateAndApply(change);
        const version = change.table?.version ?? change.update?.version ?? 0;
        const { baseVersion, proposedAtMs } = change;
        const { outcome, detail } = result;
        this.recordAudit({ baseVersion, version, outcome, detail, proposedAtMs });
        if (result.outcome === RouteOutcome.accepted) {
            this.recordDigest(digest);
        }
        return result;
    }

    private changeEvacuation(change: EvacuationChange): void {
        if (this.evacuations.apply(change)) {
            this.evacuationChangedAtRevision = this.incrementRevision();
            this.recordAudit(change);
        }
    }

    private recordAudit(record: DirectoryAuditRecord): void {
        this.auditRecords.push(record);
        this.auditRecords.splice(0, this.auditRecords.length - maxAuditRecords);
    }

    private validateAndApply({ baseVersion, table, update }: RouteChange): DirectoryResult {
        const { version } = this.table;
        if (baseVersion !== version) {
            const detail = `the change builds on version ${baseVersion}, and version ${version} is in force`;
            return { outcome: RouteOutcome.conflict, detail };
        }
        // A leader resolves updates of tables with repeated hosts before it proposes them. Records of earlier versions must
        // have the result that those versions gave them.
        const newTable = update === undefined ? table : keepLastEntries(updateRoutes(this.table, update));
        const problem = newTable === undefined ? "the change is empty" : findRouteProblem(newTable);
        if (newTable === undefined || problem !== undefined) {
            return { outcome: RouteOutcome.invalid, detail: problem ?? "" };
        }
        const organisationProblem = findOrganisationProblem(newTable.organisations ?? []);
        if (organisationProblem !== undefined) {
            const { text, field } = organisationProblem;
            return { outcome: RouteOutcome.invalid, detail: text, organisationField: field };
        }
        if (newTable.version <= version) {
            const detail = `version ${newTable.version} is not above version ${version}, which is in force`;
            return { outcome: RouteOutcome.invalid, detail };
        }
        this.table = newTable;
        this.tableChangedAtRevision = this.incrementRevision();
        this.addRecentTable(newTable);
        this.cachedTableUpdates.clear();
        this.cachedEntryTable = undefined;
        return accepted;
    }

    private addRecentTable(table: RouteTable): void {
        const installed = { atRevision: this.stateRevision, table, sizeBytes: measureTable(table) };
        this.recentTables = [...this.recentTables, installed].slice(-maxRecentTables);
        let totalBytes = this.recentTables.reduce((sum, { sizeBytes }) => sum + sizeBytes, 0);
        while (totalBytes > maxRecentTableBytes && this.recentTables.length > 1) {
            totalBytes -= this.recentTables[0].sizeBytes;
            this.recentTables = this.recentTables.slice(1);
        }
    }

    private findTableUpdate(heldRevision: number): TableUpdate | undefined {
        const base = this.recentTables.findLast(installed => installed.atRevision <= heldRevision);
        // Entries of earlier versions drop routes when they update a table with repeated hosts.
        if (base === undefined || base.table.version === 0 || hasRepeatedHost(base.table)) {
            return undefined;
        }
        const cached = this.cachedTableUpdates.get(base.atRevision);
        const updateFromBase: TableUpdate = cached ?? {
            baseVersion: base.table.version,
            update: concealKeysInUpdate(diffRoutes(base.table, this.table)),
        };
        this.cachedTableUpdates.set(base.atRevision, updateFromBase);
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

    private tracksWarmup({ service }: Registration): boolean {
        return this.table.services.some(routed => routed.name === service && isWarmupLimited(routed));
    }

    private recordRegistrationChanges(ids: readonly UpstreamId[]): void {
        if (ids.length === 0) {
            return;
        }
        const atRevision = this.incrementRevision();
        for (const id of ids) {
            if (this.registrations.get(id) === undefined) {
                this.registrationRevisions.delete(id);
                this.removals.push({ atRevision, id });
            }
            else {
                this.registrationRevisions.set(id, atRevision);
            }
        }
        const evicted = this.removals.splice(0, this.removals.length - maxRemovals);
        this.oldestDeltaRevision = evicted.at(-1)?.atRevision ?? this.oldestDeltaRevision;
    }

    private incrementRevision(): number {
        this.stateRevision++;
        return this.stateRevision;
    }
}
