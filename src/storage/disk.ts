/** Files of one data folder. All methods throw StorageError when the disk is full or failing. */
export abstract class Disk {
    /** Returns the content of a file, or undefined when there is none. */
    abstract read(name: string): Buffer | undefined;
    /** Adds bytes at the end of a file; they are durable only after `sync`. */
    abstract append(name: string, bytes: Uint8Array): void;
    /** Makes the appended bytes of a file durable, and its name in the folder. */
    abstract sync(name: string): void;
    /** Cuts a file off; durable on return. */
    abstract truncate(name: string, sizeBytes: number): void;
    /** Replaces the content of a file; on return it is durable, after a crash it is the old or the new one. */
    abstract replace(name: string, bytes: Uint8Array): void;
    abstract close(): void;
}
