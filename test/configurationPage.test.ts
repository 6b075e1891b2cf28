import test from "ava";
import { readFileSync } from "node:fs";
import { configurationPageFile, renderConfigurationPage } from "../tools/configurationPage.js";

test("guards against a configuration page that differs from the schemas", t => {
    t.is(readFileSync(configurationPageFile, "utf8"), renderConfigurationPage(), "run npm run docs:configuration");
});

test("guards against fields that the page does not describe", t => {
    const rows = renderConfigurationPage().split("\n").filter(line => line.startsWith("| `"));
    t.true(rows.length > 60);
    t.deepEqual(rows.filter(row => / \|  \|/.test(row)), []);
});
