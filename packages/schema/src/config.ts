/**
 * The configuration objects that operators create. Objects refer to one another by name, and the
 * whole configuration is checked and published as a unit.
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

/** The urgency of work; a team's urgent work starts before its normal and background work. */
export const urgencySchema = v.picklist(["urgent", "normal", "background"]);

/** A customer of the operator. Each team belongs to one workspace. */
export const workspaceSchema = v.strictObject({
  displayName: v.optional(v.string(), ""),
});

/** A group of submitters. Shares and limits are configured per team. */
export const teamSchema = v.strictObject({
  workspace: nameSchema,
});

/** An API key of a team. Only the SHA-256 digest of the secret is stored. */
export const keySchema = v.strictObject({
  team: nameSchema,
  secretSha256: v.pipe(v.string(), v.regex(/^[0-9a-f]{64}$/, "must be 64 hexadecimal digits")),
  withdrawn: v.optional(v.boolean(), false),
});

/** A set of VMs. A spare pool lends its VMs to other pools. */
export const poolSchema = v.strictObject({
  spare: v.optional(v.boolean(), false),
  bufferVms: v.optional(countSchema, 0),
});

/** A service with the limits that apply to requests sent to its backend servers. */
export const serviceSchema = v.strictObject({
  pool: nameSchema,
  maxRunMs: v.optional(durationMsSchema, 10_000),
  maxRequestBytes: v.optional(positiveIntegerSchema, 1_048_576),
  maxAnswerBytes: v.optional(positiveIntegerSchema, 16_777_216),
  retryBudgetRatio: v.optional(v.pipe(v.number(), v.minValue(0), v.maxValue(1)), 0.1),
});

/** A process that serves the requests of one service. */
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

/** The fair-share weight of a team in one pool. Weights only apply while the pool is full. */
export const shareSchema = v.strictObject({
  team: nameSchema,
  pool: nameSchema,
  weight: positiveIntegerSchema,
});

/** The maximum number of requests and tasks that a team may run concurrently across the fleet. */
export const limitSchema = v.strictObject({
  team: nameSchema,
  maxRunningRequests: v.optional(positiveIntegerSchema),
  maxRunningTasks: v.optional(positiveIntegerSchema),
});

/**
 * A queue of requests to a service. Requests without an API key are accepted for the `openTeam`.
 */
export const queueSchema = v.strictObject({
  service: nameSchema,
  urgency: v.optional(urgencySchema, "normal"),
  openTeam: v.optional(nameSchema),
  maxWaiting: v.optional(positiveIntegerSchema, 1_000),
  maxWaitMs: v.optional(durationMsSchema, 10_000),
});

/** The maximum number of VMs of a pool that may be unavailable at the same time. */
export const availabilityBudgetSchema = v.strictObject({
  pool: nameSchema,
  maxUnavailable: positiveIntegerSchema,
  maxUnavailablePerAvailabilityZone: v.optional(positiveIntegerSchema),
  maxUnavailablePerRack: v.optional(positiveIntegerSchema),
});

/** A maintenance wave: a planned, rolling reboot of all VMs of the listed pools. */
export const maintenanceWaveSchema = v.strictObject({
  pools: v.pipe(v.array(nameSchema), v.minLength(1)),
  urgency: v.optional(urgencySchema, "normal"),
  drainTimeoutMs: v.optional(durationMsSchema, 600_000),
  finishWithinMs: v.optional(durationMsSchema),
  vmMaintenanceMs: v.optional(durationMsSchema, 300_000),
  pauseAfterFailures: v.optional(positiveIntegerSchema, 2),
  state: v.optional(v.picklist(["planned", "running", "paused"]), "planned"),
});

/** The schema of a table that maps names to objects. */
function table<TItem extends v.GenericSchema>(item: TItem) {
  return v.optional(v.record(nameSchema, item), {});
}

/** The whole configuration: one table of named objects for each kind. */
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
/** A parsed configuration with defaults filled in. */
export type Config = v.InferOutput<typeof configSchema>;
/** A configuration as an operator writes it, without defaults. */
export type ConfigInput = v.InferInput<typeof configSchema>;
/** The name of a table of the configuration. */
export type ObjectKind = keyof Config;

/** Returns a configuration without any objects. */
export function emptyConfig(): Config {
  return v.parse(configSchema, {});
}
