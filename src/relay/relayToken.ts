import { createHmac, randomBytes, timingSafeEqual } from "node:crypto";

/** Age up to which a token is accepted, in either direction: longer than a request and the difference of VM clocks. */
const maxTokenAgeMs = 30_000;
/** Separates this use of the cluster secret from others. */
const purpose = "figwharf relayed request 1";
const nonceBytes = 9;
const tokenPattern = /^(\d{1,16})\.([\w-]{1,32})\.([\w-]{43})$/;

/** Fields of a request that a token covers. */
export interface SignedRequest {
    readonly requestId: string | undefined;
    readonly method: string;
    readonly path: string;
}

/** Returns a token with which another entry of the system recognizes a relayed request. */
export function signRelayedRequest(secret: string, request: SignedRequest, wallMs: number): string {
    const sentAt = String(Math.floor(wallMs));
    const nonce = randomBytes(nonceBytes).toString("base64url");
    return `${sentAt}.${nonce}.${computeCode(secret, request, sentAt, nonce).toString("base64url")}`;
}

/** Returns whether a token was made with the secret for this request, and recently. */
export function isRelayTokenValid(secret: string, request: SignedRequest, token: string, wallMs: number): boolean {
    const [, sentAt, nonce, code] = tokenPattern.exec(token) ?? [];
    if (code === undefined || Math.abs(wallMs - Number(sentAt)) > maxTokenAgeMs) {
        return false;
    }
    const received = Buffer.from(code, "base64url");
    const expected = computeCode(secret, request, sentAt, nonce);
    return received.length === expected.length && timingSafeEqual(received, expected);
}

function computeCode(
    secret: string,
    { requestId, method, path }: SignedRequest,
    sentAt: string,
    nonce: string,
): Buffer {
    return createHmac("sha256", secret)
        .update(JSON.stringify([purpose, sentAt, nonce, requestId ?? "", method, path]))
        .digest();
}
