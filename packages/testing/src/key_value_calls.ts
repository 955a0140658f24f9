/**
 * Implements the calls of etcd's JSON gateway on a {@link KeyValueTable}.
 *
 * @module
 */
import * as schema from "@jackdawlink/schema";
import * as messages from "./gateway_messages.ts";
import type { KeyValueTable } from "./key_value_table.ts";

/** The largest value that the service accepts. */
export const MAX_VALUE_BYTES = 1_048_576;
/** The maximum number of operations in one transaction, as in etcd. */
export const MAX_TRANSACTION_OPERATIONS = 128;

/** The service rejects a call; `grpcCode` and `status` are those of etcd. */
export const CallRefusedError = schema.errors.JackdawlinkError.subclass("CallRefusedError", {
  props: { status: 400, grpcCode: 3 },
});

type Answer = Record<string, unknown>;

/** Executes calls. Each throws {@link CallRefusedError} where etcd would reject the call. */
export class KeyValueCalls {
  readonly #table: KeyValueTable;

  constructor(table: KeyValueTable) {
    this.#table = table;
  }

  header(): Answer {
    return { cluster_id: "1", member_id: "1", revision: String(this.#table.revision) };
  }

  range(request: messages.RangeRequest): Answer {
    const all = this.#table.range({ key: request.key, end: request.rangeEnd });
    const recent = all.filter((keyValue) => keyValue.modRevision >= request.minModRevision);
    const limited = request.limit > 0 ? recent.slice(0, request.limit) : recent;
    const kvs = limited.map((keyValue) =>
      messages.encodeKeyValue(request.keysOnly ? { ...keyValue, value: "" } : keyValue)
    );
    return {
      header: this.header(),
      ...(kvs.length > 0 && !request.countOnly ? { kvs } : {}),
      ...(all.length > 0 ? { count: String(all.length) } : {}),
      ...(limited.length < recent.length ? { more: true } : {}),
    };
  }

  put(request: messages.PutRequest): Answer {
    this.#checkPut(request);
    this.#table.commit(() =>
      this.#table.put(request.key, request.value, { leaseId: request.lease })
    );
    return { header: this.header() };
  }

  deleteRange(request: { key: string; rangeEnd: string }): Answer {
    const range = { key: request.key, end: request.rangeEnd };
    const deleted = this.#table.commit(() => this.#table.deleteRange(range));
    return { header: this.header(), ...(deleted > 0 ? { deleted: String(deleted) } : {}) };
  }

  transact(request: messages.TransactionRequest): Answer {
    const operationCount = Math.max(request.success.length, request.failure.length);
    if (operationCount > MAX_TRANSACTION_OPERATIONS) {
      throw new CallRefusedError("etcdserver: too many operations in txn request");
    }
    const succeeded = request.compare.every((compare) => this.#compareSucceeds(compare));
    const operations = succeeded ? request.success : request.failure;
    for (const operation of operations) {
      if ("requestPut" in operation) this.#checkPut(operation.requestPut);
    }
    const responses = this.#table.commit(() => operations.map((one) => this.#apply(one)));
    return {
      header: this.header(),
      ...(succeeded ? { succeeded } : {}),
      ...(responses.length > 0 ? { responses } : {}),
    };
  }

  grantLease(request: { TTL: number }): Answer {
    return {
      header: this.header(),
      ID: this.#table.grantLease(request.TTL),
      TTL: String(request.TTL),
    };
  }

  revokeLease(request: { ID: string }): Answer {
    if (!this.#table.revokeLease(request.ID)) {
      throw new CallRefusedError("etcdserver: requested lease not found", {
        props: { status: 404, grpcCode: 5 },
      });
    }
    return { header: this.header() };
  }

  keepLeaseAlive(request: { ID: string }): Answer {
    const ttlSeconds = this.#table.keepAlive(request.ID);
    const renewed = ttlSeconds > 0 ? { TTL: String(ttlSeconds) } : {};
    return { result: { header: this.header(), ID: request.ID, ...renewed } };
  }

  #checkPut(request: messages.PutRequest): void {
    if (Buffer.byteLength(request.value) > MAX_VALUE_BYTES) {
      throw new CallRefusedError("etcdserver: request is too large");
    }
    if (request.lease !== "0" && !this.#table.hasLease(request.lease)) {
      throw new CallRefusedError("etcdserver: requested lease not found", {
        props: { status: 404, grpcCode: 5 },
      });
    }
  }

  #compareSucceeds(compare: messages.CompareRequest): boolean {
    const keyValue = this.#table.get(compare.key);
    const targets = {
      MOD: [keyValue?.modRevision ?? 0, compare.modRevision],
      CREATE: [keyValue?.createRevision ?? 0, compare.createRevision],
      VERSION: [keyValue?.version ?? 0, compare.version],
    } as const;
    const [actual, expected] = targets[compare.target];
    const results = {
      EQUAL: actual === expected,
      NOT_EQUAL: actual !== expected,
      GREATER: actual > expected,
      LESS: actual < expected,
    };
    return results[compare.result];
  }

  #apply(operation: messages.Operation): Answer {
    if ("requestPut" in operation) {
      const { key, value, lease } = operation.requestPut;
      this.#table.put(key, value, { leaseId: lease });
      return { response_put: {} };
    }
    if ("requestDeleteRange" in operation) {
      const { key, rangeEnd } = operation.requestDeleteRange;
      const deleted = this.#table.deleteRange({ key, end: rangeEnd });
      return { response_delete_range: { deleted: String(deleted) } };
    }
    return { response_range: this.range(operation.requestRange) };
  }
}
