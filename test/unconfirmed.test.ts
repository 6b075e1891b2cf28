import test from "ava";
import { SystemClock } from "../src/core/clock.js";
import { SeededRandom } from "../src/core/random.js";
import { startEntry } from "../src/entry/daemon.js";
import { defaultEntryLimits } from "../src/entry/options.js";
import { createLogger, createMetrics } from "../src/wiring.js";

const cases = [
    { name: "a write", path: "/services/orders/x", key: undefined, verdict: "not-run", submission: null },
    { name: "a keyed write", path: "/services/orders/x", key: "k", verdict: "may-have-run", submission: "not-run" },
    { name: "a keyed write by Host", path: "/x", key: "k", verdict: "may-have-run", submission: "not-run" },
] as const;

for (const { name, path, key, verdict, submission } of cases) {
    test(`guards against a false not-run verdict of an entry without a configuration: ${name}`, async t => {
        const entry = await startEntry({
            id: "entry-1",
            region: "r",
            availabilityZone: "az-1",
            listen: { host: "127.0.0.1", port: 0 },
            peerListen: { host: "127.0.0.1", port: 0 },
            controlAddresses: ["127.0.0.1:1"],
            clusterSecret: "test-secret",
            limits: defaultEntryLimits,
            logger: createLogger("entry", { format: "json", level: "error" }, []),
            metrics: createMetrics(undefined, {}),
            clock: new SystemClock(),
            random: new SeededRandom(1),
        });
        const headers: Record<string, string> = key === undefined ? {} : { "Idempotency-Key": key };
        const response = await fetch(`http://${entry.address}${path}`, { method: "POST", headers, body: "order" });
        await entry.close();
        t.is(response.status, 503);
        t.is(response.headers.get("figwharf-verdict"), verdict);
        t.is(response.headers.get("figwharf-submission-verdict"), submission);
    });
}
