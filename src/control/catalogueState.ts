import { Packr } from "msgpackr";
import { createHash } from "node:crypto";
import { type Catalogue, emptyCatalogue } from "../catalogue/model.js";
import { listDifferences } from "./difference.js";
import type { ChangeCommand, ChangeResult, EntryGroup } from "./messages.js";
import { applyOperation, changedEntryList, currentEntryList } from "./operations.js";
import {
    ApplyOutcome,
    type AuditFilter,
    type AuditRecord,
    type ChangeOperation,
    type FieldDifference,
} from "./operatorApi.js";
import { StateMachine } from "./stateMachine.js";

/** A replaced entry list is retained for one minute longer than the claims that were distributed over it (10 min). */
const entryListRetentionMs = 11 * 60 * 1000;
/** Limit of audit records, and of results by change id. */
const maxAuditRecords = 20_000;
/** Limit over all audit records; differences take most of their memory. */
const maxTotalDifferences = 100_000;

const packr = new Packr({ useRecords: false });

interface SerializedState {
    readonly catalogue: Catalogue;
    readonly audit: readonly AuditRecord[];
    readonly results: readonly ChangeResult[];
    readonly groupTimeMs: number;
    readonly replacedLists: readonly (readonly [number, number])[];
}

/** Replicated catalogue, audit trail and results by change id. Depends only on the applied commands. */
export class CatalogueState extends StateMachine {
    private catalogue: Catalogue = emptyCatalogue;
    private audit: AuditRecord[] = [];
    private differenceCount = 0;
    private results = new Map<string, ChangeResult>();
    private lastGroupTimeMs = 0;
    /** Group time at which an entry list was replaced, by the list's revision. */
    private replacedLists = new Map<number, number>();

    get revision(): number {
        return this.catalogue.revision;
    }

    /** Group time of the latest change. */
    get groupTimeMs(): number {
        return this.lastGroupTimeMs;
    }

    get current(): Catalogue {
        return this.catalogue;
    }

    /** Returns the result for a resend of a change, or undefined when the change id is not known. */
    findResult(changeId: string, operation: ChangeOperation): ChangeResult | undefined {
        const known = this.results.get(changeId);
        return known === undefined ? undefined : answerResend(known, digestOperation(operation));
    }

    /** Applies a command. A repeated change id gets the result of its first command. */
    apply(command: ChangeCommand): ChangeResult {
        this.lastGroupTimeMs = Math.max(this.lastGroupTimeMs, command.groupTimeMs);
        const digest = digestOperation(command.operation);
        const known = this.results.get(command.changeId);
        if (known !== undefined) {
            return answerResend(known, digest);
        }
        const result = this.applyNew(command, digest);
        this.results.set(command.changeId, result);
        this.trimHistory();
        return result;
    }

    /** Returns matching audit records, newest last. */
    listAudit(filter: AuditFilter): readonly AuditRecord[] {
        const found = this.audit.filter(record => isMatch(record, filter));
        return filter.limit === undefined ? found : found.slice(Math.max(0, found.length - filter.limit));
    }

    /** Returns the entries of the current list by region. */
    listEntryGroups(): readonly EntryGroup[] {
        return groupByRegion(currentEntryList(this.catalogue)?.entryIds ?? [], this.catalogue);
    }

    toBytes(): Uint8Array {
        const serialized: SerializedState = {
            catalogue: this.catalogue,
            audit: this.audit,
            results: [...this.results.values()],
            groupTimeMs: this.lastGroupTimeMs,
            replacedLists: [...this.replacedLists],
        };
        return packr.pack(serialized);
    }

    restore(bytes: Uint8Array): void {
        const serialized = packr.unpack(bytes) as SerializedState;
        this.catalogue = serialized.catalogue;
        this.audit = [...serialized.audit];
        this.differenceCount = serialized.audit.reduce((sum, record) => sum + record.difference.length, 0);
        this.results = new Map(serialized.results.map(result => [result.changeId, result]));
        this.lastGroupTimeMs = serialized.groupTimeMs;
        this.replacedLists = new Map(serialized.replacedLists);
    }

    private applyNew(command: ChangeCommand, digest: string): ChangeResult {
        if (command.baseRevision !== this.revision) {
            return this.recordConflict(command, digest);
        }
        const next = applyOperation(this.catalogue, command.operation);
        const problem = command.problem ?? ("problem" in next ? next.problem : undefined);
        if ("problem" in next || problem !== undefined) {
            return this.recordResult(command, digest, ApplyOutcome.rejected, problem ?? "", [], undefined);
        }
        return this.accept(command, digest, next);
    }

    private recordConflict(command: ChangeCommand, digest: string): ChangeResult {
        const winner = this.audit.find(record =>
            record.outcome === ApplyOutcome.accepted && record.revision === command.baseRevision + 1
        );
        const detail = winner === undefined
            ? `the base revision ${command.baseRevision} is not the current one, ${this.revision}`
            : `revision ${winner.revision} was made by ${winner.operator} with change ${winner.changeId}`;
        return this.recordResult(command, digest, ApplyOutcome.conflict, detail, [], winner);
    }

    private accept(command: ChangeCommand, digest: string, next: Catalogue): ChangeResult {
        const before = this.catalogue;
        const revision = before.revision + 1;
        const newList = changedEntryList(next, revision);
        const previousList = currentEntryList(before);
        if (newList !== undefined && previousList !== undefined) {
            this.replacedLists.set(previousList.revision, this.lastGroupTimeMs);
        }
        const retainedLists = this.pruneEntryLists(next);
        this.catalogue = {
            ...next,
            revision,
            entryLists: newList === undefined ? retainedLists : [...retainedLists, newList],
        };
        const groups = newList === undefined ? undefined : listRequiredGroups(before, this.catalogue);
        const differences = listDifferences(before, this.catalogue);
        return this.recordResult(command, digest, ApplyOutcome.accepted, "", differences, undefined, groups);
    }

    private pruneEntryLists(catalogue: Catalogue): Catalogue["entryLists"] {
        const retained = catalogue.entryLists.filter(list => {
            const replacedAtMs = this.replacedLists.get(list.revision);
            return replacedAtMs === undefined || this.lastGroupTimeMs - replacedAtMs <= entryListRetentionMs;
        });
        const retainedRevisions = new Set(retained.map(list => list.revision));
        [...this.replacedLists.keys()].filter(key => !retainedRevisions.has(key)).forEach(key =>
            this.replacedLists.delete(key)
        );
        return retained;
    }

    private recordResult(
        command: ChangeCommand,
        operationDigest: string,
        outcome: ApplyOutcome,
        detail: string,
        difference: readonly FieldDifference[],
        winner: AuditRecord | undefined,
        requiredGroups?: readonly EntryGroup[],
    ): ChangeResult {
        const { changeId, operator, from } = command;
        const at = new Date(command.proposedAtMs).toISOString();
        const operation = command.operation.kind;
        this.differenceCount += difference.length;
        this.audit.push({
            revision: this.revision,
            changeId,
            operator,
            from,
            at,
            operation,
            difference,
            outcome,
            detail,
        });
        return { changeId, operationDigest, outcome, revision: this.revision, detail, winner, requiredGroups };
    }

    /** Removing a change id is safe: its change cannot be applied twice, as its base revision is no longer current. */
    private trimHistory(): void {
        while (this.audit.length > maxAuditRecords || this.differenceCount > maxTotalDifferences) {
            this.differenceCount -= this.audit.shift()?.difference.length ?? 0;
        }
        for (const changeId of this.results.keys()) {
            if (this.results.size <= maxAuditRecords) {
                break;
            }
            this.results.delete(changeId);
        }
    }
}

/** Returns a digest of a change's operation that does not depend on the order of its fields. */
export function digestOperation(operation: ChangeOperation): string {
    return createHash("sha256").update(JSON.stringify(operation, sortKeys)).digest("base64url");
}

function sortKeys(_key: string, value: unknown): unknown {
    if (typeof value !== "object" || value === null || Array.isArray(value)) {
        return value;
    }
    return Object.fromEntries(Object.entries(value).sort(([first], [second]) => first < second ? -1 : 1));
}

function answerResend(known: ChangeResult, digest: string): ChangeResult {
    if (known.operationDigest === digest) {
        return known;
    }
    const detail = `change id ${known.changeId} was already used for another operation`;
    return { ...known, outcome: ApplyOutcome.rejected, detail, winner: undefined };
}

function isMatch(record: AuditRecord, filter: AuditFilter): boolean {
    return (filter.operator === undefined || record.operator === filter.operator) &&
        (filter.changeId === undefined || record.changeId === filter.changeId) &&
        (filter.sinceRevision === undefined || record.revision >= filter.sinceRevision) &&
        (filter.untilRevision === undefined || record.revision <= filter.untilRevision) &&
        (filter.outcome === undefined || record.outcome === filter.outcome);
}

/**
 * Returns the groups that must hold a change of the entry list: those of the new list without its added entries, and
 * those of the replaced list, whose entries confirm their configuration with each other until they hold the change.
 */
function listRequiredGroups(before: Catalogue, after: Catalogue): readonly EntryGroup[] {
    const previousIds = currentEntryList(before)?.entryIds ?? [];
    const retainedIds = (currentEntryList(after)?.entryIds ?? []).filter(id => previousIds.includes(id));
    return [...groupByRegion(retainedIds, after), ...groupByRegion(previousIds, before)];
}

function groupByRegion(entryIds: readonly string[], catalogue: Catalogue): readonly EntryGroup[] {
    const groups = new Map<string, string[]>();
    for (const id of entryIds) {
        const region = catalogue.entryVms[id].region;
        groups.set(region, [...groups.get(region) ?? [], id]);
    }
    return [...groups].map(([region, ids]) => ({ region, entryIds: ids }));
}
