/**
 * Schemas and encoding of the etcd JSON gateway messages that the stand-in supports. Bytes are base64,
 * 64-bit integers are strings, and answers omit fields whose value is zero.
 *
 * @module
 */
import * as v from "valibot";
import type { KeyValue } from "./key_value_table.ts";

const bytesSchema = v.pipe(
  v.string(),
  v.base64(),
  v.transform((text) => Buffer.from(text, "base64").toString("utf8")),
);
const int64Schema = v.pipe(v.union([v.string(), v.number()]), v.transform(Number), v.integer());
const optionalBytes = v.optional(bytesSchema, "");
const optionalInt64 = v.optional(int64Schema, 0);

export const rangeSchema = v.object({
  key: bytesSchema,
  rangeEnd: optionalBytes,
  limit: optionalInt64,
  minModRevision: optionalInt64,
  keysOnly: v.optional(v.boolean(), false),
  countOnly: v.optional(v.boolean(), false),
});

export const putSchema = v.object({
  key: bytesSchema,
  value: optionalBytes,
  lease: v.optional(v.pipe(v.union([v.string(), v.number()]), v.transform(String)), "0"),
});

export const deleteRangeSchema = v.object({ key: bytesSchema, rangeEnd: optionalBytes });

export const compareSchema = v.object({
  key: bytesSchema,
  target: v.picklist(["MOD", "CREATE", "VERSION"]),
  result: v.optional(v.picklist(["EQUAL", "NOT_EQUAL", "GREATER", "LESS"]), "EQUAL"),
  modRevision: optionalInt64,
  createRevision: optionalInt64,
  version: optionalInt64,
});

const operationSchema = v.union([
  v.object({ requestPut: putSchema }),
  v.object({ requestDeleteRange: deleteRangeSchema }),
  v.object({ requestRange: rangeSchema }),
]);

export const transactionSchema = v.object({
  compare: v.optional(v.array(compareSchema), []),
  success: v.optional(v.array(operationSchema), []),
  failure: v.optional(v.array(operationSchema), []),
});

export const grantSchema = v.object({ TTL: int64Schema });
export const leaseSchema = v.object({
  ID: v.pipe(v.union([v.string(), v.number()]), v.transform(String)),
});
export const watchSchema = v.object({
  createRequest: v.object({ key: bytesSchema, rangeEnd: optionalBytes }),
});

export type RangeRequest = v.InferOutput<typeof rangeSchema>;
export type PutRequest = v.InferOutput<typeof putSchema>;
export type CompareRequest = v.InferOutput<typeof compareSchema>;
export type Operation = v.InferOutput<typeof operationSchema>;
export type TransactionRequest = v.InferOutput<typeof transactionSchema>;

/** Converts field names to camelCase, as the gateway accepts both snake_case and camelCase. */
export function withCamelCaseNames(value: unknown): unknown {
  if (Array.isArray(value)) return value.map(withCamelCaseNames);
  if (typeof value !== "object" || value === null) return value;
  const entries = Object.entries(value).map(([name, field]) => [
    name.replace(/_([a-z])/g, (_match, letter: string) => letter.toUpperCase()),
    withCamelCaseNames(field),
  ]);
  return Object.fromEntries(entries);
}

/** Encodes a key and its value as the gateway does. */
export function encodeKeyValue(keyValue: KeyValue): Record<string, string> {
  return {
    key: Buffer.from(keyValue.key).toString("base64"),
    create_revision: String(keyValue.createRevision),
    mod_revision: String(keyValue.modRevision),
    version: String(keyValue.version),
    ...(keyValue.value === "" ? {} : { value: Buffer.from(keyValue.value).toString("base64") }),
    ...(keyValue.leaseId === "0" ? {} : { lease: keyValue.leaseId }),
  };
}
