/**
 * The objects that operators create. They refer to one another by name, and one whole set of them
 * is checked and published at a time.
 *
 * @module
 */
import * as v from "valibot";
import {
  addressSchema,
  countSchema,
  durationMsSchema,
  nameSchema,
  positiveIntegerSchema,
} from "./names.ts";

/** The order in which waiting work of one team is started. */
export const urgencySchema = v.picklist(["urgent", "normal", "background"]);

/** A customer of the operator; teams belong to it. */
export const workspaceSchema = v.strictObject({
  displayName: v.optional(v.string(), ""),
});

/** A group of submitters with a share and an upper limit. */
export const teamSchema = v.strictObject({
  workspace: nameSchema,
});

/** A secret that a submitter presents. Only the SHA-256 digest of the secret is kept. */
export const keySchema = v.strictObject({
  team: nameSchema,
  secretSha256: v.pipe(v.string(), v.regex(/^[0-9a-f]{64}$/, "must be 64 hexadecimal digits")),
  withdrawn: v.optional(v.boolean(), false),
});

/** A set of VMs. A spare pool lends its VMs to the others. */
export const poolSchema = v.strictObject({
  spare: v.optional(v.boolean(), false),
  bufferVms: v.optional(countSchema, 0),
});

/** A kind of request, and the rules under which its backend servers serve it. */
export const serviceSchema = v.strictObject({
  pool: nameSchema,
  maxRunMs: v.optional(durationMsSchema, 10_000),
  maxRequestBytes: v.optional(positiveIntegerSchema, 1_048_576),
  maxAnswerBytes: v.optional(positiveIntegerSchema, 16_777_216),
  retryBudgetRatio: v.optional(v.pipe(v.number(), v.minValue(0), v.maxValue(1)), 0.1),
});

/** One process that serves requests of a service. */
export const backendServerSchema = v.strictObject({
  service: nameSchema,
  address: addressSchema,
  vm: nameSchema,
  availabilityZone: nameSchema,
  rack: v.optional(nameSchema, "rack"),
  slots: v.optional(positiveIntegerSchema, 8),
  connections: v.optional(positiveIntegerSchema, 64),
  draining: v.optional(v.boolean(), false),
});

/** The weight of a team in one pool; it applies while the pool is full. */
export const shareSchema = v.strictObject({
  team: nameSchema,
  pool: nameSchema,
  weight: positiveIntegerSchema,
});

/** The most that a team may have running at once, across the fleet. */
export const limitSchema = v.strictObject({
  team: nameSchema,
  maxRunningRequests: v.optional(positiveIntegerSchema),
  maxRunningTasks: v.optional(positiveIntegerSchema),
});

/** A place where requests of a service wait. A queue with an open team takes requests without a key. */
export const queueSchema = v.strictObject({
  service: nameSchema,
  urgency: v.optional(urgencySchema, "normal"),
  openTeam: v.optional(nameSchema),
  maxWaiting: v.optional(positiveIntegerSchema, 1_000),
  maxWaitMs: v.optional(durationMsSchema, 10_000),
});

/** How many VMs of a pool may be unavailable at once. */
export const availabilityBudgetSchema = v.strictObject({
  pool: nameSchema,
  maxUnavailable: positiveIntegerSchema,
  maxUnavailablePerAvailabilityZone: v.optional(positiveIntegerSchema),
  maxUnavailablePerRack: v.optional(positiveIntegerSchema),
});

/** A planned reboot of every VM of some pools. */
export const maintenanceWaveSchema = v.strictObject({
  pools: v.pipe(v.array(nameSchema), v.minLength(1)),
  urgency: v.optional(urgencySchema, "normal"),
  drainTimeoutMs: v.optional(durationMsSchema, 600_000),
  finishWithinMs: v.optional(durationMsSchema),
  vmMaintenanceMs: v.optional(durationMsSchema, 300_000),
  pauseAfterFailures: v.optional(positiveIntegerSchema, 2),
  state: v.optional(v.picklist(["planned", "running", "paused"]), "planned"),
});

/** One named table of objects. */
function table<TItem extends v.GenericSchema>(item: TItem) {
  return v.optional(v.record(nameSchema, item), {});
}

/** The whole set of objects, each kind a table from name to object. */
export const configSchema = v.strictObject({
  workspaces: table(workspaceSchema),
  teams: table(teamSchema),
  keys: table(keySchema),
  pools: table(poolSchema),
  services: table(serviceSchema),
  backendServers: table(backendServerSchema),
  shares: table(shareSchema),
  limits: table(limitSchema),
  queues: table(queueSchema),
  availabilityBudgets: table(availabilityBudgetSchema),
  maintenanceWaves: table(maintenanceWaveSchema),
});

export type Urgency = v.InferOutput<typeof urgencySchema>;
export type Workspace = v.InferOutput<typeof workspaceSchema>;
export type Team = v.InferOutput<typeof teamSchema>;
export type Key = v.InferOutput<typeof keySchema>;
export type Pool = v.InferOutput<typeof poolSchema>;
export type Service = v.InferOutput<typeof serviceSchema>;
export type BackendServer = v.InferOutput<typeof backendServerSchema>;
export type Share = v.InferOutput<typeof shareSchema>;
export type Limit = v.InferOutput<typeof limitSchema>;
export type Queue = v.InferOutput<typeof queueSchema>;
export type AvailabilityBudget = v.InferOutput<typeof availabilityBudgetSchema>;
export type MaintenanceWave = v.InferOutput<typeof maintenanceWaveSchema>;
/** The whole checked set. */
export type Config = v.InferOutput<typeof configSchema>;
/** The set as an operator writes it, before defaults are filled in. */
export type ConfigInput = v.InferInput<typeof configSchema>;
/** The name of a table of the configuration. */
export type ObjectKind = keyof Config;

/** A configuration without any object. */
export function emptyConfig(): Config {
  return v.parse(configSchema, {});
}
