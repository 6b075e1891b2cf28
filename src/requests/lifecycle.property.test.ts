import test from "ava";
import fc from "fast-check";
import { LifecycleDriver, okHead, refusalHead } from "../../test/lifecycleDriver.js";
import type { EntryEvent } from "../entry/messages.js";
import { AttemptFailure } from "./model.js";

interface Step {
    readonly kind: "sent" | "head" | "refusal" | "overflow" | "complete" | "failed" | "gone" | "tick" | "checked";
    readonly request: number;
    readonly attempt: number;
    readonly failure: AttemptFailure;
    readonly durationMs: number;
}

const requests = [{ method: "GET" }, {}, { idempotencyKey: "k" }];

const steps = fc.array(
    fc.record<Step>({
        kind: fc.oneof(
            { weight: 20, arbitrary: fc.constantFrom<Step["kind"]>("sent", "sent", "failed", "failed", "head") },
            {
                weight: 10,
                arbitrary: fc.constantFrom<Step["kind"]>("refusal", "overflow", "complete", "tick", "checked"),
            },
            { weight: 1, arbitrary: fc.constant<Step["kind"]>("gone") },
        ),
        request: fc.nat(requests.length - 1),
        attempt: fc.integer({ min: 1, max: 4 }),
        failure: fc.constantFrom(...Object.values(AttemptFailure)),
        durationMs: fc.nat(400),
    }),
    { maxLength: 60 },
);

/** What the shell knows after a run. */
class Shell {
    readonly driver = new LifecycleDriver();
    /** Attempts whose head was written and that were not refused, by request. */
    readonly written = new Map<string, Set<string>>();
    private readonly answered = new Set<string>();

    apply({ kind, request, attempt, failure, durationMs }: Step): void {
        const id = `r${request}`;
        const dispatched = this.driver.log.filter(it => it.startsWith(`dispatch ${id}/`));
        // Mostly the newest attempt, at times a former one.
        const attemptId = `${id}/${attempt === 1 ? 1 : dispatched.length}`;
        // The shell has no events of attempts that were not dispatched.
        if (!this.driver.log.includes(`dispatch ${attemptId}`) && !["gone", "tick", "checked"].includes(kind)) {
            return;
        }
        switch (kind) {
            case "sent":
                return this.send(id, attemptId);
            case "head":
            case "refusal":
                return this.receiveHead(id, attemptId, kind === "refusal");
            case "overflow":
                return this.report({ kind: "attempt-overflow", attemptId });
            case "complete":
                return this.report({ kind: "attempt-complete", attemptId, retained: undefined });
            case "failed":
                return this.report({ kind: "attempt-failed", attemptId, failure });
            case "gone":
                return this.report({ kind: "caller-gone", requestId: id });
            case "checked":
                return this.report({
                    kind: "connection-checked",
                    checkId: `orders/u${attempt % 3}/1`,
                    isAccepted: true,
                });
            case "tick":
                // Half of the time the process was paused: time passes, and no tick runs before the next event.
                this.driver.nowMs += durationMs;
                return attempt % 2 === 0 ? void this.driver.tick(0) : undefined;
        }
    }

    private report(event: EntryEvent): void {
        this.driver.handle(event);
    }

    private send(id: string, attemptId: string): void {
        const effects = this.driver.handle({ kind: "attempt-sent", attemptId });
        if (!effects.includes(`cancel-attempt ${attemptId}`)) {
            this.written.set(id, new Set(this.written.get(id)).add(attemptId));
        }
    }

    private receiveHead(id: string, attemptId: string, isRefused: boolean): void {
        const isWritten = this.written.get(id)?.has(attemptId) === true;
        if (!isWritten || this.answered.has(attemptId)) {
            return;
        }
        this.answered.add(attemptId);
        if (isRefused) {
            this.written.get(id)?.delete(attemptId);
        }
        this.report({ kind: "attempt-head", attemptId, head: isRefused ? refusalHead : okHead, load: undefined });
    }
}

test("guards against doubled, missing or false ends: any order of events ends each request and attempt once", t => {
    fc.assert(
        fc.property(steps, all => {
            const shell = new Shell();
            requests.forEach((facts, index) => shell.driver.request({ id: `r${index}`, ...facts }));
            all.forEach(step => shell.apply(step));
            shell.driver.tick(5000);
            checkEnds(shell);
        }),
        { seed: 20261204, numRuns: 2000, endOnFailure: true },
    );
    t.pass();
});

function checkEnds({ driver, written }: Shell): void {
    const { log, router } = driver;
    const streaming = requests.map((_, index) => `r${index}`).filter(id =>
        log.some(it => it.startsWith(`forward ${id}/`))
    );
    const dispatched = log.filter(it => it.startsWith("dispatch")).map(it => it.slice("dispatch ".length)).sort();
    const finished = router.finished.map(it => it.attemptId).sort();
    const isOpen = (attemptId: string) => streaming.some(id => attemptId.startsWith(`${id}/`));
    check("each attempt is finished once", finished.length === new Set(finished).size);
    check("no attempt stays", dispatched.every(it => finished.includes(it) || isOpen(it)));
    for (const [index, facts] of requests.entries()) {
        const id = `r${index}`;
        const ends = log.filter(it => new RegExp(`^(answer|replay) ${id}\\b|^forward ${id}/`).test(it));
        check(`${id} is answered at most once`, ends.length <= 1);
        const runs = written.get(id)?.size ?? 0;
        check(`${id} runs at most once`, facts.method === "GET" || runs <= 1);
        check(`${id} is not-run only if it did not run`, runs === 0 || !ends.some(it => it.includes("not-run")));
    }
}

function check(claim: string, isTrue: boolean): void {
    if (!isTrue) {
        throw new Error(`violated: ${claim}`);
    }
}
