import { type Catalogue, emptyCatalogue } from "../src/catalogue/model.js";
import type { ApplyAnswer, AuditRecord, StatusAnswer } from "../src/control/operatorApi.js";
import type { FakeBehaviour } from "./fakeControl.js";

const winner: AuditRecord = {
    revision: 5,
    changeId: "c-bela",
    operator: "bela",
    from: "10.1.1.9",
    at: "2026-03-01T08:00:00.000Z",
    operation: "set-upstream-override",
    difference: [{ path: "upstreamOverrides.orders/orders-1", before: undefined, after: "\"draining\"" }],
    outcome: "accepted",
    detail: "",
};

const catalogue: Catalogue = {
    ...emptyCatalogue,
    revision: 4,
    upstreamOverrides: [{ service: "orders", upstreamId: "orders-9", state: "draining" }],
    runbookCommands: {
        "bench-out": { name: "bench-out", operation: "upstream-drain", arguments: ["orders", "{1}"] },
        "roll-call": { name: "roll-call", operation: "status", arguments: [] },
    },
};

const status: StatusAnswer = {
    answeredBy: "control-1",
    isQuorumConfirmed: true,
    revision: 4,
    voters: [{ id: "control-1", role: "leader", term: 2, revision: 4, heardAgoMs: 0, problems: [] }],
    entries: [{
        id: "entry-1",
        availabilityZone: "sherbrooke",
        revision: 4,
        incarnation: 7,
        isDraining: false,
        isConfirmed: true,
        heardAgoMs: 300,
        measuringSpentMsPerSecond: { orders: 12.25 },
        problems: ["no upstream of moulds"],
    }],
    upstreams: [{
        service: "orders",
        id: "orders-9",
        address: "10.1.9.9:9000",
        availabilityZone: "sherbrooke",
        state: "ready",
        slots: 3,
        incarnation: 2,
        evidenceAgeMs: 400,
    }],
};

const show: FakeBehaviour[] = [{ kind: "result", result: { catalogue } }];
const hangUp: FakeBehaviour[] = [{ kind: "hang-up" }];
const noLeader: FakeBehaviour = { kind: "error", code: "leader-unknown", message: "no control VM leads" };

/** Returns a behaviour that answers a change with an outcome. */
export function applyAnswer(
    outcome: ApplyAnswer["outcome"],
    answerOverrides: Partial<ApplyAnswer> = {},
): FakeBehaviour[] {
    const answer = {
        outcome,
        revision: 5,
        detail: "",
        winner: undefined,
        entriesHolding: 2,
        entriesTotal: 3,
        ...answerOverrides,
    };
    return [{ kind: "result", result: answer }];
}

/** A command, the behaviour of the control VMs, and the expected result. */
export interface CommandCase {
    readonly guardsAgainst: string;
    readonly command: string;
    /** Behaviours of each control VM by method; undefined for a VM that refuses connections. */
    readonly controls: readonly (Readonly<Record<string, FakeBehaviour[]>> | undefined)[];
    readonly exitCode: number;
    readonly callTimeoutMs?: number;
    readonly stdout?: RegExp;
    readonly stderr?: RegExp;
    /** Number of `catalogue.apply` calls over all control VMs; they all carry the same change id. */
    readonly applyCalls?: number;
}

const drainCommand = "upstream drain orders orders-1";
/** Command that applies valid declarations against revision 4. */
export const applyCommand = "catalogue apply examples/catalogue --base-revision 4";

/** All cases. Tests select some of them by index. */
export const cases: readonly CommandCase[] = [
    {
        guardsAgainst: "an accepted change reported with another outcome",
        command: drainCommand,
        controls: [{ "catalogue.show": show, "catalogue.apply": applyAnswer("accepted") }],
        exitCode: 0,
        stdout: /is accepted as revision 5; 2 of 3 entries hold it/,
        applyCalls: 1,
    },
    {
        guardsAgainst: "a pending change reported as accepted",
        command: applyCommand,
        controls: [{ "catalogue.apply": applyAnswer("pending") }],
        exitCode: 5,
        stdout:
            /PENDING.*\n.*same change again:\n {2}figwharf catalogue apply examples\/catalogue .*--change-id [0-9a-f]{32}/,
    },
    {
        guardsAgainst: "a conflict that does not name the winning change",
        command: applyCommand,
        controls: [{ "catalogue.apply": applyAnswer("conflict", { winner }) }],
        exitCode: 3,
        stdout:
            /CONFLICT.*revision 4 is no longer current\nrevision 5 was made by bela \(change c-bela\) .* from 10.1.1.9/,
    },
    {
        guardsAgainst: "a rejected change reported without its reason",
        command: applyCommand,
        controls: [{ "catalogue.apply": applyAnswer("rejected", { detail: "there is no service x" }) }],
        exitCode: 4,
        stdout: /REJECTED: .* there is no service x/,
    },
    {
        guardsAgainst: "a lost answer reported as a failure, and a retry with another change id",
        command: applyCommand,
        controls: [{ "catalogue.apply": hangUp }, { "catalogue.apply": hangUp }],
        exitCode: 6,
        stdout: /UNKNOWN: whether change [0-9a-f]{32} was made is not known/,
    },
    {
        guardsAgainst: "an unknown outcome after a lost answer although another control VM has the outcome",
        command: applyCommand,
        controls: [{ "catalogue.apply": hangUp }, { "catalogue.apply": applyAnswer("accepted") }],
        exitCode: 0,
        stdout: /is accepted as revision 5/,
        applyCalls: 2,
    },
    {
        guardsAgainst: "an unknown outcome after a change of leader, although a retry returns the outcome",
        command: applyCommand,
        controls: [{ "catalogue.apply": [...applyAnswer("unknown"), ...applyAnswer("accepted")] }],
        exitCode: 0,
        stdout: /is accepted as revision 5/,
        applyCalls: 2,
    },
    {
        guardsAgainst: "failing instead of retrying during an election",
        command: applyCommand,
        controls: [{ "catalogue.apply": [noLeader, ...applyAnswer("accepted")] }, { "catalogue.apply": [noLeader] }],
        exitCode: 0,
        stdout: /is accepted/,
        applyCalls: 3,
    },
    {
        guardsAgainst: "failing because the first control VM is down",
        command: drainCommand,
        controls: [undefined, { "catalogue.show": show, "catalogue.apply": applyAnswer("accepted") }],
        exitCode: 0,
        stdout: /is accepted/,
    },
    {
        guardsAgainst: "an unknown outcome reported when no control VM can handle the change",
        command: applyCommand,
        controls: [undefined, { "catalogue.apply": [noLeader] }],
        exitCode: 7,
        stderr: /no control VM could answer/,
    },
    {
        guardsAgainst: "a refused token that is retried or not reported",
        command: applyCommand,
        controls: [{ "catalogue.apply": [{ kind: "status", status: 401 }] }],
        exitCode: 8,
        stderr: /does not accept the token/,
        applyCalls: 1,
    },
    {
        guardsAgainst: "sending a change whose state the catalogue already has",
        command: "upstream drain orders orders-9",
        controls: [{ "catalogue.show": show }],
        exitCode: 0,
        stdout: /nothing to change: revision 4 already has it/,
        applyCalls: 0,
    },
    {
        guardsAgainst: "skipping a manual retry because the catalogue already has its state",
        command: "upstream drain orders orders-9 --base-revision 3 --change-id c-1",
        controls: [{ "catalogue.apply": applyAnswer("accepted") }],
        exitCode: 0,
        applyCalls: 1,
    },
    {
        guardsAgainst: "sending invalid declarations",
        command: "catalogue apply examples --base-revision 4",
        controls: [{}],
        exitCode: 2,
        stderr: /examples\/services: the file does not exist/,
        applyCalls: 0,
    },
    {
        guardsAgainst: "applying without a base revision",
        command: "catalogue apply examples/catalogue",
        controls: [{}],
        exitCode: 2,
        stderr: /Missing required flag base-revision/,
    },
    {
        guardsAgainst: "a plan that omits or applies a change",
        command: "catalogue plan examples/catalogue",
        controls: [{ "catalogue.show": show }],
        exitCode: 0,
        stdout:
            /services.orders: \(none\) -> \{"name":"orders"[^]*bench-out.arguments: \["orders","\{1\}"\] -> [^]*--base-revision 4/,
        applyCalls: 0,
    },
    {
        guardsAgainst: "an unknown runbook command reported without the known ones",
        command: "run bench-gone orders-1",
        controls: [{ "catalogue.show": show }],
        exitCode: 2,
        stderr: /there is no runbook command bench-gone; the catalogue has bench-out, roll-call/,
    },
    {
        guardsAgainst: "running a runbook command with a missing argument",
        command: "run bench-out",
        controls: [{ "catalogue.show": show }],
        exitCode: 2,
        stderr: /bench-out takes 1 arguments, got 0/,
        applyCalls: 0,
    },
    {
        guardsAgainst: "a runbook command that runs the wrong operation",
        command: "run bench-out orders-1",
        controls: [{ "catalogue.show": show, "catalogue.apply": applyAnswer("pending") }],
        exitCode: 5,
        stdout: /figwharf run bench-out orders-1 --config .* --base-revision 4 --change-id/,
        applyCalls: 1,
    },
    {
        guardsAgainst: "a status that omits problems or probe costs",
        command: "status",
        controls: [{ status: [{ kind: "result", result: status }] }],
        exitCode: 0,
        stdout:
            /confirmed by a quorum[^]*control-1 +leader[^]*orders +12.3[^]*1 problem:\n {2}entry-1: no upstream of moulds/,
    },
    {
        guardsAgainst: "showing the stale status of a partitioned control VM although another one has a quorum",
        command: "run roll-call",
        controls: [
            { "catalogue.show": show, "status": [{ kind: "result", result: { ...status, isQuorumConfirmed: false } }] },
            { status: [{ kind: "result", result: { ...status, answeredBy: "control-2" } }] },
        ],
        exitCode: 0,
        stdout: /answered by control-2, confirmed by a quorum/,
    },
    {
        guardsAgainst: "a status command blocked by an unresponsive control VM",
        command: "status",
        controls: [{ status: [{ kind: "silent" }] }, { status: [{ kind: "result", result: status }] }],
        callTimeoutMs: 600_000,
        exitCode: 0,
        stdout: /answered by control-1, confirmed by a quorum/,
    },
    {
        guardsAgainst: "an audit command blocked by an unresponsive control VM",
        command: "audit",
        controls: [
            { "audit.list": [{ kind: "silent" }] },
            { "audit.list": [{ kind: "result", result: { records: [winner] } }] },
        ],
        callTimeoutMs: 600_000,
        exitCode: 0,
        stdout: /1 record/,
    },
    {
        guardsAgainst: "an expired confirmation shown as valid after its entry stopped reporting",
        command: "status",
        controls: [{
            status: [{
                kind: "result",
                result: { ...status, entries: status.entries.map(entry => ({ ...entry, heardAgoMs: 17_000 })) },
            }],
        }],
        exitCode: 0,
        stdout: /entry-1 +sherbrooke +4 +unknown +no +17.0 s ago/,
    },
    {
        guardsAgainst: "a status that does not report a lost quorum",
        command: "status",
        controls: [undefined, { status: [{ kind: "result", result: { ...status, isQuorumConfirmed: false } }] }],
        exitCode: 0,
        stdout: /NOT CONFIRMED BY A QUORUM/,
    },
    {
        guardsAgainst: "an upstream list that omits overrides",
        command: "upstream list --service orders",
        controls: [{ "catalogue.show": show, "status": [{ kind: "result", result: status }] }],
        exitCode: 0,
        stdout: /orders +orders-9 +10.1.9.9:9000 +sherbrooke +ready +draining +3 +0.4 s ago\n1 upstream/,
    },
    {
        guardsAgainst: "an audit trail that omits origins or outcomes",
        command: "audit --limit 1",
        controls: [{ "audit.list": [{ kind: "result", result: { records: [winner] } }] }],
        exitCode: 0,
        stdout:
            /revision 5 set-upstream-override accepted by bela \(change c-bela\) at 2026.* from 10.1.1.9\n {2}upstreamOv/,
    },
];
