import { isIPv4 } from "node:net";
import { z } from "zod";

/** Units of numeric settings, as they are named in error messages; field names carry them as suffixes. */
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

/** Schema of an integer with a unit and an inclusive range. */
export function integer(unit: Unit, min: number, max: number) {
    const error = `integer from ${min} to ${max} (${unit})`;
    return z.int({ error }).min(min, { error }).max(max, { error }).meta({ expected: error });
}

/** Schema of a number with a unit and an inclusive range. */
export function decimal(unit: Unit, min: number, max: number) {
    const error = `number from ${min} to ${max} (${unit})`;
    return z.number({ error }).min(min, { error }).max(max, { error }).meta({ expected: error });
}

/** Schema of a service, VM, region or availability zone name; it is valid in a URL path and in a metric tag. */
export function identifier() {
    const error = `name of 1 to ${maxNameLength} letters, digits, "-", "." or "_", starting with a letter or digit`;
    return z.string({ error }).regex(/^[A-Za-z0-9][A-Za-z0-9._-]*$/, { error }).max(maxNameLength, { error })
        .meta({ expected: error });
}

/** Schema of a non-empty string. */
export function text(expected = "text that is not empty") {
    return z.string({ error: expected }).min(1, { error: expected }).meta({ expected });
}

/** True for `IPv4:port` with a port other than 0. */
export function isAddress(value: string): boolean {
    const separator = value.lastIndexOf(":");
    const port = value.slice(separator + 1);
    return isIPv4(value.slice(0, separator)) && /^[1-9]\d{0,4}$/.test(port) && Number(port) <= maxPort;
}

/** Schema of `IPv4:port`; host names are not accepted. */
export function address() {
    const error = "IPv4 address and port, such as 10.0.1.5:7400";
    return z.string({ error }).refine(isAddress, { error }).meta({ expected: error });
}

/** Schema of a string enum. */
export function oneOf<const Values extends readonly [string, ...string[]]>(...values: Values) {
    const error = `one of ${values.join(", ")}`;
    return z.enum(values, { error }).meta({ expected: error });
}

/** Schema of a boolean. */
export function flag() {
    return z.boolean({ error: "true or false" }).meta({ expected: "true or false" });
}

/** Schema of an array. */
export function list<Item extends z.ZodType>(item: Item) {
    return z.array(item, { error: "list" });
}

/** Schema of an object without unknown keys. The error of a key with a wrong unit suffix names the right key. */
export function object<Shape extends z.ZodRawShape>(shape: Shape) {
    const keys = Object.keys(shape);
    return z.strictObject(shape, {
        error: issue => issue.code === "unrecognized_keys" ? describeExpectedKeys(issue.keys[0], keys) : "object",
    });
}

function describeExpectedKeys(unknownKey: string, keys: readonly string[]): string {
    const stem = unknownKey.replace(unitSuffix, "").toLowerCase();
    const similar = keys.find(key => key.replace(unitSuffix, "").toLowerCase() === stem);
    return similar === undefined ? `one of the keys ${keys.join(", ")}` : `the key ${similar}`;
}
