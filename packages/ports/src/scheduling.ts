/**
 * What the scheduler needs from the platform: a store, workers that run tasks, the list of VMs, and the
 * advice of a queue's policy.
 *
 * @module
 */
import type { Result } from "neverthrow";
import type { errors, scheduling } from "@jackdawlink/schema";

/** An item of the store. */
export interface StoreItem {
  readonly key: string;
  readonly value: string;
  readonly revision: number;
  readonly createdRevision: number;
}

/** A change that a watch saw; `value` is undefined for a deletion. */
export interface StoreChange {
  readonly key: string;
  readonly value: string | undefined;
  readonly revision: number;
}

/** A condition of a transaction; revision zero stands for a key that does not exist. */
export interface StoreCondition {
  readonly key: string;
  readonly revision: number;
}

/** One item to be written. */
export interface StorePut {
  readonly key: string;
  readonly value: string;
  readonly leaseId?: number;
}

/** The writes of a transaction, which happen all or not at all. */
export interface StoreTransaction {
  readonly conditions: readonly StoreCondition[];
  readonly puts: readonly StorePut[];
  readonly removes: readonly string[];
}

/** Whether a transaction took place; `items` are those of the conditions that did not hold. */
export type TransactionAnswer =
  | { readonly kind: "done"; readonly revision: number }
  | { readonly kind: "conflict"; readonly items: readonly StoreItem[] }
  | { readonly kind: "no-lease" };

/** The changes since a revision; `lost` where the store has dropped that part of its history. */
export type WatchAnswer =
  | {
    readonly kind: "changes";
    readonly changes: readonly StoreChange[];
    readonly asOfRevision: number;
  }
  | { readonly kind: "lost" };

type Answer<T> = Promise<Result<T, errors.JackdawlinkError>>;

/**
 * The platform store. Reads are linearizable. A `StoreRefusedError` means that nothing was done; after any
 * other failure a write may have happened or may still happen.
 */
export interface SchedulingStore {
  get(key: string): Answer<StoreItem | undefined>;
  list(
    prefix: string,
  ): Answer<{ readonly items: readonly StoreItem[]; readonly asOfRevision: number }>;
  watch(prefix: string, afterRevision: number, waitMs: number): Answer<WatchAnswer>;
  transact(transaction: StoreTransaction): Answer<TransactionAnswer>;
  grantLease(ttlMs: number): Answer<{ readonly leaseId: number; readonly ttlMs: number }>;
  /** False once the lease has ended. */
  keepLease(leaseId: number): Answer<boolean>;
  endLease(leaseId: number): Answer<void>;
}

export interface WorkerAddress {
  readonly workerId: string;
  readonly address: string;
}

export interface StartOrder {
  readonly task: string;
  readonly runId: number;
  readonly payload: string;
  readonly fencingToken: number;
  readonly leaseUntilWorkerMs: number;
  readonly checkpoint?: string;
  readonly ticket?: string;
}

/** One worker's interface. */
export interface WorkerClient {
  start(worker: WorkerAddress, order: StartOrder): Promise<scheduling.OrderOutcome>;
  stop(
    worker: WorkerAddress,
    order: { readonly task: string; readonly runId: number; readonly fencingToken: number },
  ): Promise<scheduling.OrderOutcome>;
  pace(
    worker: WorkerAddress,
    order: {
      readonly task: string;
      readonly runId: number;
      readonly percent: number;
      readonly fencingToken: number;
    },
  ): Promise<scheduling.OrderOutcome>;
  /** Renews the lease, acknowledges ends, and reports; waits up to `waitMs` for an end. */
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

export type VmOrderOutcome =
  | { readonly kind: "done" }
  | { readonly kind: "fenced" }
  | { readonly kind: "refused"; readonly reason: string }
  | { readonly kind: "unknown"; readonly reason: string };

/** Who orders; a VM refuses a lower token than it has seen. */
export interface VmOrderHolder {
  readonly node: string;
  readonly fencingToken: number;
}

/** The platform's VMs. */
export interface VmClient {
  list(): Answer<readonly scheduling.ListedVm[]>;
  move(vm: string, pool: string, holder: VmOrderHolder): Promise<VmOrderOutcome>;
  maintain(vm: string, wave: number, holder: VmOrderHolder): Promise<VmOrderOutcome>;
}

/** Tickets of the workers that a queue's policy allows for a step. */
export interface AdviceClient {
  ask(
    step: string,
    workerIds: readonly string[],
  ): Answer<{ readonly tickets: ReadonlyMap<string, string>; readonly validMs: number }>;
}

/** Documents that the platform's other parties write, and where they stand in the store. */
export interface Documents {
  readonly configKey: string;
  readonly workerPrefix: string;
  readonly wavePrefix: string;
  decodeConfig(text: string): Result<scheduling.SchedulingConfig, errors.JackdawlinkError>;
  decodeWorker(key: string, text: string): Result<scheduling.WorkerInfo, errors.JackdawlinkError>;
  decodeWave(text: string): Result<scheduling.MaintenanceWave, errors.JackdawlinkError>;
  decodeSubmission(text: string): Result<scheduling.JobSpec, errors.JackdawlinkError>;
  /** The item that tells the operator how far a wave has come. */
  waveStateItem(
    wave: number,
    state: "active" | "complete",
  ): { readonly key: string; readonly value: string };
}
