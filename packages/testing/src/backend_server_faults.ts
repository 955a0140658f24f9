/**
 * Schemas of the faults that `POST /control/faults` injects into a stand-in backend server.
 *
 * @module
 */
import * as v from "valibot";

/** Kinds of fault. All apply to requests, except the last two. */
export const faultKindSchema = v.picklist([
  "dieMidAnswer",
  "truncate",
  "resetMidAnswer",
  "slow",
  "hang",
  "late",
  "crossed",
  "oversized",
  "status",
  "refuseRequest",
  "connectionClose",
  "refuseConnections",
  "exitAfter",
]);

/** One fault. It applies to the next `count` requests, or without `count` until it is cleared. */
export const faultSchema = v.strictObject({
  kind: faultKindSchema,
  count: v.optional(v.pipe(v.number(), v.integer(), v.minValue(1))),
  /** HTTP status of the answer for `status`. */
  status: v.optional(v.pipe(v.number(), v.integer(), v.minValue(200), v.maxValue(599)), 503),
  /** Added run time for `slow`; delay of the answer after the deadline for `late`. */
  delayMs: v.optional(v.pipe(v.number(), v.minValue(0)), 200),
  /** Size of the answer for `oversized`. */
  bytes: v.optional(v.pipe(v.number(), v.integer(), v.minValue(1)), 4_194_304),
  /** Number of requests served before `exitAfter` ends the process. */
  after: v.optional(v.pipe(v.number(), v.integer(), v.minValue(0)), 0),
});

/** The request body. An empty list clears all faults. */
export const faultsBodySchema = v.strictObject({ faults: v.array(faultSchema) });

export type FaultKind = v.InferOutput<typeof faultKindSchema>;
export type Fault = v.InferOutput<typeof faultSchema>;
export type FaultInput = v.InferInput<typeof faultSchema>;

/** The active faults with their remaining occurrences. */
export class ActiveFaults {
  #faults: { fault: Fault; left: number }[] = [];

  set(faults: readonly Fault[]): void {
    this.#faults = faults.map((fault) => ({ fault, left: fault.count ?? Infinity }));
  }

  /** Consumes one occurrence of a fault; returns undefined if the fault is not active. */
  consume(kind: FaultKind): Fault | undefined {
    const entry = this.#faults.find((candidate) => candidate.fault.kind === kind);
    if (entry === undefined || entry.left <= 0) return undefined;
    entry.left -= 1;
    return entry.fault;
  }

  /** Returns an active fault without consuming an occurrence. */
  peek(kind: FaultKind): Fault | undefined {
    return this.#faults.find(({ fault, left }) => fault.kind === kind && left > 0)?.fault;
  }
}
