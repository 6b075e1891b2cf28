import { z } from "zod";
import { defaultEntryLimits as defaults, type EntryLimits } from "../entry/options.js";
import { address, identifier, integer, list, object, oneOf, text, Unit } from "./fields.js";

const mebibyte = 1024 * 1024;
const maxTimeMs = 600_000;

/** Minimum length of the cluster secret and of tokens, in characters; shorter ones could be guessed. */
export const minSecretLength = 16;

const filePath = () => text("path of a file, relative to the folder of this file");
const bytes = (maxBytes: number) => integer(Unit.bytes, 0, maxBytes);
const duration = () => integer(Unit.ms, 1, maxTimeMs);
const token = () => {
    const error = `token of at least ${minSecretLength} characters`;
    return z.string({ error }).min(minSecretLength, { error }).meta({ expected: error });
};
const count = (max: number) => integer(Unit.count, 1, max);

const logSchema = object({
    format: oneOf("json", "pretty").default("json").describe("JSON lines, or text for people."),
    level: oneOf("debug", "info", "warn", "error").default("info").describe("Lowest level that is written."),
});

const metricsSchema = object({
    address: address().describe("Address of the StatsD receiver (UDP)."),
    prefix: text().default("figwharf.").describe("Prefix of all metric names."),
});

const entryLimitsSchema = object({
    headBytes: bytes(mebibyte).default(defaults.headBytes).describe("Largest request head."),
    bodyBytes: bytes(1024 * mebibyte).default(defaults.bodyBytes).describe("Largest request body."),
    bufferedBodyBytes: bytes(64 * mebibyte).default(defaults.bufferedBodyBytes)
        .describe("Bodies up to this size are buffered, so that they can be sent again and hashed."),
    retainedBodyBytes: bytes(64 * mebibyte).default(defaults.retainedBodyBytes)
        .describe("Largest response body that is retained for resends."),
    connections: count(100_000).default(defaults.connections).describe("Connections of callers and upstreams."),
    connectionsPerUpstream: count(10_000).default(defaults.connectionsPerUpstream)
        .describe("Connections to one upstream."),
    requests: count(100_000).default(defaults.requests)
        .describe("Requests that are being read, waiting or in flight, over all services."),
    places: count(100_000).default(defaults.places).describe("Requests that may be in flight, over all services."),
    bufferedBytes: bytes(1024 * mebibyte).default(defaults.bufferedBytes)
        .describe("Bytes of request and response bodies that are held in memory, over all requests."),
    headTimeoutMs: duration().default(defaults.headTimeoutMs).describe("Time to receive a request head."),
    bodyTimeoutMs: duration().default(defaults.bodyTimeoutMs).describe("Time to receive a body that is buffered."),
    keepAliveTimeoutMs: duration().default(defaults.keepAliveTimeoutMs)
        .describe("Idle time after which a caller's connection is closed."),
    upstreamIdleMs: duration().default(defaults.upstreamIdleMs)
        .describe("Idle time after which a connection to an upstream is not used again."),
    connectTimeoutMs: duration().default(defaults.connectTimeoutMs).describe("Time to connect to an upstream."),
    stallTimeoutMs: duration().default(defaults.stallTimeoutMs)
        .describe("Time after which a caller that does not read its response is disconnected."),
    maxDeadlineMs: duration().default(defaults.maxDeadlineMs).describe("Longest deadline that a caller can state."),
}) satisfies z.ZodType<EntryLimits>;

const locationFields = {
    region: identifier().describe("Region of the VM."),
    availabilityZone: identifier().describe("Availability zone of the VM."),
};

const commonFields = {
    clusterSecretFile: filePath().describe(
        `File with the secret that all processes of the system share, at least ${minSecretLength} characters. ` +
            "Its value is never logged.",
    ),
    log: logSchema.prefault({}).describe("Log lines on standard output."),
};

/** Settings of the daemon `figwharf entry`. */
export const entrySettingsSchema = object({
    id: identifier().describe("Id of the entry VM, as in the catalogue."),
    ...locationFields,
    listen: address().describe("Address for callers and upstreams, as in the catalogue."),
    peerListen: address().describe("Address for the system's own processes, as in the catalogue."),
    controlAddresses: list(address()).min(1, { error: "at least one address" })
        .describe("Peer addresses of the control VMs."),
    limits: entryLimitsSchema.prefault({}).describe("Limits that bound the memory of the entry."),
    metrics: metricsSchema.optional().describe("Where metrics are sent; without it, none are sent."),
    ...commonFields,
});

const memberSchema = object({
    id: identifier().describe("Id of a control VM."),
    peerAddress: address().describe("Peer address of that VM."),
});

/** Settings of the daemon `figwharf control`. */
export const controlSettingsSchema = object({
    id: identifier().describe("Id of the control VM; also in `members`."),
    ...locationFields,
    operatorListen: address().describe("Address for operators."),
    peerListen: address().describe("Address for the system's own processes."),
    members: list(memberSchema).min(1, { error: "at least one member" })
        .describe("All control VMs, this one included."),
    dataFolder: text("path of a folder, relative to the folder of this file")
        .describe("Folder of the log and the snapshots; on a disk that survives a restart."),
    operatorTokensFile: filePath().describe(
        "File with the operators and their bearer tokens. Its values are never logged.",
    ),
    ...commonFields,
});

/** Content of the file that `operatorTokensFile` refers to. */
export const operatorTokensSchema = object({
    operatorTokens: list(object({
        operator: identifier().describe("Name of the operator; it appears in the audit trail."),
        token: token().describe("Bearer token."),
    })).min(1, { error: "at least one operator" }).describe("Operators and their bearer tokens."),
});

/** Settings of the operators' commands (`--config FILE`). */
export const operatorSettingsSchema = object({
    operator: identifier().describe("Name of the operator; part of the change ids that the commands make."),
    controlAddresses: list(address()).min(1, { error: "at least one address" })
        .describe("Operator addresses of the control VMs, tried in this order."),
    tokenFile: filePath().describe("File with the operator's bearer token."),
    callTimeoutMs: duration().default(6_000)
        .describe("Time to wait for one answer of one control VM; above the 4,000 ms that a change waits for entries."),
    totalTimeoutMs: duration().default(20_000).describe("Time to find a control VM that can answer."),
});

/** Settings after validation, with defaults applied. */
export type EntrySettings = z.output<typeof entrySettingsSchema>;
export type ControlSettings = z.output<typeof controlSettingsSchema>;
export type OperatorSettings = z.output<typeof operatorSettingsSchema>;
export type LogSettings = z.output<typeof logSchema>;
export type MetricsSettings = z.output<typeof metricsSchema>;
