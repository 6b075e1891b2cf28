import test from "ava";
import { CallerAgeEstimator } from "./callerAge.js";

test("guards against retrying callers that are treated as new ones", t => {
    const estimator = new CallerAgeEstimator();
    for (let count = 0; count < 40; count++) {
        // One in twenty callers has twice the deadline, and a third of the requests are retries of refused callers.
        estimator.recordAndEstimateAgeMs("stock", count % 20 === 0 ? 5000 : count % 3 === 0 ? 1700 + count : 2483);
    }
    t.is(estimator.recordAndEstimateAgeMs("stock", 2483), 0);
    t.is(estimator.recordAndEstimateAgeMs("stock", 1983), 500);
    t.is(estimator.recordAndEstimateAgeMs("stock", 5000), 0, "a longer deadline gives no negative age");
    t.is(estimator.recordAndEstimateAgeMs("orders", 1983), 0, "routes are independent of each other");
});

test("guards against an estimate that stays high after callers have shortened their deadlines", t => {
    const estimator = new CallerAgeEstimator();
    for (let count = 0; count < 100; count++) {
        estimator.recordAndEstimateAgeMs("stock", 2500);
    }
    for (let count = 0; count < 70; count++) {
        estimator.recordAndEstimateAgeMs("stock", 1000);
    }
    t.is(estimator.recordAndEstimateAgeMs("stock", 1000), 0);
});
