import test from "ava";
import type { Organisation, RouteTable } from "../directory/model.js";
import { makeRoute, makeTable } from "../directory/testing.js";
import { GatewayMetrics } from "../metrics/gatewayMetrics.js";
import { isHome } from "./homes.js";
import { OrganisationAdmission } from "./organisationAdmission.js";
import { UnlimitedQuotaGate } from "./quotaGate.js";

function makeMetrics(): GatewayMetrics {
    const zero = () => 0;
    return new GatewayMetrics({
        inFlight: zero,
        directoryVersion: zero,
        routesVersion: zero,
        isConfirmed: () => true,
        upstreams: zero,
        ejectedUpstreams: zero,
        coldUpstreams: () => 0,
        limitedUpstreams: zero,
    });
}

function makeTableOf(organisations: readonly Organisation[]): RouteTable {
    return { ...makeTable(1), organisations };
}

test("guards against metrics whose number grows with organisations, or stays after they were removed", async t => {
    const metrics = makeMetrics();
    const admission = new OrganisationAdmission({ quotaGate: new UnlimitedQuotaGate(), metrics, region: "west" });
    const countSeries = async () => (await metrics.organisationRequests.get()).values.length;
    const many = Array.from({ length: 1000 }, (_value, index) => ({ name: `o-${index}`, keys: [`k-${index}`] }));
    admission.setTable(makeTableOf(many));
    many.forEach(organisation => admission.takeQuota(organisation));
    t.is(await countSeries(), 257);
    admission.setTable(makeTableOf(many.slice(0, 3)));
    t.is(await countSeries(), 4, "three organisations and the shared label remain");
    for (let index = 0; index < 1000; index++) {
        admission.check(makeRoute(), () => [`guess-${index}`], true);
    }
    t.is((await metrics.rejectedKeys.get()).values.length, 1);
    t.false((await metrics.registry.metrics()).includes("guess"));
});

test("guards against reading keys of requests that need none", t => {
    const metrics = makeMetrics();
    const admission = new OrganisationAdmission({ quotaGate: new UnlimitedQuotaGate(), metrics, region: "west" });
    const readKeys = () => t.fail() as never;
    t.is(admission.check(makeRoute(), readKeys, true).kind, "accepted");
    admission.setTable(makeTableOf([{ name: "acme", keys: ["k"] }]));
    t.is(admission.check(makeRoute({ isPublic: true }), readKeys, true).kind, "accepted");
});

test("guards against requests refused in their home region, or accepted outside of it", t => {
    const acme = { name: "acme", keys: [] };
    t.true(isHome("west", makeRoute(), acme));
    t.true(isHome("west", makeRoute({ homes: [] }), { ...acme, homes: ["east", "west"] }));
    t.false(isHome("west", makeRoute({ homes: ["west"] }), { ...acme, homes: ["east"] }));
    t.false(isHome("west", makeRoute({ homes: ["east"] }), undefined));
    t.true(isHome(undefined, makeRoute({ homes: ["east"] }), undefined));
});
