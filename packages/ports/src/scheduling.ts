/**
 * The platform interfaces that the scheduler uses: the store, workers, VMs, and the advice service
 * of a queue's policy.
 *
 * @module
 */
import type { Result } from "neverthrow";
import type { errors, scheduling } from "@jackdawlink/schema";

/** A stored item with the store revisions of its last change and its creation. */
export interface StoreItem {
  readonly key: string;
  readonly value: string;
  readonly revision: number;
  readonly createdRevision: number;
}

/** A change reported by a watch; `value` is undefined for a deletion. */
export interface StoreChange {
  readonly key: string;
  readonly value: string | undefined;
  readonly revision: number;
}

/** A transaction condition: the key has this revision; zero means that it does not exist. */
export interface StoreCondition {
  readonly key: string;
  readonly revision: number;
}

/** An item to write. */
export interface StorePut {
  readonly key: string;
  readonly value: string;
  readonly leaseId?: number;
}

/** A transaction. Its writes are applied atomically if all conditions hold. */
export interface StoreTransaction {
  readonly conditions: readonly StoreCondition[];
  readonly puts: readonly StorePut[];
  readonly removes: readonly string[];
}

/** The result of a transaction; `items` are the current items of the conditions that failed. */
export type TransactionAnswer =
  | { readonly kind: "done"; readonly revision: number }
  | { readonly kind: "conflict"; readonly items: readonly StoreItem[] }
  | { readonly kind: "no-lease" };

/** The changes after a revision; `lost` if the store has compacted that part of its history. */
export type WatchAnswer =
  | {
    readonly kind: "changes";
    readonly changes: readonly StoreChange[];
    readonly asOfRevision: number;
  }
  | { readonly kind: "lost" };

type Answer<T> = Promise<Result<T, errors.JackdawlinkError>>;

/**
 * The platform store. Reads are linearizable. A `StoreRefusedError` means that the call had no
 * effect; after any other error a write may have taken effect, or may do so later.
 */
export interface SchedulingStore {
  get(key: string): Answer<StoreItem | undefined>;
  list(
    prefix: string,
  ): Answer<{ readonly items: readonly StoreItem[]; readonly asOfRevision: number }>;
  /** Long poll: waits up to `waitMs` for changes below a prefix after a revision. */
  watch(prefix: string, afterRevision: number, waitMs: number): Answer<WatchAnswer>;
  transact(transaction: StoreTransaction): Answer<TransactionAnswer>;
  grantLease(ttlMs: number): Answer<{ readonly leaseId: number; readonly ttlMs: number }>;
  /** Renews a lease; false if it has ended. */
  keepLease(leaseId: number): Answer<boolean>;
  endLease(leaseId: number): Answer<void>;
}

/** A worker and the address of its API. */
export interface WorkerAddress {
  readonly workerId: string;
  readonly address: string;
}

/**
 * An order to start a run. The worker stops the run if the lease ends at `leaseUntilWorkerMs`, on
 * the worker's clock.
 */
export interface StartOrder {
  readonly task: string;
  readonly runId: number;
  readonly payload: string;
  readonly fencingToken: number;
  readonly leaseUntilWorkerMs: number;
  readonly checkpoint?: string;
  readonly ticket?: string;
}

/** Sends orders to workers. Workers reject orders with an outdated fencing token. */
export interface WorkerClient {
  start(worker: WorkerAddress, order: StartOrder): Promise<scheduling.OrderOutcome>;
  stop(
    worker: WorkerAddress,
    order: { readonly task: string; readonly runId: number; readonly fencingToken: number },
  ): Promise<scheduling.OrderOutcome>;
  /** Sets the speed of a run, in percent of full speed. */
  pace(
    worker: WorkerAddress,
    order: {
      readonly task: string;
      readonly runId: number;
      readonly percent: number;
      readonly fencingToken: number;
    },
  ): Promise<scheduling.OrderOutcome>;
  /** Renews the lease, acknowledges ends and returns a report; waits up to `waitMs` for an end. */
  hold(
    worker: WorkerAddress,
    order: {
      readonly fencingToken: number;
      readonly acknowledgedEnd: number;
      readonly leaseUntilWorkerMs?: number;
      readonly waitMs: number;
    },
  ): Promise<
    | { readonly kind: "report"; readonly report: scheduling.WorkerReport }
    | Exclude<scheduling.OrderOutcome, { kind: "done" }>
  >;
}

/** The outcome of an order for a VM. `unknown`: the order may have been executed. */
export type VmOrderOutcome =
  | { readonly kind: "done" }
  | { readonly kind: "fenced" }
  | { readonly kind: "refused"; readonly reason: string }
  | { readonly kind: "unknown"; readonly reason: string };

/** The issuer of an order. A VM rejects a fencing token lower than the highest it has seen. */
export interface VmOrderHolder {
  readonly node: string;
  readonly fencingToken: number;
}

/** Lists VMs and orders their moves and maintenance. */
export interface VmClient {
  list(): Answer<readonly scheduling.ListedVm[]>;
  move(vm: string, pool: string, holder: VmOrderHolder): Promise<VmOrderOutcome>;
  maintain(vm: string, wave: number, holder: VmOrderHolder): Promise<VmOrderOutcome>;
}

/** Asks a queue's policy which workers a step may use; returns a ticket for each allowed worker. */
export interface AdviceClient {
  ask(
    step: string,
    workerIds: readonly string[],
  ): Answer<{ readonly tickets: ReadonlyMap<string, string>; readonly validMs: number }>;
}

/** Keys and decoders of the documents that other systems write to the platform store. */
export interface Documents {
  readonly configKey: string;
  readonly workerPrefix: string;
  readonly wavePrefix: string;
  decodeConfig(text: string): Result<scheduling.SchedulingConfig, errors.JackdawlinkError>;
  decodeWorker(key: string, text: string): Result<scheduling.WorkerInfo, errors.JackdawlinkError>;
  decodeWave(text: string): Result<scheduling.MaintenanceWave, errors.JackdawlinkError>;
  decodeSubmission(text: string): Result<scheduling.JobSpec, errors.JackdawlinkError>;
  /** Returns the item that publishes the state of a wave to the operator. */
  waveStateItem(
    wave: number,
    state: "active" | "complete",
  ): { readonly key: string; readonly value: string };
}
