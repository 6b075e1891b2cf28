import test from "ava";
import { CallerAges } from "./callerAge.js";

test("guards against returning callers that are taken for new ones", t => {
    const ages = new CallerAges();
    for (let count = 0; count < 40; count++) {
        // One in twenty callers waits twice as long, and a third of the requests come back after a refusal.
        ages.note("stock", count % 20 === 0 ? 5000 : count % 3 === 0 ? 1700 + count : 2483);
    }
    t.is(ages.note("stock", 2483), 0);
    t.is(ages.note("stock", 1983), 500);
    t.is(ages.note("stock", 5000), 0, "a caller that waits longer is not older than none");
    t.is(ages.note("orders", 1983), 0, "nothing is known of another route");
});

test("guards against an age that stays after callers have changed their deadline", t => {
    const ages = new CallerAges();
    for (let count = 0; count < 100; count++) {
        ages.note("stock", 2500);
    }
    for (let count = 0; count < 70; count++) {
        ages.note("stock", 1000);
    }
    t.is(ages.note("stock", 1000), 0);
});
