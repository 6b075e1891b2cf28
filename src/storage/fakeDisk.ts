import { StorageError } from "../core/errors.js";
import type { RandomSource } from "../core/random.js";
import { Disk } from "./disk.js";

/** Thrown by a fake disk to simulate a crash of the process during an operation. */
export class InjectedCrash extends Error {}

interface FakeFile {
    durable: Buffer;
    unsynced: Buffer;
}

/** In-memory disk with fault injection, for tests. */
export class FakeDisk extends Disk {
    private readonly files = new Map<string, FakeFile>();
    private operationsUntilCrash = Infinity;
    private failure: { operation: string; reason: string; } | undefined;
    /** Whether appending and replacing fail because the disk is full; other operations succeed. */
    isFull = false;

    constructor(private readonly random: RandomSource) {
        super();
    }

    /** Throws InjectedCrash at the `count`-th modifying operation from now; 1 is the next one. */
    crashAtOperation(count: number): void {
        this.operationsUntilCrash = count;
    }

    /** Makes all operations of one kind (`append`, `sync`, `truncate` or `replace`) fail from now on. */
    failOn(operation: string, reason: string): void {
        this.failure = { operation, reason };
    }

    /** Discards the unsynced bytes except a random prefix in each file, and clears crashAtOperation and failOn. */
    restart(): void {
        for (const file of this.files.values()) {
            const keptBytes = this.random.nextInt(file.unsynced.length + 1);
            file.durable = Buffer.concat([file.durable, file.unsynced.subarray(0, keptBytes)]);
            file.unsynced = Buffer.alloc(0);
        }
        this.operationsUntilCrash = Infinity;
        this.failure = undefined;
    }

    /** Deletes all files. */
    wipe(): void {
        this.files.clear();
    }

    /** Inverts one byte of a file. */
    corrupt(name: string, offsetBytes: number): void {
        const file = this.openFile(name);
        file.durable = Buffer.from(file.durable);
        file.durable[offsetBytes] ^= 0xff;
    }

    read(name: string): Buffer | undefined {
        const file = this.files.get(name);
        return file === undefined ? undefined : Buffer.concat([file.durable, file.unsynced]);
    }

    append(name: string, bytes: Uint8Array): void {
        const file = this.openFile(name);
        this.injectFaults("append", name, () => {
            file.unsynced = Buffer.concat([
                file.unsynced,
                bytes.subarray(0, this.random.nextInt(bytes.length + 1)),
            ]);
        });
        file.unsynced = Buffer.concat([file.unsynced, bytes]);
    }

    sync(name: string): void {
        this.injectFaults("sync", name);
        const file = this.openFile(name);
        file.durable = Buffer.concat([file.durable, file.unsynced]);
        file.unsynced = Buffer.alloc(0);
    }

    truncate(name: string, sizeBytes: number): void {
        this.injectFaults("truncate", name);
        const file = this.openFile(name);
        file.durable = Buffer.concat([file.durable, file.unsynced]).subarray(0, sizeBytes);
        file.unsynced = Buffer.alloc(0);
    }

    replace(name: string, bytes: Uint8Array): void {
        const replaceContent = () => this.files.set(name, { durable: Buffer.from(bytes), unsynced: Buffer.alloc(0) });
        this.injectFaults("replace", name, () => this.random.nextInt(2) === 0 && replaceContent());
        replaceContent();
    }

    close(): void {
        // Nothing to close.
    }

    private injectFaults(operation: string, file: string, applyPartially: () => void = () => undefined): void {
        if (this.failure?.operation === operation) {
            throw new StorageError("storage-failed", { file, operation, reason: this.failure.reason });
        }
        if (this.isFull && (operation === "append" || operation === "replace")) {
            throw new StorageError("storage-full", { file, operation });
        }
        this.operationsUntilCrash--;
        if (this.operationsUntilCrash <= 0) {
            applyPartially();
            throw new InjectedCrash(`crash at ${operation} of ${file}`);
        }
    }

    private openFile(name: string): FakeFile {
        const existingFile = this.files.get(name);
        const file = existingFile ?? { durable: Buffer.alloc(0), unsynced: Buffer.alloc(0) };
        this.files.set(name, file);
        return file;
    }
}
