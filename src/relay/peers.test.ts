import test from "ava";
import { ManualClock } from "../core/clock.js";
import { SeededRandom } from "../core/random.js";
import { AttachedEntries } from "../directory/attachedEntries.js";
import { selectAddresses } from "../directory/entryLists.js";
import type { EntryReport } from "../directory/messages.js";
import { RelayPeers } from "../directory/relayPeers.js";
import { PeerSelector } from "./peerSelector.js";
import { isRelayTokenValid, signRelayedRequest } from "./relayToken.js";

const peers = ["a", "b", "c"].map(address => ({ address, availabilityZone: "az-1" }));
const none: ReadonlySet<string> = new Set();

function makeReport(id: string, availabilityZone: string, overrides: Partial<EntryReport> = {}): EntryReport {
    return { id, address: `${id}:80`, availabilityZone, isServing: true, ...overrides };
}

test("guards against flooding one peer", t => {
    const selector = new PeerSelector(new SeededRandom(1));
    selector.setPeers(peers, 0);
    const taken = Array.from({ length: 18 }, () => selector.take(none, 0)?.address);
    t.deepEqual(peers.map(({ address }) => taken.filter(other => other === address).length), [6, 6, 6]);
    t.is(selector.take(none, 0), undefined, "all peers are at their limit");
    selector.release(peers[1]);
    t.is(selector.take(none, 0)?.address, "b");
});

test("guards against a peer that is used again although it failed, and against an outdated list", t => {
    const selector = new PeerSelector(new SeededRandom(1));
    t.is(selector.take(none, 0), undefined);
    selector.setPeers(peers, 0);
    selector.recordFailure(peers[0], 0);
    const take = (tried: ReadonlySet<string>, nowMs: number) => {
        const peer = selector.take(tried, nowMs);
        if (peer !== undefined) {
            selector.release(peer);
        }
        return peer?.address;
    };
    t.is(take(new Set(["b"]), 1), "c");
    t.is(take(new Set(["b", "c"]), 1), undefined);
    t.is(take(new Set(["b", "c"]), 2001), "a", "the cooldown has passed");
    t.is(take(none, 10_001), undefined, "the list is too old");
});

test("guards against a forged, replayed or altered token", t => {
    const request = { requestId: "r-1", method: "POST", path: "/stock/1" };
    const token = signRelayedRequest("secret", request, 1_000_000);
    t.true(isRelayTokenValid("secret", request, token, 1_000_000 + 20_000));
    t.true(isRelayTokenValid("secret", request, token, 1_000_000 - 20_000), "the clock of the other VM is behind");
    t.false(isRelayTokenValid("secret", request, token, 1_000_000 + 31_000), "replayed later");
    t.false(isRelayTokenValid("other", request, token, 1_000_000));
    t.false(isRelayTokenValid("secret", { ...request, path: "/stock/2" }, token, 1_000_000));
    t.false(isRelayTokenValid("secret", { ...request, requestId: "r-2" }, token, 1_000_000));
    const random = new SeededRandom(7);
    for (let count = 0; count < 1000; count++) {
        // The last character has unused bits, so that several characters encode the same code.
        const position = random.nextInt(token.length - 1);
        const altered = token.slice(0, position) + String.fromCharCode(random.nextInt(256)) + token.slice(position + 1);
        t.is(isRelayTokenValid("secret", request, altered, 1_000_000), altered === token, altered);
    }
    for (const text of ["", ".", "..", "1.a.b", "x".repeat(100_000), `${token}x`]) {
        t.false(isRelayTokenValid("secret", request, text, 1_000_000));
    }
});

test("guards against peers that are cut off, stopping or the entry itself, and against all entries choosing the same", async t => {
    const clock = new ManualClock(5000);
    const attached = new AttachedEntries();
    const remote = Array.from({ length: 20 }, (_, index) => ({ address: `far-${index}:80`, availabilityZone: "az-2" }));
    const called: string[] = [];
    const relayPeers = new RelayPeers({
        listAttached: () => attached.listPeers(clock.monotonicMs()),
        listControlVms: () => ["vm-2", "vm-3"],
        links: {
            call: address => {
                called.push(address);
                return address === "vm-2" ? Promise.resolve(remote) : Promise.reject(new Error("no such method"));
            },
        },
        clock,
    });
    const asking = makeReport("e-0", "az-1", { isCutOff: true });
    [asking, makeReport("e-1", "az-1"), makeReport("e-2", "az-1", { isCutOff: true })].forEach(report =>
        attached.recordReport(report, clock.monotonicMs())
    );
    attached.recordReport(makeReport("e-3", "az-1", { isServing: false }), clock.monotonicMs());
    const found = await relayPeers.find(asking);
    t.deepEqual(found.filter(peer => peer.availabilityZone === "az-1").map(peer => peer.address), ["e-1:80"]);
    t.is(found.filter(peer => peer.availabilityZone === "az-2").length, 4);
    t.deepEqual(await relayPeers.find(asking), found, "the choice is stable");
    t.deepEqual(called, ["vm-2", "vm-3"], "the lists are cached");
    const chosen = new Set<string>();
    for (let index = 0; index < 20; index++) {
        (await relayPeers.find(makeReport(`x-${index}`, "az-1"))).forEach(peer => chosen.add(peer.address));
    }
    t.true(chosen.size >= 18, `chosen: ${chosen.size}`);
});

test("guards against callers that are sent to an entry that is cut off, and against none at all", t => {
    const attached = new AttachedEntries();
    const list = () => selectAddresses(attached.listStates(0), "az-1", 64, "10.0.0.1");
    attached.recordReport(makeReport("e-1", "az-1", { isCutOff: true }), 0);
    t.deepEqual(list(), ["e-1:80"], "it relays, so it is better than no entry");
    attached.recordReport(makeReport("e-2", "az-2"), 0);
    t.deepEqual(list(), ["e-2:80"]);
    attached.recordReport(makeReport("e-1", "az-1"), 0);
    t.deepEqual(list(), ["e-1:80"], "it has recovered");
});
