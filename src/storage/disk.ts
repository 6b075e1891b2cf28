/** Storage for the files of one data folder. All methods throw StorageError when the disk is full or fails. */
export abstract class Disk {
    /** Returns the content of a file, or undefined when the file does not exist. */
    abstract read(name: string): Buffer | undefined;
    /** Appends bytes to a file; they are durable only after `sync`. */
    abstract append(name: string, bytes: Uint8Array): void;
    /** Makes the appended bytes of a file durable, and the file itself if it is new. */
    abstract sync(name: string): void;
    /** Truncates a file; durable on return. */
    abstract truncate(name: string, sizeBytes: number): void;
    /** Atomically replaces the content of a file; durable on return. */
    abstract replace(name: string, bytes: Uint8Array): void;
    abstract close(): void;
}
