import test from "ava";
import { ManualClock, readInstant } from "../core/clock.js";
import { SeededRandom } from "../core/random.js";
import { GatewayMetrics } from "../metrics/gatewayMetrics.js";
import { OverloadControl } from "./overloadControl.js";
import type { WaitingRequest } from "./placement.js";

const gauges = {
    inFlight: () => 0,
    directoryVersion: () => 0,
    routesVersion: () => 0,
    isConfirmed: () => true,
    upstreams: () => 0,
    ejectedUpstreams: () => 0,
    coldUpstreams: () => 0,
    limitedUpstreams: () => 0,
};

test("guards against refusals by figures of the past, of another zone or of another service", t => {
    const clock = new ManualClock(1000);
    const logger = { debug: () => 0, info: () => 0, warn: () => 0, error: () => 0 };
    const control = new OverloadControl({
        logger,
        metrics: new GatewayMetrics(gauges),
        clock,
        random: new SeededRandom(1),
        availabilityZone: "az-1",
        onShortage: () => undefined,
    });
    const policy = control.makeQueuePolicy("orders");
    const countRefused = () =>
        Array.from({ length: 20 }, () => {
            const nowMs = clock.monotonicMs();
            const times = { targetAtMs: nowMs + 300, onTimeOnlyUntilMs: nowMs + 100, waitUntilMs: nowMs + 120 };
            const request: WaitingRequest = { priority: 1, baselineMs: 100, kind: "stock", ...times };
            return policy.isRefused(request, [], 10, nowMs);
        }).filter(isRefused => isRefused).length;
    const rows = [[1, 100, 50, 50]] as const;
    t.is(countRefused(), 0);
    t.is(control.describeDemand(), undefined);
    control.applyDemand([{ service: "orders", availabilityZone: "az-2", rows }], readInstant(clock));
    control.applyDemand([{ service: "moulds", availabilityZone: "az-1", rows }], readInstant(clock));
    t.is(countRefused(), 0);
    control.applyDemand([{ service: "orders", availabilityZone: "az-1", rows }], readInstant(clock));
    const refusedCount = countRefused();
    t.true(refusedCount >= 7 && refusedCount <= 9, "six tenths are admitted");
    t.is(control.describeDemand()?.length, 1);
    clock.advance(2001);
    // The refusals themselves were not for lack of capacity here, so the entry's own queue is not short either.
    const wasShort = countRefused();
    t.is(wasShort, 0);
});
