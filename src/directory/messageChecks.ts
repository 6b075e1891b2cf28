import { messageMethod } from "../control/peerLinks.js";
import { DirectoryMethod } from "./messages.js";

type Check = (value: unknown) => boolean;

const isString: Check = value => typeof value === "string";
const isNumber: Check = value => typeof value === "number" && Number.isFinite(value);
const isBoolean: Check = value => typeof value === "boolean";
const isBytes: Check = value => value instanceof Uint8Array;
const isAny: Check = () => true;

/** The codec decodes absent fields as undefined or null. */
function optional(check: Check): Check {
    return value => value === undefined || value === null || check(value);
}

function arrayOf(check: Check): Check {
    return value => Array.isArray(value) && value.every(check);
}

function objectWith(fields: Readonly<Record<string, Check>>): Check {
    return value =>
        typeof value === "object" && value !== null && !Array.isArray(value) &&
        Object.entries(fields).every(([name, check]) => check((value as Record<string, unknown>)[name]));
}

/** Checks a tagged union by its field `kind`. */
function byKind(kinds: Readonly<Record<string, Readonly<Record<string, Check>>>>): Check {
    return value => {
        const kind = (value as { readonly kind?: unknown; } | null | undefined)?.kind;
        return typeof kind === "string" && Object.hasOwn(kinds, kind) && objectWith(kinds[kind])(value);
    };
}

const memberFields = { id: isString, peerAddress: isString };
const membersFields = { voters: arrayOf(objectWith(memberFields)), learners: arrayOf(objectWith(memberFields)) };

const isCommand = byKind({
    "no-op": {},
    "change": { change: isAny },
    "members": { members: objectWith(membersFields) },
});
const isRecord = objectWith({ index: isNumber, term: isNumber, command: isCommand });
const voteRequestFields = { term: isNumber, lastIndex: isNumber, lastTerm: isNumber };
const voteAnswerFields = { term: isNumber, isGranted: isBoolean };

const isReplicationMessage = byKind({
    "pre-vote": voteRequestFields,
    "vote": voteRequestFields,
    "pre-vote-answer": voteAnswerFields,
    "vote-answer": voteAnswerFields,
    "append": {
        term: isNumber,
        previousIndex: isNumber,
        previousTerm: isNumber,
        records: arrayOf(isRecord),
        commitIndex: isNumber,
        round: isNumber,
        confirmedAtMs: optional(isNumber),
    },
    "append-answer": {
        term: isNumber,
        isMatch: isBoolean,
        matchIndex: isNumber,
        round: isNumber,
        revision: isNumber,
        sentAtMs: optional(isNumber),
    },
    "snapshot": {
        term: isNumber,
        index: isNumber,
        snapshotTerm: isNumber,
        members: objectWith(membersFields),
        offset: isNumber,
        data: isBytes,
        isLast: isBoolean,
        round: isNumber,
    },
    "snapshot-answer": { term: isNumber, snapshotIndex: isNumber, nextOffset: isNumber, round: isNumber },
});

const isRoute = objectWith({
    name: isString,
    pathPrefix: isString,
    isIdempotent: isBoolean,
    kind: optional(isString),
    targetLatencyMs: optional(isNumber),
    priority: isNumber,
    timeoutMs: optional(isNumber),
    maxAttempts: isNumber,
    targets: arrayOf(objectWith({ service: isString, weight: isNumber })),
    isSplit: isBoolean,
    isPublic: optional(isBoolean),
    homes: optional(arrayOf(isString)),
});
const isOrganisation = objectWith({
    name: isString,
    keys: arrayOf(isString),
    priority: optional(isNumber),
    ratePerSecond: optional(isNumber),
    burst: optional(isNumber),
    homes: optional(arrayOf(isString)),
});
const routeTableFields = {
    version: isNumber,
    hosts: arrayOf(objectWith({ host: isString, routes: arrayOf(isRoute) })),
    services: arrayOf(objectWith({ name: isString, healthPath: isString })),
    organisations: optional(arrayOf(isOrganisation)),
};

/** Returns whether a value is a directory change. A malformed change would crash each replica that applies it. */
export const isDirectoryChange = byKind({
    "routes": {
        baseVersion: isNumber,
        proposedAtMs: isNumber,
        table: optional(objectWith({ ...routeTableFields, limits: objectWith({}) })),
        update: optional(objectWith({
            ...routeTableFields,
            limits: optional(objectWith({})),
            removedRoutes: arrayOf(isString),
            removedServices: arrayOf(isString),
            removedOrganisations: optional(arrayOf(isString)),
        })),
    },
    "evacuation": { availabilityZone: isString, isEvacuated: isBoolean, proposedAtMs: isNumber },
    "register": {
        registration: objectWith({
            id: isString,
            bornAtMs: isNumber,
            service: isString,
            address: isString,
            availabilityZone: isString,
            slots: isNumber,
            state: isString,
            sequence: isNumber,
            warmupMs: isNumber,
        }),
    },
    "end": { id: isString, bornAtMs: optional(isNumber) },
    "expire": { id: isString, bornAtMs: isNumber },
    "node": { node: objectWith({ peerAddress: isString, operatorAddress: isString, availabilityZone: isString }) },
    "node-gone": { peerAddress: isString },
});

const limitReports = optional(
    arrayOf(objectWith({ id: isString, bornAtMs: isNumber, perSecond: optional(isNumber), ageMs: isNumber })),
);
const coldReports = optional(arrayOf(objectWith({ id: isString, bornAtMs: isNumber, warmupMs: isNumber })));
const isQuotaUse: Check = value =>
    Array.isArray(value) && value.length === 3 && isString(value[0]) && isNumber(value[1]) && isNumber(value[2]);
const isQuotaLevel: Check = value =>
    Array.isArray(value) && value.length === 2 && isString(value[0]) && isNumber(value[1]);
const isRate: Check = value => isNumber(value) && Number(value) >= 0;
const isDemandRow: Check = value => Array.isArray(value) && value.length === 4 && value.every(isRate);
const isLossRow: Check = value =>
    Array.isArray(value) && value.length === 3 && isString(value[0]) && isString(value[1]) && isNumber(value[2]);
const suspectReport = optional(objectWith({ losses: arrayOf(isLossRow), survived: arrayOf(isString) }));
const entryReportFields = {
    id: isString,
    address: isString,
    availabilityZone: isString,
    isServing: isBoolean,
    services: optional(arrayOf(isString)),
    limits: limitReports,
    isCutOff: optional(isBoolean),
    leaving: optional(arrayOf(objectWith({ id: isString, bornAtMs: isNumber }))),
    cold: coldReports,
    quotas: optional(arrayOf(isQuotaUse)),
    demand: optional(arrayOf(objectWith({ service: isString, rows: arrayOf(isDemandRow) }))),
    suspects: suspectReport,
};

const parameterChecks: Readonly<Record<string, Check>> = {
    [messageMethod]: objectWith({ to: isString, message: isReplicationMessage }),
    [DirectoryMethod.watch]: objectWith({
        entry: objectWith(entryReportFields),
        version: isNumber,
        canUpdate: optional(isBoolean),
        canUnpack: optional(isBoolean),
        limitsVersion: optional(isNumber),
        quotasVersion: optional(isNumber),
        suspectsVersion: optional(isNumber),
        waitMs: isNumber,
        wantsPeers: optional(isBoolean),
    }),
    [DirectoryMethod.reportEntry]: objectWith(entryReportFields),
    [DirectoryMethod.propose]: objectWith({ change: isDirectoryChange }),
    [DirectoryMethod.readVersion]: isAny,
    [DirectoryMethod.listPeers]: isAny,
    [DirectoryMethod.reportHeartbeats]: objectWith({
        ids: arrayOf(isString),
        entryCount: optional(isNumber),
        entries: optional(
            arrayOf(objectWith({ id: isString, availabilityZone: isString, services: arrayOf(isString) })),
        ),
        limits: limitReports,
        cold: coldReports,
        quotas: optional(objectWith({ uses: arrayOf(isQuotaUse), levels: optional(arrayOf(isQuotaLevel)) })),
        suspects: suspectReport,
    }),
    [DirectoryMethod.entryList]: objectWith({ version: isNumber, waitMs: isNumber }),
    [DirectoryMethod.join]: objectWith(memberFields),
    [DirectoryMethod.leaving]: objectWith(memberFields),
};

/** Returns whether the parameters of a call between processes are well-formed for the method. */
export function areParametersValid(method: string, params: unknown): boolean {
    return Object.hasOwn(parameterChecks, method) && parameterChecks[method](params);
}
