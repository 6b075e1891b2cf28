import test from "ava";
import fs from "node:fs";
import path from "node:path";
import { fileURLToPath } from "node:url";

const sourceFolder = fileURLToPath(new URL("../../src", import.meta.url));

/** Headers, calls, fields and values of the platform's protocol, which only `platform/` may use. */
const platformNamePatterns = [
    /x-figwharf-/i,
    /server-limit/i,
    /server-leaving/i,
    /figwharf\/(rpc|resolve|readyz)/,
    /FIGWHARF_BOOT/,
    /\b(seedNodes|nodeName|toleranceCounted|heartbeatAddr|warmupLeft|maxConcurrency|weightedBackends|routeType)\b/,
    /\b(apiKeys|ratePerS|warmupPerS|tenants?)\b/,
    /\b(configVersion|targetLatency|gracePeriod|budgetSlack|retryBudgetRatio|controlPlane|non_idempotent)\b/,
    /from ".*\/platform\//,
];

test("guards against names of the platform's protocol outside its adapter", t => {
    const files = fs.readdirSync(sourceFolder, { recursive: true }).map(String).filter(name => name.endsWith(".ts"));
    t.true(files.length > 50, "the sources were found");
    const found = files.flatMap(name => {
        const text = fs.readFileSync(path.join(sourceFolder, name), "utf8");
        return platformNamePatterns.filter(pattern => pattern.test(text)).map(pattern => `${name}: ${pattern}`);
    });
    t.deepEqual(found, []);
});
