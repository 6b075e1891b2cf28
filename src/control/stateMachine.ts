/** State that a replicated log drives. It depends only on the changes applied, so that all replicas agree. */
export abstract class StateMachine {
    /** Rises with each change that took effect; reported to the leader by the followers. */
    abstract get revision(): number;
    /** Applies a change and returns its result. */
    abstract apply(change: unknown): unknown;
    /** Returns an image of the whole state. */
    abstract toBytes(): Uint8Array;
    /** Replaces the state with an image. */
    abstract restore(bytes: Uint8Array): void;
}
