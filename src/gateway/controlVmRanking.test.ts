import test from "ava";
import { rankControlVms } from "./controlVmRanking.js";

test("guards against entries that all use the same control VM of their zone, or that all move when one is lost", t => {
    const addresses = ["10.0.0.1:7000", "10.0.0.2:7000", "10.0.0.3:7000"];
    const entryIds = Array.from({ length: 300 }, (_, index) => `e-${index}`);
    const first = entryIds.map(id => rankControlVms(id, addresses)[0]);
    for (const address of addresses) {
        const count = first.filter(chosen => chosen === address).length;
        t.true(Math.abs(count - 100) < 30, `${count} of 300 entries at ${address}`);
    }
    const remaining = addresses.slice(1);
    entryIds.forEach((id, index) => {
        const moved = rankControlVms(id, remaining)[0];
        t.true(first[index] === addresses[0] || moved === first[index], "only entries of the lost one move");
        t.is(rankControlVms(id, [...addresses].reverse())[0], first[index], "independent of the order of the list");
    });
});
