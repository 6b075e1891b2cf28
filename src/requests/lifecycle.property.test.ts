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

/** Shell that reports events of dispatched attempts and records which requests it has written. */
class Shell {
    readonly driver = new LifecycleDriver();
    /** Attempts whose request head was written and that the upstream did not refuse, by request. */
    readonly written = new Map<string, Set<string>>();
    private readonly attemptsWithHead = new Set<string>();

    apply({ kind, request, attempt, failure, durationMs }: Step): void {
        const id = `r${request}`;
        const dispatched = this.driver.log.filter(logLine => logLine.startsWith(`dispatch ${id}/`));
        // Usually the newest attempt, sometimes the first one.
        const attemptId = `${id}/${attempt === 1 ? 1 : dispatched.length}`;
        // The shell reports no events of attempts that were not dispatched.
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
                // Half of the steps act as a pause of the process: time passes without a tick before the next event.
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
        if (!isWritten || this.attemptsWithHead.has(attemptId)) {
            return;
        }
        this.attemptsWithHead.add(attemptId);
        if (isRefused) {
            this.written.get(id)?.delete(attemptId);
        }
        this.report({ kind: "attempt-head", attemptId, head: isRefused ? refusalHead : okHead, load: undefined });
    }
}

test("guards against repeated, missing or wrong ends: any order of events ends each request and attempt once", t => {
    fc.assert(
        fc.property(steps, all => {
            const shell = new Shell();
            requests.forEach((metadata, index) => shell.driver.request({ id: `r${index}`, ...metadata }));
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
    const forwardedRequestIds = requests.map((_, index) => `r${index}`).filter(id =>
        log.some(logLine => logLine.startsWith(`forward ${id}/`))
    );
    const dispatched = log.filter(logLine => logLine.startsWith("dispatch")).map(logLine =>
        logLine.slice("dispatch ".length)
    ).sort();
    const finished = router.finished.map(result => result.attemptId).sort();
    const isOpen = (attemptId: string) => forwardedRequestIds.some(id => attemptId.startsWith(`${id}/`));
    check("each attempt is finished once", finished.length === new Set(finished).size);
    check("no attempt stays open", dispatched.every(attemptId => finished.includes(attemptId) || isOpen(attemptId)));
    for (const [index, metadata] of requests.entries()) {
        const id = `r${index}`;
        const ends = log.filter(logLine => new RegExp(`^(answer|replay) ${id}\\b|^forward ${id}/`).test(logLine));
        check(`${id} is answered at most once`, ends.length <= 1);
        const runs = written.get(id)?.size ?? 0;
        check(`${id} runs at most once`, metadata.method === "GET" || runs <= 1);
        check(
            `${id} is not-run only if it did not run`,
            runs === 0 || !ends.some(logLine => logLine.includes("not-run")),
        );
    }
}

function check(requirement: string, isTrue: boolean): void {
    if (!isTrue) {
        throw new Error(`violated: ${requirement}`);
    }
}
