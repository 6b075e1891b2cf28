import http from "node:http";
import type { RandomSource } from "../core/random.js";
import type { Registration } from "../directory/model.js";
import { toHeaderFields } from "../entry/headers.js";
import { isFinalStatus, type ResponseHead } from "../requests/model.js";

/** Timeout of a checked instance; an overloaded one answers health checks well within it. */
const checkTimeoutMs = 500;
/** Instances that a check covers per availability zone while the entry is not known to be cut off. */
const checkedPerZone = 4;
/** The same while it is cut off: few, since they are checked twice a second. */
const recoveryCheckedPerZone = 1;

/** Chooses the instances of a check: a few random ones of every availability zone. */
export function chooseChecked(
    registrations: readonly Registration[],
    isRecovery: boolean,
    random: RandomSource,
): readonly Registration[] {
    const zones = new Map<string, Registration[]>();
    for (const registration of registrations) {
        const inZone = zones.get(registration.availabilityZone) ?? [];
        inZone.push(registration);
        zones.set(registration.availabilityZone, inZone);
    }
    // With few zones, a recovery needs more instances of each, since it takes several answers.
    const perZone = isRecovery ? Math.max(recoveryCheckedPerZone, Math.ceil(3 / zones.size)) : checkedPerZone;
    return [...zones.values()].flatMap(inZone =>
        Array.from(
            { length: Math.min(perZone, inZone.length) },
            () => inZone.splice(random.nextInt(inZone.length), 1)[0],
        )
    );
}

/** Sends a health check on a new connection; resolves with the response head, or undefined without a response. */
export function checkInstance(address: string, path: string): Promise<ResponseHead | undefined> {
    const separator = address.lastIndexOf(":");
    return new Promise(resolve => {
        const request = http.get({
            host: address.slice(0, separator),
            port: Number(address.slice(separator + 1)),
            path,
            agent: false,
        });
        const finish = (head: ResponseHead | undefined) => {
            clearTimeout(timer);
            resolve(head);
            request.destroy();
        };
        const timer = setTimeout(() => finish(undefined), checkTimeoutMs);
        request.on("response", ({ statusCode, rawHeaders }) => {
            // Without the status of a final response, it is a missing one.
            finish(isFinalStatus(statusCode) ? { status: statusCode, headers: toHeaderFields(rawHeaders) } : undefined);
        });
        // An error is a missing response; one after the response is caused by `destroy`.
        request.on("error", () => finish(undefined));
    });
}
