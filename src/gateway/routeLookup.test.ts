import test from "ava";
import { makeRoute, makeTable } from "../directory/testing.js";
import { RouteLookup } from "./routeLookup.js";

test("guards against a route that is not found as its host was configured with capital letters", t => {
    const table = makeTable(1, []);
    const lookup = new RouteLookup({ ...table, hosts: [{ host: "Shop.Example", routes: [makeRoute()] }] });
    t.is(lookup.find("shop.example:8080", "/stock/1")?.name, "stock");
});
