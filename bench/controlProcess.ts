import { startControl } from "../src/control/daemon.js";
import type { Member } from "../src/control/messages.js";
import { SystemClock } from "../src/core/clock.js";
import { SeededRandom } from "../src/core/random.js";
import { createLogger } from "../src/wiring.js";
import { benchOperatorToken, benchRegion, benchSecret } from "./benchCatalogue.js";

/** Options of a control process; passed as JSON in the first argument. */
export interface ControlProcessOptions {
    readonly id: string;
    readonly availabilityZone: string;
    readonly operatorPort: number;
    readonly peerPort: number;
    readonly members: readonly Member[];
    readonly dataFolder: string;
    readonly seed: number;
}

const options = JSON.parse(process.argv[2]) as ControlProcessOptions;
const control = await startControl({
    id: options.id,
    region: benchRegion,
    availabilityZone: options.availabilityZone,
    operatorListen: { host: "127.0.0.1", port: options.operatorPort },
    peerListen: { host: "127.0.0.1", port: options.peerPort },
    members: options.members,
    dataFolder: options.dataFolder,
    clusterSecret: benchSecret,
    operatorTokens: [{ operator: "bench", token: benchOperatorToken }],
    // Standard output carries the ready line only.
    logger: createLogger("control", { format: "json", level: "error" }, []),
    clock: new SystemClock(),
    random: new SeededRandom(options.seed),
});
const address = `127.0.0.1:${control.operatorPort}`;
console.log(`ready ${JSON.stringify({ address, peerAddress: `127.0.0.1:${control.peerPort}` })}`);
