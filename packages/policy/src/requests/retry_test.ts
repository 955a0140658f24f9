import * as fc from "fast-check";
import { describe, expect, it } from "vitest";
import * as outcomes from "./outcome.ts";
import * as retries from "./retry.ts";

const CONTEXT: retries.RetryContext = {
  phase: "notSent",
  repeatable: false,
  attempts: 1,
  remainingMs: 1_000,
  answerStarted: false,
};

describe("canRetry", () => {
  it.each([
    { change: {}, expected: true },
    { change: { phase: "refused" as const }, expected: true },
    { change: { phase: "sent" as const }, expected: false },
    { change: { phase: "sent" as const, repeatable: true }, expected: true },
    { change: { phase: "sent" as const, repeatable: true, answerStarted: true }, expected: false },
    { change: { attempts: retries.MAX_ATTEMPTS }, expected: false },
    { change: { remainingMs: 0 }, expected: false },
  ])("returns $expected for $change", ({ change, expected }) => {
    expect(retries.canRetry({ ...CONTEXT, ...change })).toBe(expected);
  });
});

describe("RetryBudget", () => {
  it.each([
    { requests: 0, ratio: 0.1, allowed: retries.MIN_RETRIES_PER_WINDOW },
    { requests: 200, ratio: 0.1, allowed: 20 },
    { requests: 200, ratio: 0, allowed: retries.MIN_RETRIES_PER_WINDOW },
  ])(
    "allows $allowed retries for $requests requests at ratio $ratio",
    ({ requests, ratio, allowed }) => {
      const budget = new retries.RetryBudget();
      for (let index = 0; index < requests; index++) budget.countRequest(index);
      const taken = Array.from({ length: 300 }, () => budget.tryTake({ nowMs: 500, ratio }));
      expect(taken.filter((isAllowed) => isAllowed)).toHaveLength(allowed);
      const laterMs = 500 + 2 * retries.BUDGET_WINDOW_MS;
      expect(budget.tryTake({ nowMs: laterMs, ratio })).toBe(true);
    },
  );
});

describe("attempts of a request", () => {
  const phases = fc.constantFrom<retries.AttemptPhase | "whole">(
    "notSent",
    "refused",
    "sent",
    "whole",
  );

  it("sends a non-repeatable request at most once, and reports not-run only if unsent", () => {
    fc.assert(
      fc.property(fc.array(phases, { minLength: 1 }), fc.boolean(), (script, repeatable) => {
        const tracker = new outcomes.OutcomeTracker();
        let mayHaveRunCount = 0;
        let attempts = 0;
        let answered = false;
        for (const phase of script) {
          attempts += 1;
          if (phase === "sent" || phase === "whole") mayHaveRunCount += 1;
          if (phase === "whole") {
            answered = true;
            break;
          }
          tracker.recordFailedAttempt(phase);
          if (!retries.canRetry({ ...CONTEXT, phase, repeatable, attempts })) break;
        }
        if (!repeatable) expect(mayHaveRunCount).toBeLessThanOrEqual(1);
        if (!answered) expect(tracker.refusalOutcome() === "not-run").toBe(mayHaveRunCount === 0);
        expect(attempts).toBeLessThanOrEqual(retries.MAX_ATTEMPTS);
      }),
      { seed: 1, numRuns: 500 },
    );
  });
});
