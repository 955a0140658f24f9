/**
 * The records that stewards keep in the platform store: VMs, budget tokens of pools, progress of
 * waves, jobs, and quarantined workers. Each changes only by compare-and-swap on what was read.
 *
 * @module
 */
import { err, ok, type Result } from "neverthrow";
import * as v from "valibot";
import { urgencySchema } from "./config.ts";
import { InvalidInputError } from "./errors.ts";
import { countSchema, durationMsSchema, nameSchema, positiveIntegerSchema } from "./names.ts";

/** The longest history that a record keeps. */
export const MAX_HISTORY_LINES = 12;

/** What an operation does to its VM. */
export const operationKindSchema = v.picklist(["reboot", "move", "drain"]);

/** How far an operation has come. A VM is unavailable from `marking` on. */
export const operationPhaseSchema = v.picklist(["marking", "draining", "rebooting", "returning"]);

/** One move or maintenance step of a VM. Operation ids of a VM sort in the order of their creation. */
export const operationSchema = v.object({
  operationId: v.string(),
  kind: operationKindSchema,
  phase: operationPhaseSchema,
  phaseSinceMs: v.number(),
  reason: v.string(),
  toPool: v.optional(nameSchema),
  wave: v.optional(v.object({ name: nameSchema, run: positiveIntegerSchema })),
  /** An operator ended the drain; the VM goes back into service. */
  released: v.optional(v.boolean(), false),
  drainTimeoutMs: durationMsSchema,
  maintenanceMs: durationMsSchema,
  failure: v.optional(v.string()),
});

/** How a run of a wave ended on a VM. */
export const waveResultSchema = v.object({
  run: positiveIntegerSchema,
  state: v.picklist(["done", "failed"]),
  reason: v.string(),
});

/** One line of a record's history. */
export const historyLineSchema = v.object({ atMs: v.number(), text: v.string() });

/** One VM. `pool` is the one pool that it belongs to. */
export const vmRecordSchema = v.object({
  vm: nameSchema,
  pool: nameSchema,
  availabilityZone: nameSchema,
  rack: nameSchema,
  operationCount: countSchema,
  operation: v.optional(operationSchema),
  /** The latest result of each wave that reached the VM. */
  waveResults: v.optional(v.record(nameSchema, waveResultSchema), {}),
  history: v.pipe(v.array(historyLineSchema), v.maxLength(MAX_HISTORY_LINES)),
});

/** The right of one VM to be unavailable, counted against the pool's availability budget. */
export const budgetTokenSchema = v.object({
  vm: nameSchema,
  availabilityZone: nameSchema,
  rack: nameSchema,
  operationId: v.string(),
  reason: v.string(),
  sinceMs: v.number(),
});

/** The tokens of a pool's availability budget that are taken. */
export const poolRecordSchema = v.object({
  pool: nameSchema,
  tokens: v.array(budgetTokenSchema),
});

/** The VMs to which entries send nothing, each with the operation that took it out. */
export const drainingRecordSchema = v.object({
  operations: v.record(nameSchema, v.string()),
});

/** The state of a wave. `run` counts how often it was started anew. */
export const waveRecordSchema = v.object({
  wave: nameSchema,
  run: positiveIntegerSchema,
  state: v.picklist(["running", "paused", "finished"]),
  pausedBy: v.optional(v.picklist(["operator", "failures", "infeasible"])),
  reason: v.optional(v.string()),
  /** Failures that an operator took note of by resuming the wave. */
  acknowledgedFailures: v.optional(countSchema, 0),
  startedAtMs: v.number(),
  finishedAtMs: v.optional(v.number()),
});

/** The name of a job, chosen by its submitter. */
export const jobIdSchema = v.pipe(v.string(), v.regex(/^[A-Za-z0-9][A-Za-z0-9_-]{0,79}$/));

/** A job as submitted. Sizes are declared; observed use corrects them. */
export const jobSpecSchema = v.strictObject({
  cores: v.pipe(v.number(), v.minValue(0.01)),
  memoryMb: positiveIntegerSchema,
  accelerators: v.optional(countSchema, 0),
  runMs: durationMsSchema,
  urgency: v.optional(urgencySchema, "normal"),
  repeatable: v.optional(v.boolean(), false),
  deadlineAtMs: v.optional(v.number()),
  maxAttempts: v.optional(positiveIntegerSchema, 3),
});

/** The body of `POST /v1/jobs`. */
export const jobSubmissionSchema = v.strictObject({
  jobId: v.optional(jobIdSchema),
  ...jobSpecSchema.entries,
});

/** The state of a job; `unknown` is a job that may have run and may not be repeated. */
export const jobStateSchema = v.picklist([
  "waiting",
  "placed",
  "succeeded",
  "failed",
  "cancelled",
  "refused",
  "unknown",
]);

/** A job. Its task id derives from job id and attempt; an attempt is bound to one worker. */
export const jobRecordSchema = v.object({
  jobId: jobIdSchema,
  team: nameSchema,
  spec: jobSpecSchema,
  state: jobStateSchema,
  attempt: countSchema,
  worker: v.optional(v.string()),
  cancelRequested: v.optional(v.boolean(), false),
  submittedAtMs: v.number(),
  endedAtMs: v.optional(v.number()),
  reason: v.optional(v.string()),
});

/** One segment of jobs; a job's id decides its segment. */
export const jobSegmentSchema = v.object({
  jobs: v.record(v.string(), jobRecordSchema),
});

/** The health of a worker; only workers with failures have a record. */
export const workerRecordSchema = v.object({
  worker: nameSchema,
  quarantinedUntilMs: v.optional(v.number()),
  quarantines: countSchema,
  reason: v.string(),
});

export type Operation = v.InferOutput<typeof operationSchema>;
export type OperationKind = v.InferOutput<typeof operationKindSchema>;
export type OperationPhase = v.InferOutput<typeof operationPhaseSchema>;
export type VmRecord = v.InferOutput<typeof vmRecordSchema>;
export type BudgetToken = v.InferOutput<typeof budgetTokenSchema>;
export type PoolRecord = v.InferOutput<typeof poolRecordSchema>;
export type DrainingRecord = v.InferOutput<typeof drainingRecordSchema>;
export type WaveRecord = v.InferOutput<typeof waveRecordSchema>;
export type JobSpec = v.InferOutput<typeof jobSpecSchema>;
export type JobSubmission = v.InferOutput<typeof jobSubmissionSchema>;
export type JobRecord = v.InferOutput<typeof jobRecordSchema>;
export type JobSegment = v.InferOutput<typeof jobSegmentSchema>;
export type WorkerRecord = v.InferOutput<typeof workerRecordSchema>;

/** A record that does not fit its schema; it is left alone. */
export const CorruptRecordError = InvalidInputError.subclass("CorruptRecordError");

/** Reads a stored record; text that does not fit is a `CorruptRecordError`. */
export function parseRecord<TSchema extends v.GenericSchema>(
  schema: TSchema,
  stored: { readonly key: string; readonly value: string },
): Result<v.InferOutput<TSchema>, InstanceType<typeof CorruptRecordError>> {
  const json = parseJson(stored.value);
  const parsed = v.safeParse(schema, json);
  if (parsed.success) {
    return ok(parsed.output);
  }
  const issues = parsed.issues.map((issue) => issue.message).join("; ");
  return err(new CorruptRecordError(`Record ${stored.key} does not fit its schema: ${issues}`));
}

/** The value of a JSON text, or undefined where it is none. */
function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
