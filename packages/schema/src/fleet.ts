/**
 * The records that stewards keep in the platform store: VMs, availability budgets of pools,
 * maintenance waves, jobs, and quarantined workers. Every update is a compare-and-swap against the
 * revision read.
 *
 * @module
 */
import { err, ok, type Result } from "neverthrow";
import * as v from "valibot";
import { urgencySchema } from "./config.ts";
import { InvalidInputError } from "./errors.ts";
import { countSchema, durationMsSchema, nameSchema, positiveIntegerSchema } from "./names.ts";

/** The maximum number of history lines in a record. */
export const MAX_HISTORY_LINES = 12;

/** The kinds of operation on a VM. */
export const operationKindSchema = v.picklist(["reboot", "move", "drain"]);

/** The phases of an operation, in order. The VM counts as unavailable from `marking` on. */
export const operationPhaseSchema = v.picklist(["marking", "draining", "rebooting", "returning"]);

/** A reboot, move or drain of a VM. The operation ids of a VM sort in the order of creation. */
export const operationSchema = v.object({
  operationId: v.string(),
  kind: operationKindSchema,
  phase: operationPhaseSchema,
  phaseSinceMs: v.number(),
  reason: v.string(),
  toPool: v.optional(nameSchema),
  wave: v.optional(v.object({ name: nameSchema, run: positiveIntegerSchema })),
  /** True once an operator has ended the drain; the VM then returns to service. */
  released: v.optional(v.boolean(), false),
  drainTimeoutMs: durationMsSchema,
  maintenanceMs: durationMsSchema,
  failure: v.optional(v.string()),
});

/** The result of one run of a wave on a VM. */
export const waveResultSchema = v.object({
  run: positiveIntegerSchema,
  state: v.picklist(["done", "failed"]),
  reason: v.string(),
});

/** A history line of a record. */
export const historyLineSchema = v.object({ atMs: v.number(), text: v.string() });

/** A VM. It belongs to exactly one pool. */
export const vmRecordSchema = v.object({
  vm: nameSchema,
  pool: nameSchema,
  availabilityZone: nameSchema,
  rack: nameSchema,
  operationCount: countSchema,
  operation: v.optional(operationSchema),
  /** The latest result of each wave that processed the VM, by wave name. */
  waveResults: v.optional(v.record(nameSchema, waveResultSchema), {}),
  history: v.pipe(v.array(historyLineSchema), v.maxLength(MAX_HISTORY_LINES)),
});

/**
 * A token that allows one VM to be unavailable; it counts against its pool's availability budget.
 */
export const budgetTokenSchema = v.object({
  vm: nameSchema,
  availabilityZone: nameSchema,
  rack: nameSchema,
  operationId: v.string(),
  reason: v.string(),
  sinceMs: v.number(),
});

/** The tokens of a pool's availability budget that are in use. */
export const poolRecordSchema = v.object({
  pool: nameSchema,
  tokens: v.array(budgetTokenSchema),
});

/**
 * The VMs that entries must not route to, with the id of the operation that drains each of them.
 */
export const drainingRecordSchema = v.object({
  operations: v.record(nameSchema, v.string()),
});

/** The state of a wave. `run` is incremented each time the wave is started again. */
export const waveRecordSchema = v.object({
  wave: nameSchema,
  run: positiveIntegerSchema,
  state: v.picklist(["running", "paused", "finished"]),
  pausedBy: v.optional(v.picklist(["operator", "failures", "infeasible"])),
  reason: v.optional(v.string()),
  /** The number of failures that an operator acknowledged by resuming the wave. */
  acknowledgedFailures: v.optional(countSchema, 0),
  startedAtMs: v.number(),
  finishedAtMs: v.optional(v.number()),
});

/** The id of a job, chosen by its submitter. */
export const jobIdSchema = v.pipe(v.string(), v.regex(/^[A-Za-z0-9][A-Za-z0-9_-]{0,79}$/));

/**
 * A job as submitted. Resource sizes are declared values that are later corrected by observed
 * usage.
 */
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

/** The state of a job. `unknown`: the job may have run, and it is not repeatable. */
export const jobStateSchema = v.picklist([
  "waiting",
  "placed",
  "succeeded",
  "failed",
  "cancelled",
  "refused",
  "unknown",
]);

/**
 * A job. Its task id is derived from the job id and the attempt; an attempt runs on one worker
 * only.
 */
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

/** A segment of job records, selected by the job id. */
export const jobSegmentSchema = v.object({
  jobs: v.record(v.string(), jobRecordSchema),
});

/** The quarantine state of a worker; only workers with failures have a record. */
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

/** A stored record does not match its schema. The record is not changed. */
export const CorruptRecordError = InvalidInputError.subclass("CorruptRecordError");

/** Parses a stored record, or returns a `CorruptRecordError` if it does not match the schema. */
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

/** Parses JSON, or returns undefined if the text is not valid JSON. */
function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
