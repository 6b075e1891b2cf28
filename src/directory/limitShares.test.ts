import test from "ava";
import { SeededRandom } from "../core/random.js";
import { LimitShares, type SharedLimit, shareTtlMs } from "./limitShares.js";
import { type EntryDemand, usableBurst } from "./rateLimits.js";
import { makeRegistration } from "./testing.js";

const registration = makeRegistration({ id: "i-1", availabilityZone: "az-1" });
const renewalMs = 1000;

function makeEntries(count: number, availabilityZone = "az-1", services = ["orders"]): readonly EntryDemand[] {
    return Array.from(
        { length: count },
        (_, index) => ({ id: `${availabilityZone}-${index}`, availabilityZone, services }),
    );
}

function makeShares(perSecond: number): LimitShares {
    const shares = new LimitShares();
    shares.startLeading([{ id: "i-1", bornAtMs: registration.bornAtMs, perSecond, ageMs: 0 }], -shareTtlMs);
    return shares;
}

function allocate(
    shares: LimitShares,
    nowMs: number,
    entries: readonly EntryDemand[],
    registrations = [registration],
): SharedLimit | undefined {
    return shares.allocate({ nowMs, expiresAtMs: nowMs + shareTtlMs, entries, registrations }).at(0);
}

const divisions = [
    { name: "all entries of the zone share a limit that is large enough", perSecond: 10, entryCount: 6, holders: 6 },
    {
        name: "a small limit has few holders, since each needs whole requests",
        perSecond: 1.6,
        entryCount: 17,
        holders: 3,
    },
    { name: "one entry gets a limit that is too small to be shared", perSecond: 0.4, entryCount: 312, holders: 1 },
    { name: "an instance that accepts nothing is tested by one entry", perSecond: 0, entryCount: 106, holders: 1 },
];

for (const { name, perSecond, entryCount, holders } of divisions) {
    test(`guards against shares that are lost to rounding or exceed a limit: ${name}`, t => {
        const limit = allocate(makeShares(perSecond), 0, makeEntries(entryCount));
        const granted = [...limit?.shares.values() ?? []];
        t.is(granted.length, holders);
        t.true(Math.abs(granted.reduce((sum, share) => sum + share, 0) - 1) < 1e-9, "nothing is lost");
        t.true(granted.every(share => share * usableBurst(perSecond) >= 1), "each holder can send a whole request");
    });
}

test("guards against shares for entries that cannot use them", t => {
    const remote = makeEntries(3, "az-2");
    const unlimited = makeRegistration({ id: "i-2", availabilityZone: "az-2", address: "10.0.0.2:80" });
    const idle = makeEntries(2, "az-3", ["moulds"]);
    const local = makeEntries(1);
    const withRemoteInstance = allocate(makeShares(10), 0, [...remote, ...idle, ...local], [registration, unlimited]);
    t.deepEqual([...withRemoteInstance?.shares.keys() ?? []], ["az-1-0"], "az-2 has an instance without a limit");
    const alone = allocate(makeShares(10), 0, [...remote, ...idle, ...local]);
    t.is(alone?.shares.size, 4, "az-2 has no other instance, az-3 no requests for the service");
});

test("guards against shares before those of the previous leader have expired", t => {
    const shares = new LimitShares();
    shares.startLeading([{ id: "i-1", bornAtMs: registration.bornAtMs, perSecond: 2, ageMs: 0 }], 0);
    t.false(shares.canAllocate(shareTtlMs - 1));
    t.true(shares.canAllocate(shareTtlMs));
});

test("guards against limits of an instance that has restarted or ended, and against late reports", t => {
    const shares = makeShares(2);
    t.false(shares.observe({ id: "i-1", bornAtMs: registration.bornAtMs, perSecond: 9, ageMs: 60_000 }, 1000));
    t.is(allocate(shares, 1000, makeEntries(1))?.perSecond, 2, "an older observation changes nothing");
    t.is(allocate(shares, 2000, makeEntries(1), [{ ...registration, bornAtMs: 2000 }]), undefined);
    t.is(shares.size, 0);
});

test("guards against a limit that outlives its withdrawal", t => {
    const shares = makeShares(2);
    t.true(shares.observe({ id: "i-1", bornAtMs: registration.bornAtMs, perSecond: undefined, ageMs: 0 }, 1000));
    t.like(allocate(shares, 1000, makeEntries(1)), { perSecond: undefined });
    t.is(allocate(shares, 60_000, makeEntries(1)), undefined);
});

for (const seed of [1, 2, 3]) {
    test(`guards against usable shares that add up to more than 1 when answers are lost: ${seed}`, t => {
        const random = new SeededRandom(seed);
        const all = makeEntries(30);
        const shares = makeShares(4);
        /** What each entry may still use: an answer that it lost leaves it the share that it got before. */
        const held = new Map<string, { share: number; untilMs: number; }>();
        for (let nowMs = 0; nowMs < 300_000; nowMs += renewalMs) {
            if (random.nextInt(10) === 0) {
                const perSecond = random.nextInt(20);
                shares.observe({ id: "i-1", bornAtMs: registration.bornAtMs, perSecond, ageMs: 0 }, nowMs);
            }
            const limit = allocate(shares, nowMs, all.filter(() => random.nextInt(5) > 0));
            for (const { id } of all) {
                const share = limit?.shares.get(id) ?? 0;
                if (random.nextInt(3) > 0) {
                    held.set(id, { share, untilMs: nowMs + shareTtlMs });
                }
            }
            const usable = [...held.values()].filter(({ untilMs }) => untilMs > nowMs);
            const sum = usable.reduce((total, { share }) => total + share, 0);
            t.true(sum <= 1 + 1e-9, `${sum} at ${nowMs}`);
        }
    });
}
