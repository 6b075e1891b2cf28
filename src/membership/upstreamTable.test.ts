import test from "ava";
import type { LoadReport } from "../requests/model.js";
import { type UpstreamDigestRow, UpstreamTable } from "./upstreamTable.js";
import type { Announcement, UpstreamState } from "./view.js";

const service = "orders";

function announcement(state: UpstreamState, sequence: number, incarnation = 1): Announcement {
    return {
        id: "orders-1",
        service,
        address: "10.0.0.1:80",
        availabilityZone: "az-1",
        slots: 3,
        state,
        incarnation,
        sequence,
        leaseMs: 10_000,
    };
}

function load(state: LoadReport["state"], incarnation = 1): LoadReport {
    return { inFlight: 0, state, incarnation };
}

function digest(row: Announcement, evidenceAgeMs: number | undefined): UpstreamDigestRow {
    return { announcement: row, evidenceAgeMs, readyAgeMs: evidenceAgeMs };
}

interface EvidenceCase {
    readonly name: string;
    readonly apply: (table: UpstreamTable) => void;
    /** Whether the instance is eligible, by time in milliseconds. */
    readonly expected: Readonly<Record<number, boolean>>;
}

const cases: readonly EvidenceCase[] = [
    {
        name: "a ready announcement is valid for 2,500 ms",
        apply: table => table.announce(announcement("ready", 1), 0, 0),
        expected: { 0: true, 2500: true, 2501: false },
    },
    {
        name: "a delayed announcement counts from its send time",
        apply: table => table.announce(announcement("ready", 1), -2000, 0),
        expected: { 0: true, 500: true, 501: false },
    },
    {
        name: "a starting instance is not eligible",
        apply: table => table.announce(announcement("starting", 1), 0, 0),
        expected: { 0: false },
    },
    {
        name: "an older announcement that arrives late changes nothing",
        apply: table => {
            table.announce(announcement("starting", 2), 0, 0);
            table.announce(announcement("ready", 1), 0, 10);
        },
        expected: { 10: false },
    },
    {
        name: "draining is final even against a later sequence number",
        apply: table => {
            table.announce(announcement("draining", 1), 0, 0);
            table.announce(announcement("ready", 9), 10, 10);
            table.applyLoadReport(service, "orders-1", load("ready"), 20);
        },
        expected: { 20: false },
    },
    {
        name: "draining is final when it arrives after a later announcement",
        apply: table => {
            table.announce(announcement("ready", 9), 0, 0);
            table.announce(announcement("draining", 1), 10, 10);
        },
        expected: { 10: false },
    },
    {
        name: "draining in a load report is final",
        apply: table => {
            table.announce(announcement("ready", 1), 0, 0);
            table.applyLoadReport(service, "orders-1", load("draining"), 5);
            table.announce(announcement("ready", 2), 10, 10);
        },
        expected: { 10: false },
    },
    {
        name: "a new incarnation is not draining",
        apply: table => {
            table.announce(announcement("draining", 9), 0, 0);
            table.announce(announcement("ready", 1, 2), 10, 10);
        },
        expected: { 10: true },
    },
    {
        name: "messages of an old incarnation change nothing",
        apply: table => {
            table.announce(announcement("ready", 1, 2), 0, 0);
            table.announce(announcement("draining", 9, 1), 10, 10);
            table.applyLoadReport(service, "orders-1", load("draining", 1), 20);
        },
        expected: { 20: true },
    },
    {
        name: "evidence of an old incarnation does not count for the new one",
        apply: table => {
            table.announce(announcement("ready", 1, 2), 0, 0);
            table.applyLoadReport(service, "orders-1", load("ready", 1), 2000);
        },
        expected: { 2500: true, 2600: false },
    },
    {
        name: "a load report of readiness counts from the send time of the request",
        apply: table => {
            table.announce(announcement("ready", 1), 0, 0);
            table.applyLoadReport(service, "orders-1", load("ready"), 1000);
        },
        expected: { 3500: true, 3501: false },
    },
    {
        name: "the age in a digest is deducted",
        apply: table => table.merge(digest(announcement("ready", 1), 2000), 0, 100),
        expected: { 100: true, 500: true, 501: false },
    },
    {
        name: "a digest of unknown age is not evidence of readiness",
        apply: table => table.merge(digest(announcement("ready", 1), 0), undefined, 0),
        expected: { 0: false },
    },
    {
        name: "draining applies from a digest of unknown age",
        apply: table => {
            table.announce(announcement("ready", 1), 0, 0);
            table.merge(digest(announcement("draining", 2), undefined), undefined, 10);
        },
        expected: { 10: false },
    },
    {
        name: "older evidence of a peer does not shorten newer evidence",
        apply: table => {
            table.announce(announcement("ready", 2), 1000, 1000);
            table.merge(digest(announcement("ready", 1), 900), 1000, 1000);
        },
        expected: { 3500: true },
    },
    {
        name: "an operator's override makes an instance ineligible",
        apply: table => {
            table.announce(announcement("ready", 1), 0, 0);
            table.setOverrides([{ service, upstreamId: "orders-1", state: "draining" }]);
        },
        expected: { 0: false },
    },
    {
        name: "a draining incarnation is retained beyond its lease",
        apply: table => {
            table.announce(announcement("draining", 1), 0, 0);
            table.tick(30_000);
            table.announce(announcement("ready", 2), 30_000, 30_000);
        },
        expected: { 30_000: false },
    },
];

for (const { name, apply, expected } of cases) {
    test(`guards against requests to an upstream that is not ready: ${name}`, t => {
        const table = new UpstreamTable();
        apply(table);
        for (const [atMs, isEligible] of Object.entries(expected)) {
            t.is(table.eligibleUpstreams(service, Number(atMs)).length === 1, isEligible, `at ${atMs} ms`);
            t.is(table.isEligibleTarget("orders-1", "10.0.0.1:80", Number(atMs)), isEligible, `at ${atMs} ms`);
        }
    });
}

test("guards against rows that are never removed: a row without renewals expires with its lease", t => {
    const table = new UpstreamTable();
    table.announce(announcement("ready", 1), 0, 0);
    table.tick(10_000);
    t.is(table.allUpstreams().length, 1);
    table.tick(10_001);
    t.is(table.allUpstreams().length, 0);
    t.is(table.findByAddress("10.0.0.1:80"), undefined);
});

test("guards against requests to an instance whose address another instance has announced since", t => {
    const table = new UpstreamTable();
    table.announce(announcement("ready", 1), 0, 0);
    table.announce({ ...announcement("ready", 1), id: "orders-2" }, 0, 0);
    t.false(table.isEligibleTarget("orders-1", "10.0.0.1:80", 0));
    t.true(table.isEligibleTarget("orders-2", "10.0.0.1:80", 0));
});

test("guards against needless messages: only changes and renewals at this entry are sent to peers", t => {
    const table = new UpstreamTable();
    table.announce(announcement("ready", 1), 0, 0);
    t.is(table.takeChanges(0).length, 1);
    t.is(table.takeRenewals(0).length, 1);
    table.announce(announcement("ready", 2), 800, 800);
    t.is(table.takeChanges(800).length, 0);
    t.is(table.takeRenewals(800).length, 1);
    table.merge(digest(announcement("draining", 3), undefined), 800, 800);
    t.is(table.takeChanges(800).length, 0);
    t.is(table.takeRenewals(800).length, 0);
});
