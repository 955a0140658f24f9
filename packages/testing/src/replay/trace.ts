/**
 * Workload traces as JSON lines: a header, then arrivals and events in ascending order of time.
 *
 * @module
 */
import { config, errors } from "@jackdawlink/schema";
import { err, ok, type Result } from "neverthrow";
import * as v from "valibot";

/** A line of a trace does not match its schema. */
export const TraceError = errors.InvalidInputError.subclass("TraceError");

const countSchema = v.pipe(v.number(), v.integer(), v.minValue(0));
const nameSchema = v.pipe(v.string(), v.minLength(1));

/** The first line. Arrivals refer to teams and queues by their index in it. */
export const headerSchema = v.strictObject({
  type: v.literal("header"),
  workload: nameSchema,
  /** The configuration's file, relative to the repository. */
  config: nameSchema,
  seed: countSchema,
  durationMs: countSchema,
  /** The availability zone of each entry. */
  entryZones: v.pipe(v.array(nameSchema), v.minLength(1)),
  teams: v.array(nameSchema),
  queues: v.array(nameSchema),
});

/** Time, entry, team, queue, urgency, run time, and whether the request is repeatable. */
export const arrivalSchema = v.tuple([
  countSchema,
  countSchema,
  countSchema,
  countSchema,
  config.urgencySchema,
  v.pipe(v.number(), v.integer(), v.minValue(1)),
  v.picklist([0, 1]),
]);

/** A change of the fleet or its configuration during the trace. */
export const eventSchema = v.variant("type", [
  v.strictObject({ type: v.literal("entryKilled"), atMs: countSchema, entry: countSchema }),
  v.strictObject({
    type: v.literal("backendServerLeaving"),
    atMs: countSchema,
    backendServer: nameSchema,
  }),
  v.strictObject({
    type: v.literal("limitChanged"),
    atMs: countSchema,
    limit: nameSchema,
    maxRunningRequests: v.pipe(v.number(), v.integer(), v.minValue(1)),
  }),
  v.strictObject({ type: v.literal("keyWithdrawn"), atMs: countSchema, key: nameSchema }),
]);

export type Header = v.InferOutput<typeof headerSchema>;
export type TraceEvent = v.InferOutput<typeof eventSchema>;

/** The arrival of one request. */
export interface Arrival {
  readonly atMs: number;
  readonly entry: number;
  readonly team: string;
  readonly queue: string;
  readonly urgency: config.Urgency;
  readonly runMs: number;
  readonly isRepeatable: boolean;
}

/** A complete trace. */
export interface Trace {
  readonly header: Header;
  readonly arrivals: readonly Arrival[];
  readonly events: readonly TraceEvent[];
}

/** Writes a trace as JSON lines. */
export function formatTrace({ header, arrivals, events }: Trace): string {
  const lines = [
    ...arrivals.map((arrival) => ({ atMs: arrival.atMs, line: tupleOf(arrival, header) })),
    ...events.map((event) => ({ atMs: event.atMs, line: event })),
  ];
  lines.sort((a, b) => a.atMs - b.atMs);
  return [header, ...lines.map(({ line }) => line)].map((line) => `${JSON.stringify(line)}\n`)
    .join("");
}

/** Parses a trace. The error's cause describes the first invalid line. */
export function parseTrace(text: string): Result<Trace, errors.JackdawlinkError> {
  const [first, ...rest] = text.trimEnd().split("\n");
  try {
    const header = v.parse(headerSchema, JSON.parse(first ?? ""));
    const arrivals: Arrival[] = [];
    const events: TraceEvent[] = [];
    for (const line of rest) {
      const value: unknown = JSON.parse(line);
      if (Array.isArray(value)) arrivals.push(arrivalOf(v.parse(arrivalSchema, value), header));
      else events.push(v.parse(eventSchema, value));
    }
    return ok({ header, arrivals, events });
  } catch (cause) {
    return err(new TraceError("The trace has an invalid line", { cause }));
  }
}

function tupleOf(arrival: Arrival, { teams, queues }: Header): v.InferOutput<typeof arrivalSchema> {
  return [
    arrival.atMs,
    arrival.entry,
    teams.indexOf(arrival.team),
    queues.indexOf(arrival.queue),
    arrival.urgency,
    arrival.runMs,
    arrival.isRepeatable ? 1 : 0,
  ];
}

function arrivalOf(tuple: v.InferOutput<typeof arrivalSchema>, header: Header): Arrival {
  const [atMs, entry, teamIndex, queueIndex, urgency, runMs, repeatable] = tuple;
  const team = header.teams[teamIndex];
  const queue = header.queues[queueIndex];
  if (team === undefined || queue === undefined || entry >= header.entryZones.length) {
    throw new TraceError(
      `The arrival at ${atMs} ms refers to a team, queue or entry that the header does not list`,
    );
  }
  return { atMs, entry, team, queue, urgency, runMs, isRepeatable: repeatable === 1 };
}
