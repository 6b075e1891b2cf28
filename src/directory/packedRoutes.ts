import { Packr } from "msgpackr";
import { deflateRawSync, inflateRawSync } from "node:zlib";
import { maxFrameBytes } from "../transport/framing.js";
import type { DirectoryDelta } from "./directoryState.js";

/** Smaller routes are sent as they are. */
const minPackedBytes = 4 * 1024;
/** Fastest level; routes repeat most of their content. */
const compressionLevel = 1;

const packr = new Packr({ useRecords: false });

/** The part of a delta that is packed: a whole table, or an update of the held one. */
type RouteContent = Pick<DirectoryDelta, "table" | "tableUpdate">;

/** Compresses the routes in deltas for entries, once for all entries that get the same ones. */
export class RoutePacker {
    private readonly packedByContent = new WeakMap<object, Uint8Array | undefined>();

    /** Returns a delta with its routes packed, or as it is if they are small. */
    pack(delta: DirectoryDelta): DirectoryDelta {
        const { table, tableUpdate } = delta;
        const content = table ?? tableUpdate;
        if (content === undefined) {
            return delta;
        }
        if (!this.packedByContent.has(content)) {
            this.packedByContent.set(content, packContent({ table, tableUpdate }));
        }
        const packedRoutes = this.packedByContent.get(content);
        return packedRoutes === undefined
            ? delta
            : { ...delta, table: undefined, tableUpdate: undefined, packedRoutes };
    }
}

function packContent(content: RouteContent): Uint8Array | undefined {
    const bytes = packr.pack(content);
    return bytes.length < minPackedBytes ? undefined : deflateRawSync(bytes, { level: compressionLevel });
}

/** Returns a delta with its routes unpacked. Throws an error if they are damaged. */
export function unpackRoutes(delta: DirectoryDelta): DirectoryDelta {
    const { packedRoutes, ...others } = delta;
    // The codec between processes may decode an undefined field as null.
    if (packedRoutes === undefined || packedRoutes === null) {
        return delta;
    }
    const content = packr.unpack(inflateRawSync(packedRoutes, { maxOutputLength: maxFrameBytes })) as RouteContent;
    return { ...others, ...content };
}
