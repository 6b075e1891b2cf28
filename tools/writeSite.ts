import { randomBytes } from "node:crypto";
import { cpSync, mkdirSync, writeFileSync } from "node:fs";
import path from "node:path";

// Writes the settings of a site whose VMs are loopback addresses of one machine, to try the documented operations.
// Usage: node dist/tools/writeSite.js FOLDER [ENTRIES] [CONTROL_VMS]

const [folder, entryCount = "16", controlCount = "3"] = process.argv.slice(2);
const availabilityZones = ["trois-rivieres", "drummondville", "sherbrooke"];
const region = "qc-east";
const operators = ["asha", "bela"];
const secretBytes = 24;
const ports = { caller: 7400, entryPeer: 7401, operator: 7500, controlPeer: 7501 };

function writeJson(name: string, value: unknown): void {
    writeFileSync(path.join(folder, name), `${JSON.stringify(value, undefined, 4)}\n`);
}

function writeSecret(name: string): string {
    const secret = randomBytes(secretBytes).toString("base64url");
    writeFileSync(path.join(folder, "secrets", name), `${secret}\n`, { mode: 0o600 });
    return secret;
}

function listNumbers(count: string): number[] {
    return Array.from({ length: Number(count) }, (_unused, index) => index + 1);
}

const entryVms = listNumbers(entryCount).map(number => {
    const id = `entry-${String(number).padStart(2, "0")}`;
    const availabilityZone = availabilityZones[(number - 1) % availabilityZones.length];
    const [address, peerAddress] = [ports.caller, ports.entryPeer].map(port => `127.0.1.${number}:${port}`);
    return { id, region, availabilityZone, address, peerAddress };
});
const members = listNumbers(controlCount).map(number => ({
    id: `control-${number}`,
    peerAddress: `127.0.2.${number}:${ports.controlPeer}`,
}));

mkdirSync(path.join(folder, "secrets"), { recursive: true });
cpSync("examples/catalogue", path.join(folder, "catalogue"), { recursive: true });
writeJson("catalogue/entries.jsonc", { entryVms });
const clusterSecretFile = "secrets/cluster-secret";
writeSecret("cluster-secret");
const operatorTokens = operators.map(operator => ({ operator, token: writeSecret(`${operator}-token`) }));
writeJson("secrets/operator-tokens.jsonc", { operatorTokens });
for (const { id, availabilityZone, address, peerAddress } of entryVms) {
    const vmSettings = { id, region, availabilityZone, listen: address, peerListen: peerAddress };
    const controlAddresses = members.map(member => member.peerAddress);
    writeJson(`${id}.jsonc`, { ...vmSettings, controlAddresses, clusterSecretFile });
}
for (const [index, { id, peerAddress }] of members.entries()) {
    const vmSettings = { id, region, availabilityZone: availabilityZones[index % availabilityZones.length] };
    const operatorListen = `127.0.2.${index + 1}:${ports.operator}`;
    const fileSettings = {
        dataFolder: `data/${id}`,
        clusterSecretFile,
        operatorTokensFile: "secrets/operator-tokens.jsonc",
    };
    writeJson(`${id}.jsonc`, { ...vmSettings, operatorListen, peerListen: peerAddress, members, ...fileSettings });
}
for (const operator of operators) {
    const controlAddresses = members.map((_unused, index) => `127.0.2.${index + 1}:${ports.operator}`);
    writeJson(`${operator}.jsonc`, { operator, controlAddresses, tokenFile: `secrets/${operator}-token` });
}
