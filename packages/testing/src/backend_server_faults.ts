/**
 * The faults that a stand-in backend server can be told to show, as bodies of `POST /control/faults`.
 *
 * @module
 */
import * as v from "valibot";

/** The kinds of fault; each applies to requests, but for the last two. */
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

/** One fault. It applies to the next `count` requests, or until it is cleared. */
export const faultSchema = v.strictObject({
  kind: faultKindSchema,
  count: v.optional(v.pipe(v.number(), v.integer(), v.minValue(1))),
  /** For `status`. */
  status: v.optional(v.pipe(v.number(), v.integer(), v.minValue(200), v.maxValue(599)), 503),
  /** Added run time of `slow`; time beyond the deadline of `late`. */
  delayMs: v.optional(v.pipe(v.number(), v.minValue(0)), 200),
  /** Size of the answer of `oversized`. */
  bytes: v.optional(v.pipe(v.number(), v.integer(), v.minValue(1)), 4_194_304),
  /** Requests still served before `exitAfter` ends the process. */
  after: v.optional(v.pipe(v.number(), v.integer(), v.minValue(0)), 0),
});

/** The body: an empty list clears all faults. */
export const faultsBodySchema = v.strictObject({ faults: v.array(faultSchema) });

export type FaultKind = v.InferOutput<typeof faultKindSchema>;
export type Fault = v.InferOutput<typeof faultSchema>;
export type FaultInput = v.InferInput<typeof faultSchema>;

/** The faults in force. */
export class ActiveFaults {
  #faults: { fault: Fault; left: number }[] = [];

  set(faults: readonly Fault[]): void {
    this.#faults = faults.map((fault) => ({ fault, left: fault.count ?? Infinity }));
  }

  /** Uses up one occurrence of a fault; undefined where it is not in force. */
  consume(kind: FaultKind): Fault | undefined {
    const entry = this.#faults.find((candidate) => candidate.fault.kind === kind);
    if (entry === undefined || entry.left <= 0) return undefined;
    entry.left -= 1;
    return entry.fault;
  }

  /** Looks at a fault without using it up. */
  peek(kind: FaultKind): Fault | undefined {
    return this.#faults.find(({ fault, left }) => fault.kind === kind && left > 0)?.fault;
  }
}
