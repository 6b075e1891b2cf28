import fs from "node:fs";
import path from "node:path";
import { StorageError } from "../core/errors.js";
import { Disk } from "./disk.js";

const temporarySuffix = ".tmp";
const diskFullCodes = new Set(["ENOSPC", "EDQUOT"]);

/** Disk on a folder of the file system; all calls are synchronous. */
export class FileDisk extends Disk {
    private readonly handles = new Map<string, number>();

    /** Creates the folder when it does not exist. */
    constructor(private readonly folder: string) {
        super();
        this.wrapErrors(folder, "creating the folder", () => {
            fs.mkdirSync(folder, { recursive: true });
            syncFolder(path.dirname(path.resolve(folder)));
        });
    }

    read(name: string): Buffer | undefined {
        return this.wrapErrors(name, "reading", () => {
            const file = path.join(this.folder, name);
            return fs.existsSync(file) ? fs.readFileSync(file) : undefined;
        });
    }

    append(name: string, bytes: Uint8Array): void {
        this.wrapErrors(name, "writing", () => {
            const handle = this.open(name);
            const sizeBytes = fs.fstatSync(handle).size;
            try {
                writeAll(handle, bytes);
            }
            catch (error) {
                // A partial block that later blocks follow would make the log corrupt.
                fs.ftruncateSync(handle, sizeBytes);
                throw error;
            }
        });
    }

    sync(name: string): void {
        this.wrapErrors(name, "syncing", () => fs.fsyncSync(this.open(name)));
    }

    truncate(name: string, sizeBytes: number): void {
        this.wrapErrors(name, "truncating", () => {
            const handle = this.open(name);
            fs.ftruncateSync(handle, sizeBytes);
            fs.fsyncSync(handle);
        });
    }

    replace(name: string, bytes: Uint8Array): void {
        this.wrapErrors(name, "replacing", () => {
            const file = path.join(this.folder, name);
            const handle = fs.openSync(file + temporarySuffix, "w");
            try {
                writeAll(handle, bytes);
                fs.fsyncSync(handle);
            }
            finally {
                fs.closeSync(handle);
            }
            this.closeHandle(name);
            fs.renameSync(file + temporarySuffix, file);
            syncFolder(this.folder);
        });
    }

    close(): void {
        [...this.handles.keys()].forEach(name => this.closeHandle(name));
    }

    /** Syncs the folder after creating a file, so that `sync` needs to sync only the file. */
    private open(name: string): number {
        const openHandle = this.handles.get(name);
        if (openHandle !== undefined) {
            return openHandle;
        }
        const file = path.join(this.folder, name);
        const isNew = !fs.existsSync(file);
        const handle = fs.openSync(file, "a");
        this.handles.set(name, handle);
        if (isNew) {
            syncFolder(this.folder);
        }
        return handle;
    }

    private closeHandle(name: string): void {
        const handle = this.handles.get(name);
        if (handle !== undefined) {
            this.handles.delete(name);
            fs.closeSync(handle);
        }
    }

    private wrapErrors<Result>(name: string, operation: string, action: () => Result): Result {
        try {
            return action();
        }
        catch (error) {
            const file = name === this.folder ? name : path.join(this.folder, name);
            const isFull = diskFullCodes.has((error as NodeJS.ErrnoException).code ?? "");
            // Callers retry after `storage-full`; a failed sync is not reported as that.
            if (isFull && operation !== "syncing") {
                throw new StorageError("storage-full", { file, operation }, { cause: error });
            }
            const reason = error instanceof Error ? error.message : String(error);
            throw new StorageError("storage-failed", { file, operation, reason }, { cause: error });
        }
    }
}

function writeAll(handle: number, bytes: Uint8Array): void {
    let offset = 0;
    while (offset < bytes.length) {
        offset += fs.writeSync(handle, bytes, offset);
    }
}

function syncFolder(folder: string): void {
    const handle = fs.openSync(folder, "r");
    try {
        fs.fsyncSync(handle);
    }
    finally {
        fs.closeSync(handle);
    }
}
