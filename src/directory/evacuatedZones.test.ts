import test from "ava";
import { Packr } from "msgpackr";
import { DirectoryState } from "./directoryState.js";
import { type EvacuationChange, markEvacuated } from "./evacuatedZones.js";
import { makeRegistration } from "./testing.js";

const packr = new Packr({ useRecords: false, encodeUndefinedAsNil: false });

function evacuate(availabilityZone: string, isEvacuated = true): EvacuationChange {
    return { kind: "evacuation", availabilityZone, isEvacuated, proposedAtMs: 7 };
}

test("guards against a repeated begin or finish that changes something", t => {
    const state = new DirectoryState();
    t.is(state.apply(evacuate("az-2", false)).outcome, "accepted");
    t.is(state.revision, 0, "finish without begin");
    state.apply(evacuate("az-2"));
    state.apply(evacuate("az-1"));
    const { revision } = state;
    t.is(state.apply(evacuate("az-2")).outcome, "accepted");
    t.is(state.revision, revision);
    t.deepEqual(state.evacuatedZones, ["az-1", "az-2"]);
    state.apply(evacuate("az-2", false));
    t.deepEqual(state.evacuatedZones, ["az-1"]);
    t.deepEqual(
        state.audit,
        [evacuate("az-2"), evacuate("az-1"), evacuate("az-2", false)],
        "the audit trail has what took effect",
    );
});

test("guards against an evacuation that is lost in a snapshot, or that a snapshot without evacuations keeps", t => {
    const state = new DirectoryState();
    const earlierSnapshot = state.toBytes();
    state.apply(evacuate("az-2"));
    const restored = new DirectoryState();
    restored.restore(state.toBytes());
    t.deepEqual(restored.evacuatedZones, ["az-2"]);
    t.deepEqual(restored.audit, [evacuate("az-2")]);
    t.deepEqual(restored.diffSince(0).evacuatedZones, ["az-2"]);
    t.false(
        "evacuatedZones" in (packr.unpack(earlierSnapshot) as object),
        "the format without evacuations is unchanged",
    );
    restored.restore(earlierSnapshot);
    t.deepEqual(restored.evacuatedZones, []);
});

test("guards against a delta that omits the begin or end of an evacuation, or repeats it", t => {
    const state = new DirectoryState();
    state.apply({ kind: "register", registration: makeRegistration() });
    t.false("evacuatedZones" in state.diffSince(0), "deltas without evacuations are unchanged");
    const registered = state.revision;
    state.apply(evacuate("az-1"));
    const begun = state.revision;
    t.deepEqual(state.diffSince(registered).evacuatedZones, ["az-1"]);
    state.apply({ kind: "register", registration: makeRegistration({ slots: 9 }) });
    t.is(state.diffSince(begun).evacuatedZones, undefined);
    t.deepEqual(state.diffSince(0).evacuatedZones, ["az-1"]);
    state.apply(evacuate("az-1", false));
    t.deepEqual(state.diffSince(begun).evacuatedZones, []);
});

test("guards against rate limits that are divided as if instances of evacuated zones got requests", t => {
    const registrations = [makeRegistration(), makeRegistration({ id: "i-2", availabilityZone: "az-2" })];
    t.is(markEvacuated(registrations, []), registrations);
    t.deepEqual(markEvacuated(registrations, ["az-2"]).map(({ state }) => state), ["ready", "draining"]);
});
