import { messageMethod } from "../control/peerLinks.js";
import { DirectoryMethod } from "./messages.js";

type Check = (value: unknown) => boolean;

const isText: Check = value => typeof value === "string";
const isNumber: Check = value => typeof value === "number" && Number.isFinite(value);
const isFlag: Check = value => typeof value === "boolean";
const isBytes: Check = value => value instanceof Uint8Array;
const isAnything: Check = () => true;

/** Absent fields arrive as undefined or null, as the codec has it. */
function maybe(check: Check): Check {
    return value => value === undefined || value === null || check(value);
}

function listOf(check: Check): Check {
    return value => Array.isArray(value) && value.every(check);
}

function table(fields: Readonly<Record<string, Check>>): Check {
    return value =>
        typeof value === "object" && value !== null && !Array.isArray(value) &&
        Object.entries(fields).every(([name, check]) => check((value as Record<string, unknown>)[name]));
}

/** Checks a value by its field `kind`. */
function byKind(kinds: Readonly<Record<string, Readonly<Record<string, Check>>>>): Check {
    return value => {
        const kind = (value as { readonly kind?: unknown; } | null | undefined)?.kind;
        return typeof kind === "string" && Object.hasOwn(kinds, kind) && table(kinds[kind])(value);
    };
}

const member = { id: isText, peerAddress: isText };
const members = { voters: listOf(table(member)), learners: listOf(table(member)) };

const isCommand = byKind({
    "no-op": {},
    "change": { change: isAnything },
    "members": { members: table(members) },
});
const isRecord = table({ index: isNumber, term: isNumber, command: isCommand });
const question = { term: isNumber, lastIndex: isNumber, lastTerm: isNumber };
const vote = { term: isNumber, isGranted: isFlag };

const isReplicationMessage = byKind({
    "pre-vote": question,
    "vote": question,
    "pre-vote-answer": vote,
    "vote-answer": vote,
    "append": {
        term: isNumber,
        previousIndex: isNumber,
        previousTerm: isNumber,
        records: listOf(isRecord),
        commitIndex: isNumber,
        round: isNumber,
    },
    "append-answer": { term: isNumber, isMatch: isFlag, matchIndex: isNumber, round: isNumber, revision: isNumber },
    "snapshot": {
        term: isNumber,
        index: isNumber,
        snapshotTerm: isNumber,
        members: table(members),
        offset: isNumber,
        data: isBytes,
        isLast: isFlag,
        round: isNumber,
    },
    "snapshot-answer": { term: isNumber, snapshotIndex: isNumber, nextOffset: isNumber, round: isNumber },
});

const isRoute = table({
    name: isText,
    pathPrefix: isText,
    isIdempotent: isFlag,
    kind: maybe(isText),
    targetLatencyMs: maybe(isNumber),
    priority: isNumber,
    timeoutMs: maybe(isNumber),
    maxAttempts: isNumber,
    targets: listOf(table({ service: isText, weight: isNumber })),
    isSplit: isFlag,
});
const content = {
    version: isNumber,
    hosts: listOf(table({ host: isText, routes: listOf(isRoute) })),
    services: listOf(table({ name: isText, healthPath: isText })),
};

/** Returns whether a value is a change of the directory. One that is not would end each replica that applies it. */
export const isDirectoryChange = byKind({
    "routes": {
        baseVersion: isNumber,
        proposedAtMs: isNumber,
        table: maybe(table({ ...content, limits: table({}) })),
        update: maybe(table({
            ...content,
            limits: maybe(table({})),
            removedRoutes: listOf(isText),
            removedServices: listOf(isText),
        })),
    },
    "register": {
        registration: table({
            id: isText,
            bornAtMs: isNumber,
            service: isText,
            address: isText,
            availabilityZone: isText,
            slots: isNumber,
            state: isText,
            sequence: isNumber,
            warmupMs: isNumber,
        }),
    },
    "end": { id: isText, bornAtMs: maybe(isNumber) },
    "expire": { id: isText, bornAtMs: isNumber },
    "node": { node: table({ peerAddress: isText, operatorAddress: isText, availabilityZone: isText }) },
    "node-gone": { peerAddress: isText },
});

const entryReport = { id: isText, address: isText, availabilityZone: isText, isServing: isFlag };

const checks: Readonly<Record<string, Check>> = {
    [messageMethod]: table({ to: isText, message: isReplicationMessage }),
    [DirectoryMethod.watch]: table({
        entry: table(entryReport),
        version: isNumber,
        canUpdate: maybe(isFlag),
        waitMs: isNumber,
    }),
    [DirectoryMethod.reportEntry]: table(entryReport),
    [DirectoryMethod.propose]: table({ change: isDirectoryChange }),
    [DirectoryMethod.readVersion]: isAnything,
    [DirectoryMethod.reportHeard]: table({ ids: listOf(isText), entryCount: maybe(isNumber) }),
    [DirectoryMethod.join]: table(member),
    [DirectoryMethod.leaving]: table(member),
};

/** Returns whether the parameters of a call between processes have the form that the method expects. */
export function areParametersSound(method: string, params: unknown): boolean {
    return Object.hasOwn(checks, method) && checks[method](params);
}
