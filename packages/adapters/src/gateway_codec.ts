/**
 * Requests and answers of etcd's JSON gateway, as far as the store adapter uses them. Bytes are base64;
 * 64-bit integers are strings; fields of value zero are missing from answers.
 *
 * @module
 */
import type * as ports from "@jackdawlink/ports";
import * as v from "valibot";

const int64Schema = v.pipe(v.union([v.string(), v.number()]), v.transform(Number), v.integer());
const bytesSchema = v.pipe(v.string(), v.base64(), v.transform(decodeBytes));
const headerSchema = v.object({ revision: int64Schema });

const keyValueSchema = v.pipe(
  v.object({
    key: bytesSchema,
    value: v.optional(bytesSchema, ""),
    mod_revision: int64Schema,
  }),
  v.transform((raw): ports.store.StoredValue => ({
    key: raw.key,
    value: raw.value,
    modRevision: raw.mod_revision,
  })),
);

export const rangeAnswerSchema = v.object({
  header: headerSchema,
  kvs: v.optional(v.array(keyValueSchema), []),
  count: v.optional(int64Schema, 0),
});

export const transactionAnswerSchema = v.object({
  header: headerSchema,
  succeeded: v.optional(v.boolean(), false),
});

export const leaseGrantAnswerSchema = v.object({ ID: v.string() });

export const keepAliveAnswerSchema = v.object({
  result: v.object({ TTL: v.optional(int64Schema, 0) }),
});

export const emptyAnswerSchema = v.object({});

export const watchLineSchema = v.object({
  result: v.object({ events: v.optional(v.array(v.unknown()), []) }),
});

export function encodeBytes(text: string): string {
  return Buffer.from(text).toString("base64");
}

function decodeBytes(encoded: string): string {
  return Buffer.from(encoded, "base64").toString("utf8");
}

/** The end of the range of all keys that start with a prefix: the prefix with its last byte raised. */
export function prefixEnd(prefix: string): string {
  const bytes = Buffer.from(prefix);
  const lastIndex = bytes.length - 1;
  bytes[lastIndex] = (bytes[lastIndex] ?? 0) + 1;
  return bytes.toString("base64");
}

/** The body of a transaction whose conditions are all equalities of `modRevision`. */
export function encodeTransaction(
  compares: readonly ports.store.Compare[],
  writes: readonly ports.store.Write[],
): Record<string, unknown> {
  return {
    compare: compares.map((compare) => ({
      key: encodeBytes(compare.key),
      target: "MOD",
      result: "EQUAL",
      mod_revision: String(compare.modRevision),
    })),
    success: writes.map(encodeWrite),
  };
}

function encodeWrite(write: ports.store.Write): Record<string, unknown> {
  const key = encodeBytes(write.key);
  if (write.kind === "delete") return { request_delete_range: { key } };
  const lease = write.leaseId === undefined ? {} : { lease: write.leaseId };
  return { request_put: { key, value: encodeBytes(write.value), ...lease } };
}
