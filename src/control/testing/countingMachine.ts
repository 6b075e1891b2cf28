import { StateMachine } from "../stateMachine.js";

/** Counts the changes, and has a small state however large they are. */
export class CountingMachine extends StateMachine {
    revision = 0;

    apply(): unknown {
        return ++this.revision;
    }

    toBytes(): Uint8Array {
        return Buffer.from(String(this.revision));
    }

    restore(bytes: Uint8Array): void {
        this.revision = Number(Buffer.from(bytes).toString());
    }
}
