/**
 * Settings of the programs, read from TOML files.
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

/** Paths of PEM files. Peers must present a certificate signed by the authority. */
export const tlsSchema = v.strictObject({
  certificateFile: v.string(),
  keyFile: v.string(),
  authorityFile: v.optional(v.string()),
});

/** Address, timeout and rate limits of the platform store. */
export const storeSchema = v.strictObject({
  url: v.pipe(v.string(), v.url()),
  timeoutMs: v.optional(durationMsSchema, 1_000),
  readsPerSecond: v.optional(positiveIntegerSchema, 40),
  writesPerSecond: v.optional(positiveIntegerSchema, 30),
});

/** The minimum level and the format of log lines. */
export const logSchema = v.strictObject({
  level: v.optional(v.picklist(["debug", "info", "warn", "error"]), "info"),
  format: v.optional(v.picklist(["text", "json"]), "text"),
});

/** Timing parameters that must be the same for all members. */
export const timingSchema = v.strictObject({
  heartbeatMs: v.optional(durationMsSchema, 500),
  freshForMs: v.optional(durationMsSchema, 2_500),
  suspectAfterMs: v.optional(durationMsSchema, 3_000),
  memberLeaseSeconds: v.optional(positiveIntegerSchema, 6),
  headPollMs: v.optional(durationMsSchema, 1_000),
  /** How long members may continue on peer contact alone after the last of them read the store. */
  maxStoreOutageMs: v.optional(durationMsSchema, 600_000),
});

/** Settings of `jackdawlink-entry`. */
export const entrySettingsSchema = v.strictObject({
  memberId: nameSchema,
  availabilityZone: nameSchema,
  callerAddress: addressSchema,
  operatorAddress: addressSchema,
  peerAddress: addressSchema,
  /** The address that peers connect to, if it differs from the listening address. */
  advertisedPeerAddress: v.optional(addressSchema),
  /** Peers that provide the head and the configuration while the store is unavailable. */
  seedPeerAddresses: v.optional(v.array(addressSchema), []),
  shutdownGraceMs: v.optional(durationMsSchema, 2_000),
  claimWindowMs: v.optional(durationMsSchema, 600_000),
  claimShards: v.optional(positiveIntegerSchema, 16),
  store: storeSchema,
  log: v.optional(logSchema, {}),
  timing: v.optional(timingSchema, {}),
  callerTls: v.optional(tlsSchema),
  peerTls: v.optional(tlsSchema),
});

/** Settings of `jackdawlink-steward`. */
export const stewardSettingsSchema = v.strictObject({
  stewardId: nameSchema,
  availabilityZone: nameSchema,
  operatorAddress: addressSchema,
  callerAddress: addressSchema,
  platformUrl: v.pipe(v.string(), v.url()),
  roundMs: v.optional(durationMsSchema, 500),
  leaseSeconds: v.optional(positiveIntegerSchema, 6),
  maxPlacementsPerRound: v.optional(countSchema, 500),
  /** How long entries may take to stop routing to a VM after it is marked as draining. */
  markSettleMs: v.optional(durationMsSchema, 4_000),
  store: storeSchema,
  log: v.optional(logSchema, {}),
});

/** Settings of the `jackdawlink` command-line tool. */
export const cliSettingsSchema = v.strictObject({
  store: storeSchema,
  entries: v.optional(v.array(addressSchema), []),
  stewards: v.optional(v.array(addressSchema), []),
  operator: v.optional(v.string(), "operator"),
});

export type TlsSettings = v.InferOutput<typeof tlsSchema>;
export type StoreSettings = v.InferOutput<typeof storeSchema>;
export type LogSettings = v.InferOutput<typeof logSchema>;
export type TimingSettings = v.InferOutput<typeof timingSchema>;
export type EntrySettings = v.InferOutput<typeof entrySettingsSchema>;
export type StewardSettings = v.InferOutput<typeof stewardSettingsSchema>;
export type CliSettings = v.InferOutput<typeof cliSettingsSchema>;
