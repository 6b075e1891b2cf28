import { createHash } from "node:crypto";

/** Returns the digest by which a key is looked up and sent to entries. */
export function digestKey(key: string): string {
    return createHash("sha256").update(key, "utf8").digest("base64url");
}

/**
 * Returns the digest of a key as it arrived in a header. The HTTP parser decodes each byte as one character, so the
 * digest covers the bytes that the caller sent.
 */
export function digestReceivedKey(key: string): string {
    return createHash("sha256").update(key, "latin1").digest("base64url");
}
