import { Packr } from "msgpackr";
import type { RouteChange } from "./directoryState.js";
import type { RouteTable } from "./model.js";
import { updateRoutes } from "./updateRoutes.js";

/**
 * Maximum size of an encoded route table. A control VM holds a table several times: in use, as a record of the log, in a
 * snapshot and in messages.
 */
export const maxTableBytes = 4 * 1024 * 1024;

const packr = new Packr({ useRecords: false });

/** Returns the size of an encoded route table. */
export function measureTable(table: RouteTable): number {
    return packr.pack(table).length;
}

/** Returns why a change cannot be held by the control VMs, or undefined if it can. */
export function findSizeProblem(current: RouteTable, { table, update, baseVersion }: RouteChange): string | undefined {
    const updated = update !== undefined && baseVersion === current.version ? updateRoutes(current, update) : undefined;
    const result = table ?? updated;
    const sizeBytes = result === undefined ? packr.pack(update).length : measureTable(result);
    return sizeBytes > maxTableBytes
        ? `the routes take ${sizeBytes} bytes, and the limit is ${maxTableBytes} bytes`
        : undefined;
}
