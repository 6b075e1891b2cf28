import { formatTable } from "../src/cli/table.js";
import { measureControlSlopes } from "./slopes/control.js";
import { measureDirectorySlopes } from "./slopes/directory.js";
import { fitLines } from "./slopes/fit.js";
import { measureMembershipSlopes } from "./slopes/membership.js";
import { measureClaimSlopes } from "./slopes/requests.js";
import { measureRoutingSlopes } from "./slopes/routing.js";
import { measureTransportSlopes } from "./slopes/transport.js";

function formatFigure(value: number): string {
    return value.toPrecision(4);
}

const rows = [
    ...measureControlSlopes(),
    ...measureMembershipSlopes(),
    ...await measureTransportSlopes(),
    ...measureClaimSlopes(),
    ...measureRoutingSlopes(),
    ...measureDirectorySlopes(),
];
const lines = fitLines(rows);
const table = formatTable([
    ["NAME", "UNIT", "SLOPE", "STANDARD ERROR", "AT SIZE 0", "SIZES"],
    ...lines.map(({ name, unit, slope, standardError, intercept, sizes }) => [
        name,
        unit,
        formatFigure(slope),
        formatFigure(standardError),
        formatFigure(intercept),
        sizes.join(" "),
    ]),
]);
console.log(`slopes: cost per unit of size, fitted by least squares\n${table.join("\n")}`);
