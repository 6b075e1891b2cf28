import test from "ava";
import { LeavingInstances } from "./leavingInstances.js";
import type { EntryReport } from "./messages.js";
import type { Registration } from "./model.js";
import { RegistrationTable } from "./registrations.js";
import { makeRegistration } from "./testing.js";

function makeReport(id: string, bornAtMs: number): EntryReport {
    return {
        id: "e-1",
        address: "10.2.0.1:80",
        availabilityZone: "az-1",
        isServing: true,
        leaving: [{ id, bornAtMs }],
    };
}

test("guards against a leaving instance that other entries still use, and against draining its next incarnation", async t => {
    const table = new RegistrationTable();
    table.register(makeRegistration({ bornAtMs: 5 }));
    const submitted: Registration[] = [];
    const leavingInstances = new LeavingInstances({
        find: id => table.get(id),
        submit: registration => {
            submitted.push(registration);
            return Promise.resolve().then(() => table.register(registration));
        },
    });
    leavingInstances.recordReport(makeReport("i-1", 4));
    leavingInstances.recordReport(makeReport("i-9", 5));
    t.deepEqual(submitted, [], "an earlier incarnation and an unknown instance");
    leavingInstances.recordReport(makeReport("i-1", 5));
    leavingInstances.recordReport(makeReport("i-1", 5));
    t.is(submitted.length, 1, "a submission is under way");
    await new Promise(resolve => setImmediate(resolve));
    t.is(table.get("i-1")?.state, "draining");
    table.register(makeRegistration({ bornAtMs: 5, sequence: 9 }));
    t.is(table.get("i-1")?.state, "draining", "a heartbeat with state ready");
    leavingInstances.recordReport(makeReport("i-1", 5));
    t.is(submitted.length, 1, "already recorded");
    table.register(makeRegistration({ bornAtMs: 6 }));
    leavingInstances.recordReport(makeReport("i-1", 5));
    t.is(table.get("i-1")?.state, "ready", "the next incarnation");
});
