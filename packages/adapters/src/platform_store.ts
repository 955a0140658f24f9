/**
 * Client of the platform store, which offers etcd's JSON gateway.
 *
 * @module
 */
import type * as ports from "@jackdawlink/ports";
import type * as schema from "@jackdawlink/schema";
import { err, okAsync, type Result, ResultAsync } from "neverthrow";
import * as undici from "undici";
import type * as v from "valibot";
import { BackOff } from "./back_off.ts";
import { CallBudget } from "./call_budget.ts";
import * as codec from "./gateway_codec.ts";
import { overBudget, refused, StoreRefusedError, unavailable } from "./store_errors.ts";
import { decodeAnswer, parseJson } from "./store_answers.ts";
import { StoreWatch } from "./store_watch.ts";

export { StoreAnswerError, StoreRefusedError } from "./store_errors.ts";

/** The header that identifies a process to the platform. */
export const CLIENT_HEADER = "jackdawlink-client";

/** Options of {@link PlatformStore}. */
export interface PlatformStoreOptions {
  readonly settings: schema.settings.StoreSettings;
  readonly clock: ports.clock.Clock;
  readonly log: ports.log.Log;
  /** Identifies this process to the platform. */
  readonly clientId?: string;
  /** Returns a random number between 0 and 1, for jitter. */
  readonly random?: () => number;
  /** Called after each call to the store, for metrics. */
  readonly onCall?: (call: StoreCall) => void;
}

/** A completed call to the store. */
export interface StoreCall {
  readonly path: string;
  readonly kind: "read" | "write";
  readonly isAnswered: boolean;
  readonly elapsedMs: number;
}

type Kind = StoreCall["kind"];

interface CallOptions<TSchema> {
  readonly kind: Kind;
  readonly body: unknown;
  readonly answer: TSchema;
}

/** The maximum length of a response body quoted in an error message. */
const MAX_REASON_CHARACTERS = 200;
/**
 * The maximum backoff. It is also limited to half of the timeout, to leave time for the call
 * itself.
 */
const MAX_BACK_OFF_MS = 1_000;
const HTTP_OK = 200;
/** Statuses of invalid calls, which would fail again if retried. */
const REFUSED_STATUSES: ReadonlySet<number> = new Set([400, 404, 413]);

/**
 * The store client of a process, with rate limits for reads and writes. After a failure, the next
 * calls are delayed by a jittered backoff, which counts towards their timeout.
 */
export class PlatformStore implements ports.store.Store {
  readonly #options: PlatformStoreOptions;
  readonly #random: () => number;
  readonly #pool: undici.Pool;
  readonly #headers: Record<string, string>;
  readonly #budgets: Record<Kind, CallBudget>;
  readonly #backOff: BackOff;
  readonly #watches = new Set<StoreWatch>();
  #notBeforeMs = 0;
  #lastFailureAtMs = 0;

  constructor(options: PlatformStoreOptions) {
    const { settings, clock } = options;
    this.#options = options;
    this.#random = options.random ?? Math.random;
    this.#pool = new undici.Pool(new URL(settings.url).origin, { pipelining: 1 });
    this.#headers = {
      "content-type": "application/json",
      ...(options.clientId === undefined ? {} : { [CLIENT_HEADER]: options.clientId }),
    };
    this.#budgets = {
      read: new CallBudget(settings.readsPerSecond, () => clock.nowMs()),
      write: new CallBudget(settings.writesPerSecond, () => clock.nowMs()),
    };
    const capMs = Math.min(MAX_BACK_OFF_MS, settings.timeoutMs / 2);
    this.#backOff = new BackOff({ random: this.#random, capMs });
  }

  get(
    key: string,
    { minModRevision = 0 }: ports.store.GetOptions = {},
  ): ResultAsync<ports.store.StoredValue | null, schema.errors.JackdawlinkError> {
    const condition = minModRevision > 0 ? { min_mod_revision: String(minModRevision) } : {};
    const body = { key: codec.encodeBytes(key), ...condition };
    return this.#call("/v3/kv/range", { kind: "read", body, answer: codec.rangeAnswerSchema })
      .andThen((answer) => {
        const hasGoneBack = answer.header.revision < minModRevision - 1;
        return hasGoneBack ? this.get(key) : okAsync(answer.kvs[0] ?? null);
      });
  }

  list(
    prefix: string,
  ): ResultAsync<readonly ports.store.StoredValue[], schema.errors.JackdawlinkError> {
    return this.listChanges(prefix, 0).map(({ values }) => values);
  }

  listChanges(
    prefix: string,
    minModRevision: number,
  ): ResultAsync<ports.store.ListedChanges, schema.errors.JackdawlinkError> {
    const condition = minModRevision > 0 ? { min_mod_revision: String(minModRevision) } : {};
    const range = { key: codec.encodeBytes(prefix), range_end: codec.prefixEnd(prefix) };
    const body = { ...range, ...condition };
    return this.#call("/v3/kv/range", { kind: "read", body, answer: codec.rangeAnswerSchema })
      .map((answer) => ({
        values: answer.kvs,
        keyCount: answer.count,
        storeRevision: answer.header.revision,
      }));
  }

  transact(
    compares: readonly ports.store.Compare[],
    writes: readonly ports.store.Write[],
  ): ResultAsync<ports.store.TransactionOutcome, schema.errors.JackdawlinkError> {
    const body = codec.encodeTransaction(compares, writes);
    return this.#call("/v3/kv/txn", { kind: "write", body, answer: codec.transactionAnswerSchema })
      .map((answer) => ({
        succeeded: answer.succeeded,
        storeRevision: answer.header.revision,
      }));
  }

  grantLease(ttlSeconds: number): ResultAsync<string, schema.errors.JackdawlinkError> {
    const body = { TTL: String(ttlSeconds) };
    return this.#call("/v3/lease/grant", {
      kind: "write",
      body,
      answer: codec.leaseGrantAnswerSchema,
    }).map((answer) => answer.ID);
  }

  keepLeaseAlive(leaseId: string): ResultAsync<boolean, schema.errors.JackdawlinkError> {
    return this.#call("/v3/lease/keepalive", {
      kind: "write",
      body: { ID: leaseId },
      answer: codec.keepAliveAnswerSchema,
    }).map((answer) => answer.result.TTL > 0);
  }

  revokeLease(leaseId: string): ResultAsync<void, schema.errors.JackdawlinkError> {
    return this.#call("/v3/lease/revoke", {
      kind: "write",
      body: { ID: leaseId },
      answer: codec.emptyAnswerSchema,
    }).map(() => undefined);
  }

  watch(prefix: string, onChange: () => void): () => void {
    const watch = new StoreWatch({
      pool: this.#pool,
      headers: this.#headers,
      prefix,
      onChange,
      clock: this.#options.clock,
      log: this.#options.log,
      random: this.#random,
    });
    this.#watches.add(watch);
    watch.start();
    return () => {
      watch.stop();
      this.#watches.delete(watch);
    };
  }

  /** Stops the watches and closes the connections. */
  async close(): Promise<void> {
    for (const watch of this.#watches) watch.stop();
    await this.#pool.destroy();
  }

  #call<TSchema extends v.GenericSchema>(
    path: string,
    options: CallOptions<TSchema>,
  ): ResultAsync<v.InferOutput<TSchema>, schema.errors.JackdawlinkError> {
    return new ResultAsync(this.#callWithinTimeout(path, options));
  }

  async #callWithinTimeout<TSchema extends v.GenericSchema>(
    path: string,
    { kind, body, answer }: CallOptions<TSchema>,
  ): Promise<Result<v.InferOutput<TSchema>, schema.errors.JackdawlinkError>> {
    const { settings, clock } = this.#options;
    const deadlineMs = clock.nowMs() + settings.timeoutMs;
    const waitMs = this.#budgets[kind].reserve(settings.timeoutMs);
    if (waitMs === null) return err(overBudget(kind));
    const backOffMs = this.#notBeforeMs - clock.nowMs();
    await this.#sleep(Math.min(settings.timeoutMs, Math.max(waitMs, backOffMs)));
    const sentAtMs = clock.nowMs();
    const result = await this.#exchange(path, { body, timeoutMs: deadlineMs - sentAtMs });
    this.#recordOutcome(path, { result, sentAtMs });
    const elapsedMs = clock.nowMs() - sentAtMs;
    this.#options.onCall?.({ path, kind, isAnswered: result.isOk(), elapsedMs });
    return result.andThen((value) => decodeAnswer(path, { value, schema: answer }));
  }

  async #exchange(
    path: string,
    { body, timeoutMs }: { body: unknown; timeoutMs: number },
  ): Promise<Result<unknown, schema.errors.JackdawlinkError>> {
    if (timeoutMs <= 0) return err(unavailable(path, "no time was left after the back-off"));
    try {
      const response = await this.#pool.request({
        method: "POST",
        path,
        headers: this.#headers,
        body: JSON.stringify(body),
        signal: AbortSignal.timeout(Math.ceil(timeoutMs)),
      });
      const text = await response.body.text();
      if (response.statusCode === HTTP_OK) return parseJson(path, text);
      const reason = `${response.statusCode} ${text.slice(0, MAX_REASON_CHARACTERS)}`;
      if (REFUSED_STATUSES.has(response.statusCode)) return err(refused(path, reason));
      return err(unavailable(path, reason));
    } catch (cause) {
      return err(unavailable(path, (cause as Error).message, { cause }));
    }
  }

  /** Updates the backoff. Concurrent calls that fail together count as one failure. */
  #recordOutcome(
    path: string,
    { result, sentAtMs }: {
      result: Result<unknown, schema.errors.JackdawlinkError>;
      sentAtMs: number;
    },
  ): void {
    if (result.isOk() || result.error instanceof StoreRefusedError) {
      this.#backOff.reset();
      return;
    }
    this.#options.log.warn("Store call failed", { path, reason: result.error.message });
    if (sentAtMs < this.#lastFailureAtMs) return;
    this.#lastFailureAtMs = this.#options.clock.nowMs();
    this.#notBeforeMs = this.#lastFailureAtMs + this.#backOff.nextDelayMs();
  }

  #sleep(delayMs: number): Promise<void> {
    if (delayMs <= 0) return Promise.resolve();
    return new Promise((resolve) => this.#options.clock.after(delayMs, resolve));
  }
}
