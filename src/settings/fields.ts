import { isIPv4 } from "node:net";
import { z } from "zod";

/** Units of numeric settings; each is the suffix of a field name and its name in error messages. */
export const Unit = {
    ms: "milliseconds",
    msPerSecond: "upstream milliseconds per second",
    perSecond: "per second",
    bytes: "bytes",
    count: "count",
    ratio: "ratio",
} as const;

export type Unit = typeof Unit[keyof typeof Unit];

const maxNameLength = 63;
const maxPort = 65_535;
const unitSuffix =
    /(Ms|Millis|Milliseconds|Sec|Seconds|Minutes|Bytes|Kb|Kib|Mb|Mib|PerSecond|PerMinute|Ratio|Percent)+$/;

/** Integer with a unit and a range, both ends included. */
export function integer(unit: Unit, min: number, max: number) {
    const error = `integer from ${min} to ${max} (${unit})`;
    return z.int({ error }).min(min, { error }).max(max, { error }).meta({ expected: error });
}

/** Number with a unit and a range, both ends included. */
export function decimal(unit: Unit, min: number, max: number) {
    const error = `number from ${min} to ${max} (${unit})`;
    return z.number({ error }).min(min, { error }).max(max, { error }).meta({ expected: error });
}

/** Name of a service, VM, region or availability zone; usable in a URL path and in a metric tag. */
export function identifier() {
    const error = `name of 1 to ${maxNameLength} letters, digits, "-", "." or "_", starting with a letter or digit`;
    return z.string({ error }).regex(/^[A-Za-z0-9][A-Za-z0-9._-]*$/, { error }).max(maxNameLength, { error })
        .meta({ expected: error });
}

/** Text that is not empty. */
export function text(expected = "text that is not empty") {
    return z.string({ error: expected }).min(1, { error: expected }).meta({ expected });
}

/** True for `IPv4:port` with a port other than 0. */
export function isAddress(value: string): boolean {
    const separator = value.lastIndexOf(":");
    const port = value.slice(separator + 1);
    return isIPv4(value.slice(0, separator)) && /^[1-9]\d{0,4}$/.test(port) && Number(port) <= maxPort;
}

/** `IPv4:port`; VMs are addressed by IP address. */
export function address() {
    const error = "IPv4 address and port, such as 10.0.1.5:7400";
    return z.string({ error }).refine(isAddress, { error }).meta({ expected: error });
}

/** One of a set of words. */
export function oneOf<const Words extends readonly [string, ...string[]]>(...words: Words) {
    const error = `one of ${words.join(", ")}`;
    return z.enum(words, { error }).meta({ expected: error });
}

/** True or false. */
export function flag() {
    return z.boolean({ error: "true or false" }).meta({ expected: "true or false" });
}

/** List of items. */
export function list<Item extends z.ZodType>(item: Item) {
    return z.array(item, { error: "list" });
}

/** Object that refuses unknown keys. A key that differs from a known one only by its unit gets that one as a hint. */
export function object<Shape extends z.ZodRawShape>(shape: Shape) {
    const keys = Object.keys(shape);
    return z.strictObject(shape, {
        error: issue => issue.code === "unrecognized_keys" ? describeKeys(issue.keys[0], keys) : "object",
    });
}

function describeKeys(wrongKey: string, keys: readonly string[]): string {
    const stem = wrongKey.replace(unitSuffix, "").toLowerCase();
    const similar = keys.find(key => key.replace(unitSuffix, "").toLowerCase() === stem);
    return similar === undefined ? `one of the keys ${keys.join(", ")}` : `the key ${similar}`;
}
