/** State machine of a replicated log. Its state depends only on the applied changes, so that all replicas agree. */
export abstract class StateMachine {
    /** Increases with each change that took effect; followers report it to the leader. */
    abstract get revision(): number;
    /** Applies a change and returns its result. */
    abstract apply(change: unknown): unknown;
    /** Returns the whole state in serialized form. */
    abstract toBytes(): Uint8Array;
    /** Replaces the state with a serialized one. */
    abstract restore(bytes: Uint8Array): void;
}
