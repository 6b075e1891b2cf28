import { z } from "zod";
import { address, decimal, flag, identifier, integer, list, object, oneOf, text, Unit } from "../settings/fields.js";
import type { EntryVm, RunbookCommand, Service } from "./model.js";

const maxInFlight = 1_000_000;
const maxRequestsPerSecond = 10_000_000;
const maxQueued = 100_000;
const maxBodyBytes = 64 * 1024 * 1024;
const maxDeadlineMs = 600_000;
const maxMeasuringMsPerSecond = 1_000_000;
const maxProbeCostMs = 10_000;
const maxRampMs = 600_000;
// Retries and hedges above a tenth of the requests would let a full outage multiply the load on the upstreams.
const maxRetryRatio = 0.1;

/** Schema of the limits of a service. */
export const serviceLimitsSchema = object({
    maxInFlight: integer(Unit.count, 1, maxInFlight).default(10_000)
        .describe("Requests in flight, over all entries together."),
    requestsPerSecond: integer(Unit.perSecond, 1, maxRequestsPerSecond).default(100_000)
        .describe("Requests per second, over all entries together."),
    maxQueuedPerEntry: integer(Unit.count, 0, maxQueued).default(1_000)
        .describe("Requests that may wait at one entry."),
    maxPerCallerPerEntry: integer(Unit.count, 1, maxQueued).default(1_000)
        .describe("Requests in flight and waiting of one caller at one entry."),
    maxBodyBytes: integer(Unit.bytes, 0, maxBodyBytes).default(1024 * 1024)
        .describe("Size of a request body."),
    defaultDeadlineMs: integer(Unit.ms, 1, maxDeadlineMs).default(10_000)
        .describe("Deadline of a request that states none."),
});

const hedgingSchema = object({
    enabled: flag().default(false).describe("Whether idempotent requests may be hedged."),
    afterQuantile: decimal(Unit.ratio, 0.5, 0.999).default(0.95)
        .describe("Quantile of the recent latency after which the second attempt starts."),
});

/** Schema of a service, as declared in a file of the folder `services`. */
export const serviceSchema = object({
    name: identifier().describe("Name of the service; callers use it in `/services/NAME/`."),
    owner: text().describe("Team that answers for the service."),
    class: oneOf("interactive", "standard", "batch").default("standard")
        .describe("Priority class of its requests, in falling priority."),
    limits: serviceLimitsSchema.prefault({}).describe("Limits of the service."),
    policy: oneOf("random", "round-robin", "least-outstanding", "two-choices", "slot-grants").default("slot-grants")
        .describe("Routing policy."),
    measuringBudgetMsPerSecond: decimal(Unit.msPerSecond, 0, maxMeasuringMsPerSecond).default(20)
        .describe("Time of the upstreams that probes may cost, over all entries together; 0 sends no probes."),
    probeCostMs: decimal(Unit.ms, 0.1, maxProbeCostMs).default(6).describe(
        "Time of the upstream that one probe costs.",
    ),
    retryRatio: decimal(Unit.ratio, 0, maxRetryRatio).default(maxRetryRatio)
        .describe("Retries and hedges as a share of requests."),
    hedging: hedgingSchema.prefault({}).describe("Hedging of idempotent requests."),
    idempotentMethods: list(oneOf("GET", "HEAD", "OPTIONS", "PUT", "DELETE")).default(["GET", "HEAD", "OPTIONS"])
        .describe("Methods whose requests may be attempted again."),
    rampMs: integer(Unit.ms, 0, maxRampMs).default(2_000)
        .describe("Time over which a new instance gets its full share."),
}) satisfies z.ZodType<Service>;

const entryVmShape = {
    id: identifier().describe("Id of the entry VM, as in its settings."),
    region: identifier().describe("Region of the VM."),
    availabilityZone: identifier().describe("Availability zone of the VM."),
    address: address().describe("Address for callers and upstreams."),
    peerAddress: address().describe("Address for the system's own processes."),
};
const entryVmState = oneOf("active", "draining");

/** Schema of an entry VM in the catalogue. */
export const entryVmSchema = object({ ...entryVmShape, state: entryVmState }) satisfies z.ZodType<EntryVm>;

/** Schema of an entry VM, as declared in `entries.jsonc`. */
export const entryVmDeclarationSchema = object({
    ...entryVmShape,
    state: entryVmState.optional().describe(
        "State of the VM. Without it, the state stays as it is in the catalogue, so that applying a folder does not " +
            "resume a VM that an operator drains; a new VM is active.",
    ),
});

/** Schema of a runbook command, as declared in `commands.jsonc`. */
export const runbookCommandSchema = object({
    name: identifier().describe("Name of the command in the operators' runbooks."),
    operation: text().describe("Operation that the command stands for."),
    arguments: list(text()).default([])
        .describe("Arguments of the operation; `{1}`, `{2}` and so on stand for the arguments of the command."),
}) satisfies z.ZodType<RunbookCommand>;

/** Schema of the file `entries.jsonc` in a declarations folder. */
export const entriesFileSchema = object({
    entryVms: list(entryVmDeclarationSchema).describe("Entry VMs of all regions."),
});

/** Schema of the file `commands.jsonc` in a declarations folder. */
export const commandsFileSchema = object({
    runbookCommands: list(runbookCommandSchema).describe("Runbook commands."),
});

/** Schema of all declarations of a folder, as contained in a change of the catalogue. */
export const declarationsSchema = object({
    services: list(serviceSchema),
    entryVms: list(entryVmSchema),
    runbookCommands: list(runbookCommandSchema),
});

const overrideSchema = object({
    service: identifier(),
    upstreamId: text(),
    state: oneOf("draining"),
});

/** Schema of the operation of a change, as `catalogue.apply` receives it. */
export const changeOperationSchema = z.discriminatedUnion("kind", [
    object({
        kind: z.literal("declare"),
        declarations: declarationsSchema,
        keepStateOf: list(identifier()).optional(),
    }),
    object({ kind: z.literal("set-upstream-override"), override: overrideSchema }),
    object({ kind: z.literal("clear-upstream-override"), service: identifier(), upstreamId: text() }),
    object({
        kind: z.literal("set-entry-vm-state"),
        entryId: identifier(),
        state: oneOf("active", "draining"),
    }),
    object({
        kind: z.literal("set-service-limit"),
        service: identifier(),
        limit: text(),
        value: z.number({ error: "number" }),
    }),
]);

/** Schema of the parameters of `catalogue.apply`. */
export const applyParamsSchema = object({
    changeId: text().max(200),
    baseRevision: z.int().min(0),
    operation: changeOperationSchema,
});
