/**
 * Requests and responses of etcd's JSON gateway that the store client uses. Bytes are base64,
 * 64-bit integers are strings, and fields with zero values are omitted from responses.
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

/** The response of `/v3/kv/range`. */
export const rangeAnswerSchema = v.object({
  header: headerSchema,
  kvs: v.optional(v.array(keyValueSchema), []),
  count: v.optional(int64Schema, 0),
});

/** The response of `/v3/kv/txn`. */
export const transactionAnswerSchema = v.object({
  header: headerSchema,
  succeeded: v.optional(v.boolean(), false),
});

/** The response of `/v3/lease/grant`. */
export const leaseGrantAnswerSchema = v.object({ ID: v.string() });

/** The response of `/v3/lease/keepalive`. */
export const keepAliveAnswerSchema = v.object({
  result: v.object({ TTL: v.optional(int64Schema, 0) }),
});

/** A response without a content that is used. */
export const emptyAnswerSchema = v.object({});

/** A line of the response stream of `/v3/watch`. */
export const watchLineSchema = v.object({
  result: v.object({ events: v.optional(v.array(v.unknown()), []) }),
});

/** Encodes text as the base64 of its UTF-8 bytes. */
export function encodeBytes(text: string): string {
  return Buffer.from(text).toString("base64");
}

function decodeBytes(encoded: string): string {
  return Buffer.from(encoded, "base64").toString("utf8");
}

/**
 * Returns the exclusive end of the range of keys with a prefix: the prefix with its last byte
 * incremented.
 */
export function prefixEnd(prefix: string): string {
  const bytes = Buffer.from(prefix);
  const lastIndex = bytes.length - 1;
  bytes[lastIndex] = (bytes[lastIndex] ?? 0) + 1;
  return bytes.toString("base64");
}

/** Encodes a transaction whose conditions compare `modRevision` for equality. */
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
