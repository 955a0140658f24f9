/**
 * An in-memory store for tests that can fail calls, delay their effects and lose their answers.
 *
 * @module
 */
import type * as ports from "@jackdawlink/ports";
import * as schema from "@jackdawlink/schema";
import { err, ok, type Result, ResultAsync } from "neverthrow";
import { KeyValueTable } from "./key_value_table.ts";

type JackdawlinkError = schema.errors.JackdawlinkError;

/** The outcome of one call. A `late` call takes effect after its caller has received an error. */
export type CallOutcome = "answered" | "lost-before" | "lost-after" | "late";

/** Options of a {@link MemoryStore}. */
export interface MemoryStoreOptions {
  readonly nowMs?: () => number;
  /** Decides the outcome of each call; by default all calls are answered. */
  readonly outcomeOf?: (call: "read" | "write") => CallOutcome;
  /** Awaited before each call takes effect, so that other calls can interleave. */
  readonly pause?: () => Promise<void>;
}

/** Implements the store port on a {@link KeyValueTable}. */
export class MemoryStore implements ports.store.Store {
  readonly table: KeyValueTable;
  readonly #outcomeOf: (call: "read" | "write") => CallOutcome;
  readonly #pause: () => Promise<void>;
  readonly #lateEffects: Promise<unknown>[] = [];

  constructor({ nowMs, outcomeOf, pause }: MemoryStoreOptions = {}) {
    this.table = new KeyValueTable(nowMs ?? (() => performance.now()));
    this.#outcomeOf = outcomeOf ?? (() => "answered");
    this.#pause = pause ?? (() => Promise.resolve());
  }

  /** Resolves once all delayed effects have been applied. */
  async settled(): Promise<void> {
    await Promise.all(this.#lateEffects);
  }

  get(
    key: string,
    { minModRevision = 0 }: ports.store.GetOptions = {},
  ): ResultAsync<ports.store.StoredValue | null, JackdawlinkError> {
    return this.#call("read", () => {
      const stored = this.table.get(key);
      return stored === undefined || stored.modRevision < minModRevision ? null : stored;
    });
  }

  list(prefix: string): ResultAsync<readonly ports.store.StoredValue[], JackdawlinkError> {
    return this.listChanges(prefix, 0).map(({ values }) => values);
  }

  listChanges(
    prefix: string,
    minModRevision: number,
  ): ResultAsync<ports.store.ListedChanges, JackdawlinkError> {
    return this.#call("read", () => {
      const all = this.table.range({ key: prefix, end: `${prefix}\uffff` });
      return {
        values: all.filter(({ modRevision }) => modRevision >= minModRevision),
        keyCount: all.length,
        storeRevision: this.table.revision,
      };
    });
  }

  transact(
    compares: readonly ports.store.Compare[],
    writes: readonly ports.store.Write[],
  ): ResultAsync<ports.store.TransactionOutcome, JackdawlinkError> {
    return this.#call("write", () => {
      const succeeded = compares.every(({ key, modRevision }) =>
        (this.table.get(key)?.modRevision ?? 0) === modRevision
      );
      if (succeeded) this.table.commit(() => writes.forEach((write) => this.#write(write)));
      return { succeeded, storeRevision: this.table.revision };
    });
  }

  grantLease(ttlSeconds: number): ResultAsync<string, JackdawlinkError> {
    return this.#call("write", () => this.table.grantLease(ttlSeconds));
  }

  keepLeaseAlive(leaseId: string): ResultAsync<boolean, JackdawlinkError> {
    return this.#call("write", () => {
      this.table.expireLeases();
      return this.table.keepAlive(leaseId) > 0;
    });
  }

  revokeLease(leaseId: string): ResultAsync<void, JackdawlinkError> {
    return this.#call("write", () => void this.table.revokeLease(leaseId));
  }

  watch(prefix: string, onChange: () => void): () => void {
    return this.table.onEvents((events) => {
      if (events.some((event) => event.keyValue.key.startsWith(prefix))) onChange();
    });
  }

  #write(write: ports.store.Write): void {
    if (write.kind === "delete") this.table.deleteRange({ key: write.key, end: "" });
    else this.table.put(write.key, write.value, { leaseId: write.leaseId ?? "0" });
  }

  #call<TAnswer>(
    call: "read" | "write",
    effect: () => TAnswer,
  ): ResultAsync<TAnswer, JackdawlinkError> {
    return new ResultAsync(this.#applyOutcome(this.#outcomeOf(call), effect));
  }

  async #applyOutcome<TAnswer>(
    outcome: CallOutcome,
    effect: () => TAnswer,
  ): Promise<Result<TAnswer, JackdawlinkError>> {
    await this.#pause();
    const lost = new schema.errors.StoreUnavailableError("The answer was lost");
    if (outcome === "lost-before") return err(lost);
    if (outcome === "late") {
      this.#lateEffects.push(this.#pause().then(this.#pause).then(effect));
      return err(lost);
    }
    const answer = effect();
    return outcome === "answered" ? ok(answer) : err(lost);
  }
}
