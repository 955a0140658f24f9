/**
 * Reads the head record and updates it by compare-and-swap. If the response to a write is lost, the
 * head is read again and its change id shows whether the write took effect.
 *
 * @module
 */
import type * as ports from "@jackdawlink/ports";
import * as schema from "@jackdawlink/schema";
import { err, ok, type Result, ResultAsync } from "neverthrow";
import { BackOff } from "./back_off.ts";
import {
  conflictError,
  decodeHead,
  type HeadChange,
  type HeadRecord,
  type HeadUpdate,
  isTransient,
  nextHead,
  outcomeUnknown,
} from "./head_change.ts";
import * as history from "./history.ts";
import { decodeStored } from "./stored_json.ts";

export type { HeadChange, HeadEdit, HeadRecord, HeadUpdate } from "./head_change.ts";
export { OutcomeUnknownError } from "./head_change.ts";

type JackdawlinkError = schema.errors.JackdawlinkError;

/** Options of {@link HeadRepository}. */
export interface HeadRepositoryOptions {
  readonly store: ports.store.Store;
  readonly clock: ports.clock.Clock;
  readonly log: ports.log.Log;
  /** Generates the unique id of a change. */
  readonly newChangeId?: () => string;
  /** Returns a random number between 0 and 1, for jitter. */
  readonly random?: () => number;
}

/** The default timeout of a change, including retries. */
export const DEFAULT_TIMEOUT_MS = 10_000;

/** The only writer of the head record. */
export class HeadRepository {
  readonly #store: ports.store.Store;
  readonly #clock: ports.clock.Clock;
  readonly #log: ports.log.Log;
  readonly #newChangeId: () => string;
  readonly #random: () => number;

  constructor({ store, clock, log, newChangeId, random }: HeadRepositoryOptions) {
    this.#store = store;
    this.#clock = clock;
    this.#log = log;
    this.#newChangeId = newChangeId ?? (() => crypto.randomUUID());
    this.#random = random ?? Math.random;
  }

  /** Reads the newest head; the empty head before the first change. */
  read(): ResultAsync<HeadRecord, JackdawlinkError> {
    return this.#store.get(schema.storeKeys.HEAD).andThen((stored) =>
      stored === null ? ok({ head: schema.head.EMPTY_HEAD, modRevision: 0 }) : decodeHead(stored)
    );
  }

  /**
   * Reads the head if it has changed since `modRevision`, otherwise null. An unchanged head is not
   * transferred.
   */
  readNewer(modRevision: number): ResultAsync<HeadRecord | null, JackdawlinkError> {
    return this.#store.get(schema.storeKeys.HEAD, { minModRevision: modRevision + 1 })
      .andThen((stored) => stored === null ? ok(null) : decodeHead(stored));
  }

  /**
   * Changes the head from `base`, or fails with `ConflictError` if another writer was first.
   * Returns the head that this change wrote, even if a later revision has replaced it since.
   */
  change(base: HeadRecord, change: HeadChange): ResultAsync<HeadRecord, JackdawlinkError> {
    return new ResultAsync(this.#change(base, change));
  }

  /** Reads and changes the head, and retries until it succeeds or the timeout passes. */
  update(update: HeadUpdate): ResultAsync<HeadRecord, JackdawlinkError> {
    return new ResultAsync(this.#update(update));
  }

  /** Reads the retained history records, oldest first. */
  readHistory(): ResultAsync<readonly history.HistoryRecord[], JackdawlinkError> {
    return this.#store.list(schema.storeKeys.HISTORY_PREFIX).andThen((stored) => {
      const records: history.HistoryRecord[] = [];
      for (const value of stored) {
        const record = decodeStored(value, history.historyRecordSchema);
        if (record.isErr()) return err(record.error);
        records.push(record.value);
      }
      return ok(records);
    });
  }

  async #update(update: HeadUpdate): Promise<Result<HeadRecord, JackdawlinkError>> {
    const { mutate, author, summary, timeoutMs = DEFAULT_TIMEOUT_MS } = update;
    const deadlineMs = this.#clock.nowMs() + timeoutMs;
    const backOff = new BackOff({ random: this.#random });
    for (;;) {
      const base = await this.read();
      const leftMs = deadlineMs - this.#clock.nowMs();
      if (base.isErr()) {
        if (leftMs <= 0 || !isTransient(base.error)) return err(base.error);
        await this.#sleep(Math.min(leftMs, backOff.nextDelayMs()));
        continue;
      }
      const edit = mutate(base.value.head, base.value.head.revision + 1);
      if (edit === null) return ok(base.value);
      const changed = await this.#change(base.value, { edit, author, summary, timeoutMs: leftMs });
      if (changed.isOk() || !(changed.error instanceof schema.errors.ConflictError)) return changed;
      if (this.#clock.nowMs() >= deadlineMs) return changed;
      await this.#sleep(backOff.nextDelayMs());
    }
  }

  async #change(
    base: HeadRecord,
    { edit, author, summary, changes = [], writes = [], timeoutMs = DEFAULT_TIMEOUT_MS }:
      HeadChange,
  ): Promise<Result<HeadRecord, JackdawlinkError>> {
    const head = nextHead(base.head, {
      ...edit,
      changeId: this.#newChangeId(),
      author,
      summary,
      changedAtMs: this.#clock.wallMs(),
    });
    const result = await this.#commit({ base, head, timeoutMs }, [
      { kind: "put", key: schema.storeKeys.HEAD, value: JSON.stringify(head) },
      ...history.historyWrites(head, changes),
      ...writes,
    ]);
    this.#logOutcome(head, result);
    return result;
  }

  async #commit(
    { base, head, timeoutMs }: { base: HeadRecord; head: schema.head.Head; timeoutMs: number },
    writes: readonly ports.store.Write[],
  ): Promise<Result<HeadRecord, JackdawlinkError>> {
    const deadlineMs = this.#clock.nowMs() + timeoutMs;
    const compares = [{ key: schema.storeKeys.HEAD, modRevision: base.modRevision }];
    const backOff = new BackOff({ random: this.#random });
    let mayHaveTakenEffect = false;
    for (;;) {
      const sent = await this.#store.transact(compares, writes);
      if (sent.isOk() && sent.value.succeeded) {
        return ok({ head, modRevision: sent.value.storeRevision });
      }
      if (sent.isErr() && !isTransient(sent.error)) return err(sent.error);
      mayHaveTakenEffect ||= sent.isErr() &&
        !(sent.error instanceof schema.errors.StoreBudgetError);
      const resolved = sent.isOk() && !mayHaveTakenEffect
        ? err(conflictError(base.head))
        : await this.#resolveOutcome(base, head);
      if (resolved !== null) return resolved;
      const leftMs = deadlineMs - this.#clock.nowMs();
      if (leftMs <= 0) return err(outcomeUnknown(head, sent.isErr() ? sent.error : undefined));
      await this.#sleep(Math.min(leftMs, backOff.nextDelayMs()));
    }
  }

  /** Determines whether a change without a response took effect; null while that is unknown. */
  async #resolveOutcome(
    base: HeadRecord,
    head: schema.head.Head,
  ): Promise<Result<HeadRecord, JackdawlinkError> | null> {
    const current = await this.read();
    if (current.isErr()) return isTransient(current.error) ? null : err(current.error);
    if (current.value.modRevision === base.modRevision) return null;
    if (current.value.head.changeId === head.changeId) return ok(current.value);
    return await this.#resolveFromHistory(base, head);
  }

  /**
   * Looks the change id up in the history record, as a later revision has replaced it in the head.
   */
  async #resolveFromHistory(
    base: HeadRecord,
    head: schema.head.Head,
  ): Promise<Result<HeadRecord, JackdawlinkError> | null> {
    const stored = await this.#store.get(schema.storeKeys.historyKey(head.revision));
    if (stored.isErr()) return isTransient(stored.error) ? null : err(stored.error);
    if (stored.value === null) return err(outcomeUnknown(head));
    const record = decodeStored(stored.value, history.historyRecordSchema);
    if (record.isErr()) return err(record.error);
    const isOurs = record.value.changeId === head.changeId;
    return isOurs
      ? ok({ head, modRevision: stored.value.modRevision })
      : err(conflictError(base.head));
  }

  #logOutcome(head: schema.head.Head, result: Result<HeadRecord, JackdawlinkError>): void {
    const fields = { revision: head.revision, changeId: head.changeId, summary: head.summary };
    if (result.isOk()) this.#log.info("Head changed", fields);
    else this.#log.warn("Head change failed", { ...fields, reason: result.error.message });
  }

  #sleep(delayMs: number): Promise<void> {
    return new Promise((resolve) => this.#clock.after(delayMs, resolve));
  }
}
