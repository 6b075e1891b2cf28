import test from "ava";
import type { Registration } from "./model.js";
import { RegistrationTable } from "./registrations.js";
import { makeRegistration } from "./testing.js";

interface MessageCase {
    readonly name: string;
    readonly messages: readonly (Partial<Registration> | { readonly end: string; readonly bornAtMs?: number; })[];
    /** `id state address` of the remaining registrations. */
    readonly remaining: readonly string[];
}

const cases: readonly MessageCase[] = [
    { name: "a first heartbeat", messages: [{}], remaining: ["i-1 ready 10.0.0.1:80"] },
    {
        name: "a delayed `ready` after `draining`",
        messages: [{ sequence: 4 }, { sequence: 6, state: "draining" }, { sequence: 5 }],
        remaining: ["i-1 draining 10.0.0.1:80"],
    },
    {
        name: "a new incarnation",
        messages: [{ state: "draining", sequence: 9 }, { bornAtMs: 2000, sequence: 1 }],
        remaining: ["i-1 ready 10.0.0.1:80"],
    },
    {
        name: "a heartbeat of an earlier incarnation",
        messages: [{ bornAtMs: 2000 }, { bornAtMs: 1000, state: "draining", sequence: 50 }],
        remaining: ["i-1 ready 10.0.0.1:80"],
    },
    {
        name: "a new instance at the address of a crashed one",
        messages: [{}, { id: "i-2", bornAtMs: 2000, service: "moulds" }],
        remaining: ["i-2 ready 10.0.0.1:80"],
    },
    {
        name: "a delayed heartbeat of the crashed instance, whose address is in use",
        messages: [{}, { id: "i-2", bornAtMs: 2000 }, { sequence: 2 }],
        remaining: ["i-2 ready 10.0.0.1:80"],
    },
    {
        name: "a delayed heartbeat of an instance that never registered, whose address is in use",
        messages: [{ id: "i-2", bornAtMs: 2000 }, { id: "i-0", bornAtMs: 500 }],
        remaining: ["i-2 ready 10.0.0.1:80"],
    },
    { name: "a heartbeat after the deregistration", messages: [{}, { end: "i-1" }, { sequence: 9 }], remaining: [] },
    {
        name: "a heartbeat after the deregistration of an instance that never registered",
        messages: [{ end: "i-1", bornAtMs: 1000 }, { sequence: 2 }],
        remaining: [],
    },
    {
        name: "a heartbeat after the deregistration of an incarnation that never registered",
        messages: [{}, { end: "i-1", bornAtMs: 2000 }, { bornAtMs: 2000 }],
        remaining: [],
    },
    {
        name: "a new incarnation after the deregistration of one that never registered",
        messages: [{ end: "i-1", bornAtMs: 1000 }, { bornAtMs: 3000 }],
        remaining: ["i-1 ready 10.0.0.1:80"],
    },
    {
        name: "a deregistration of an earlier incarnation",
        messages: [{ bornAtMs: 2000 }, { end: "i-1", bornAtMs: 1000 }],
        remaining: ["i-1 ready 10.0.0.1:80"],
    },
    {
        name: "a new incarnation after the deregistration",
        messages: [{}, { end: "i-1" }, { bornAtMs: 3000 }],
        remaining: ["i-1 ready 10.0.0.1:80"],
    },
];

for (const { name, messages, remaining } of cases) {
    test(`guards against requests to an instance that is gone: ${name}`, t => {
        const table = new RegistrationTable();
        for (const message of messages) {
            if ("end" in message) {
                table.remove(message.end, message.bornAtMs, true);
            }
            else {
                table.register(makeRegistration(message));
            }
        }
        t.deepEqual(
            table.list().map(registered => `${registered.id} ${registered.state} ${registered.address}`),
            remaining,
        );
    });
}

test("guards against a deregistration that is lost in a snapshot", t => {
    const table = new RegistrationTable();
    table.register(makeRegistration());
    table.remove("i-1", undefined, true);
    const restored = new RegistrationTable();
    restored.fromImage(table.toImage());
    restored.register(makeRegistration({ sequence: 7 }));
    t.is(restored.size, 0);
});
