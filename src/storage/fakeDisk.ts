import { StorageError } from "../core/errors.js";
import type { RandomSource } from "../core/random.js";
import { Disk } from "./disk.js";

/** The process that uses a fake disk crashed in the middle of an operation. */
export class InjectedCrash extends Error {}

interface FakeFile {
    durable: Buffer;
    unsynced: Buffer;
}

/** Disk in memory with injectable faults, for tests. */
export class FakeDisk extends Disk {
    private readonly files = new Map<string, FakeFile>();
    private operationsUntilCrash = Infinity;
    private failure: { operation: string; reason: string; } | undefined;
    /** Whether writes are refused; reads and syncs work. */
    isFull = false;

    constructor(private readonly random: RandomSource) {
        super();
    }

    /** Throws InjectedCrash at the n-th writing operation from now; 1 is the next one. */
    crashAtOperation(count: number): void {
        this.operationsUntilCrash = count;
    }

    /** Lets all operations of a kind (`append`, `sync`, `truncate` or `replace`) fail from now on. */
    failOn(operation: string, reason: string): void {
        this.failure = { operation, reason };
    }

    /** Loses the unsynced bytes, except for a random prefix of each file, and ends injected faults. */
    restart(): void {
        for (const file of this.files.values()) {
            const kept = this.random.nextInt(file.unsynced.length + 1);
            file.durable = Buffer.concat([file.durable, file.unsynced.subarray(0, kept)]);
            file.unsynced = Buffer.alloc(0);
        }
        this.operationsUntilCrash = Infinity;
        this.failure = undefined;
    }

    /** Loses everything. */
    wipe(): void {
        this.files.clear();
    }

    /** Changes one byte of a file. */
    corrupt(name: string, offsetBytes: number): void {
        const file = this.file(name);
        file.durable = Buffer.from(file.durable);
        file.durable[offsetBytes] ^= 0xff;
    }

    read(name: string): Buffer | undefined {
        const file = this.files.get(name);
        return file === undefined ? undefined : Buffer.concat([file.durable, file.unsynced]);
    }

    append(name: string, bytes: Uint8Array): void {
        const file = this.file(name);
        this.startOperation("append", name, () => {
            file.unsynced = Buffer.concat([file.unsynced, bytes.subarray(0, this.random.nextInt(bytes.length + 1))]);
        });
        file.unsynced = Buffer.concat([file.unsynced, bytes]);
    }

    sync(name: string): void {
        this.startOperation("sync", name);
        const file = this.file(name);
        file.durable = Buffer.concat([file.durable, file.unsynced]);
        file.unsynced = Buffer.alloc(0);
    }

    truncate(name: string, sizeBytes: number): void {
        this.startOperation("truncate", name);
        const file = this.file(name);
        file.durable = Buffer.concat([file.durable, file.unsynced]).subarray(0, sizeBytes);
        file.unsynced = Buffer.alloc(0);
    }

    replace(name: string, bytes: Uint8Array): void {
        const put = () => this.files.set(name, { durable: Buffer.from(bytes), unsynced: Buffer.alloc(0) });
        this.startOperation("replace", name, () => this.random.nextInt(2) === 0 && put());
        put();
    }

    close(): void {
        // Nothing is held open.
    }

    private startOperation(operation: string, file: string, crash: () => void = () => undefined): void {
        if (this.failure?.operation === operation) {
            throw new StorageError("storage-failed", { file, operation, reason: this.failure.reason });
        }
        if (this.isFull && (operation === "append" || operation === "replace")) {
            throw new StorageError("storage-full", { file, operation });
        }
        this.operationsUntilCrash--;
        if (this.operationsUntilCrash <= 0) {
            crash();
            throw new InjectedCrash(`crash at ${operation} of ${file}`);
        }
    }

    private file(name: string): FakeFile {
        const known = this.files.get(name);
        const file = known ?? { durable: Buffer.alloc(0), unsynced: Buffer.alloc(0) };
        this.files.set(name, file);
        return file;
    }
}
