import test from "ava";
import { benchCatalogue } from "../../bench/benchCatalogue.js";
import type { Catalogue, EntryVm } from "../catalogue/model.js";
import { ConfigLease } from "./configLease.js";

function entryVm(id: string, region: string): EntryVm {
    return { id, region, availabilityZone: "az-1", address: `${id}:80`, peerAddress: `${id}:90`, state: "active" };
}

const entryVms = [..."abcde"].map(id => entryVm(id, "r")).concat(entryVm("f", "other"));

function catalogue(revision: number): Catalogue {
    return benchCatalogue(revision, [], entryVms);
}

interface LeaseCase {
    readonly name: string;
    /** Operates on a lease with revision 5. */
    readonly act: (lease: ConfigLease) => void;
    readonly isConfirmedAt: Readonly<Record<number, boolean>>;
    readonly expectedRevision?: number;
}

function answer(lease: ConfigLease, from: string, revision: number, askedAtMs: number, nowMs: number): void {
    lease.applyPeerAnswer(from, { askedAtMs, revision }, nowMs);
}

const cases: readonly LeaseCase[] = [
    {
        name: "nothing is confirmed after a start",
        act: () => undefined,
        isConfirmedAt: { 0: false },
    },
    {
        name: "an answer of a control VM confirms for 3 s after the request was sent",
        act: lease => lease.applyControlAnswer(true, 5, 1000),
        isConfirmedAt: { 1000: true, 4000: true, 4001: false },
    },
    {
        name: "an answer without a quorum confirms nothing",
        act: lease => lease.applyControlAnswer(false, 5, 1000),
        isConfirmedAt: { 1000: false },
    },
    {
        name: "a higher revision of a control VM confirms nothing before it is applied",
        act: lease => lease.applyControlAnswer(true, 6, 1000),
        isConfirmedAt: { 1000: false },
    },
    {
        name: "a late answer does not shorten a newer confirmation",
        act: lease => {
            lease.applyControlAnswer(true, 5, 1000);
            lease.applyControlAnswer(true, 5, 500);
        },
        isConfirmedAt: { 4000: true },
    },
    {
        name: "a restarted entry does not count itself towards the majority",
        act: lease => {
            lease.startRound(0);
            answer(lease, "b", 5, 0, 10);
            answer(lease, "c", 5, 0, 10);
        },
        isConfirmedAt: { 10: false },
    },
    {
        name: "a restarted entry is confirmed by three of five others",
        act: lease => {
            lease.startRound(0);
            [..."bcd"].forEach(id => answer(lease, id, 5, 0, 10));
        },
        isConfirmedAt: { 10: true, 3000: true, 3001: false },
    },
    {
        name: "an entry confirmed since its start counts itself",
        act: lease => {
            lease.applyControlAnswer(true, 5, 0);
            lease.startRound(5000);
            answer(lease, "b", 5, 5000, 5010);
            answer(lease, "c", 5, 5000, 5010);
        },
        isConfirmedAt: { 5010: true },
    },
    {
        name: "repeated answers of a peer count once",
        act: lease => {
            lease.startRound(0);
            [..."bbbbb"].forEach(id => answer(lease, id, 5, 0, 10));
        },
        isConfirmedAt: { 10: false },
    },
    {
        name: "entries of another region and unlisted entries do not count",
        act: lease => {
            lease.startRound(0);
            [..."bcfxy"].forEach(id => answer(lease, id, 5, 0, 10));
        },
        isConfirmedAt: { 10: false },
    },
    {
        name: "answers to an earlier round do not count",
        act: lease => {
            lease.startRound(0);
            lease.startRound(300);
            [..."bcd"].forEach(id => answer(lease, id, 5, 0, 310));
        },
        isConfirmedAt: { 310: false },
    },
    {
        name: "answers after the timeout of the round do not count",
        act: lease => {
            lease.startRound(0);
            [..."bcd"].forEach(id => answer(lease, id, 5, 0, 1501));
        },
        isConfirmedAt: { 1501: false },
    },
    {
        name: "a peer with a higher revision does not confirm",
        act: lease => {
            lease.startRound(0);
            [..."bc"].forEach(id => answer(lease, id, 5, 0, 10));
            answer(lease, "d", 6, 0, 10);
        },
        isConfirmedAt: { 10: false },
    },
    {
        name: "answers for the revision before a change do not confirm the new one",
        act: lease => {
            lease.startRound(0);
            [..."bc"].forEach(id => answer(lease, id, 5, 0, 10));
            lease.apply(catalogue(6));
            answer(lease, "d", 5, 0, 10);
        },
        isConfirmedAt: { 10: false },
        expectedRevision: 6,
    },
    {
        name: "a lower or equal revision is never applied",
        act: lease => {
            lease.apply(catalogue(4));
            lease.apply(catalogue(5));
        },
        isConfirmedAt: { 0: false },
        expectedRevision: 5,
    },
];

for (const { name, act, isConfirmedAt, expectedRevision } of cases) {
    test(`guards against serving with an outdated configuration: ${name}`, t => {
        const lease = new ConfigLease("a", "r");
        lease.apply(catalogue(5));
        act(lease);
        for (const [atMs, isConfirmed] of Object.entries(isConfirmedAt)) {
            t.is(lease.isConfirmed(Number(atMs)), isConfirmed, `at ${atMs} ms`);
        }
        t.is(lease.catalogue.revision, expectedRevision ?? 5);
    });
}

test("guards against an entry that stays outdated: a higher revision of a peer is fetched", t => {
    const lease = new ConfigLease("a", "r");
    lease.apply(catalogue(5));
    lease.startRound(0);
    t.deepEqual(lease.applyPeerAnswer("b", { askedAtMs: 0, revision: 6 }, 10), { mustFetch: true });
    t.deepEqual(lease.applyPeerAnswer("c", { askedAtMs: 0, revision: 5 }, 10), { mustFetch: false });
});
