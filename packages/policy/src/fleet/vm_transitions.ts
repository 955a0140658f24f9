/**
 * Changes to the records of VMs and their pools. Each result is written in one transaction, in
 * which the caller compares every record with the version that it read.
 *
 * @module
 */
import * as schema from "@jackdawlink/schema";
import * as vmSteps from "./vm_steps.ts";

/** Records that are written in one transaction. */
export interface FleetChange {
  readonly vms?: readonly schema.fleet.VmRecord[];
  readonly removedVms?: readonly string[];
  readonly pools?: readonly schema.fleet.PoolRecord[];
  readonly draining?: schema.fleet.DrainingRecord;
  readonly waves?: readonly schema.fleet.WaveRecord[];
  readonly workers?: readonly schema.fleet.WorkerRecord[];
  /** Waves whose records must be unchanged, although they aren't written. */
  readonly unchangedWaves?: readonly string[];
}

/** A request to start an operation on a VM. */
export interface OperationRequest {
  readonly vm: string;
  readonly kind: schema.fleet.OperationKind;
  readonly reason: string;
  readonly toPool?: string;
  readonly wave?: { readonly name: string; readonly run: number };
  readonly drainTimeoutMs: number;
  readonly maintenanceMs: number;
}

/** The current records that a change is based on. */
export interface VmContext {
  readonly record: schema.fleet.VmRecord;
  readonly pool: schema.fleet.PoolRecord;
  readonly draining: schema.fleet.DrainingRecord;
  readonly wallMs: number;
}

/** Takes the budget token, marks the VM as draining and opens the operation. */
export function start(context: VmContext, request: OperationRequest): Required<
  Pick<FleetChange, "vms" | "pools" | "draining">
> {
  const { record, pool, draining, wallMs } = context;
  const operationCount = record.operationCount + 1;
  const operationId = vmSteps.operationIdOf(record.vm, operationCount);
  const { kind, reason, toPool, wave, drainTimeoutMs, maintenanceMs } = request;
  const operation: schema.fleet.Operation = {
    operationId,
    kind,
    phase: "marking",
    phaseSinceMs: wallMs,
    reason,
    toPool,
    wave,
    released: false,
    drainTimeoutMs,
    maintenanceMs,
  };
  const text = `${operationId} ${kind} starts: ${reason}`;
  return {
    vms: [{ ...withHistory(record, text, wallMs), operationCount, operation }],
    pools: [addToken(pool, { record, operation, wallMs })],
    draining: { operations: { ...draining.operations, [record.vm]: operationId } },
  };
}

/** Moves the operation to the next phase. */
export function advance(
  { record, wallMs }: Pick<VmContext, "record" | "wallMs">,
  phase: schema.fleet.OperationPhase,
): FleetChange {
  return withOperation(record, { phase, phaseSinceMs: wallMs });
}

/** Records a failure. A failed drain is aborted; a failed reboot keeps its token. */
export function fail(
  { record, wallMs }: Pick<VmContext, "record" | "wallMs">,
  reason: string,
): FleetChange {
  const isRebooting = record.operation?.phase === "rebooting";
  const failed = withHistory(record, `${record.operation?.operationId} failed: ${reason}`, wallMs);
  return withOperation(failed, {
    failure: reason,
    ...(isRebooting ? {} : { phase: "returning", phaseSinceMs: wallMs }),
  });
}

/** Marks a drain as released by the operator. */
export function release({ record }: Pick<VmContext, "record">): FleetChange {
  return withOperation(record, { released: true });
}

/** Moves the VM and its token to another pool. */
export function swap(
  { record, pool, wallMs }: Pick<VmContext, "record" | "pool" | "wallMs">,
  toPool: schema.fleet.PoolRecord,
): FleetChange {
  const { operation } = record;
  if (operation === undefined) {
    return {};
  }
  const moved = withHistory(record, `Moved from pool ${pool.pool} to ${toPool.pool}`, wallMs);
  return {
    ...withOperation({ ...moved, pool: toPool.pool }, {
      phase: "returning",
      phaseSinceMs: wallMs,
    }),
    pools: [removeToken(pool, record.vm), addToken(toPool, { record, operation, wallMs })],
  };
}

/** Releases the token, removes the draining mark and closes the operation. */
export function finish({ record, pool, draining, wallMs }: VmContext): FleetChange {
  const { operation } = record;
  if (operation === undefined) {
    return {};
  }
  const { [record.vm]: _, ...operations } = draining.operations;
  const outcome = operation.failure ?? "done";
  const closed = withHistory(record, `${operation.operationId} ends: ${outcome}`, wallMs);
  return {
    vms: [{ ...closed, operation: undefined, waveResults: waveResultsAfter(record, operation) }],
    pools: [removeToken(pool, record.vm)],
    draining: { operations },
  };
}

/** Removes a VM that no longer exists, with its token and draining mark. */
export function retire({ record, pool, draining }: Omit<VmContext, "wallMs">): FleetChange {
  const removedVms = [record.vm];
  if (record.operation === undefined) {
    return { removedVms };
  }
  const { [record.vm]: _, ...operations } = draining.operations;
  return { removedVms, pools: [removeToken(pool, record.vm)], draining: { operations } };
}

/** The wave results of a VM, including that of the closed operation if it belongs to a wave. */
function waveResultsAfter(
  record: schema.fleet.VmRecord,
  { wave, failure }: schema.fleet.Operation,
): schema.fleet.VmRecord["waveResults"] {
  if (wave === undefined) {
    return record.waveResults;
  }
  const state = failure === undefined ? "done" : "failed";
  const result = { run: wave.run, state, reason: failure ?? "The VM was maintained" } as const;
  return { ...record.waveResults, [wave.name]: result };
}

function withOperation(
  record: schema.fleet.VmRecord,
  change: Partial<schema.fleet.Operation>,
): FleetChange {
  const { operation } = record;
  return operation === undefined
    ? {}
    : { vms: [{ ...record, operation: { ...operation, ...change } }] };
}

function withHistory(
  record: schema.fleet.VmRecord,
  text: string,
  wallMs: number,
): schema.fleet.VmRecord {
  const history = [...record.history, { atMs: wallMs, text }].slice(
    -schema.fleet.MAX_HISTORY_LINES,
  );
  return { ...record, history };
}

function addToken(
  pool: schema.fleet.PoolRecord,
  { record, operation, wallMs }: {
    record: schema.fleet.VmRecord;
    operation: schema.fleet.Operation;
    wallMs: number;
  },
): schema.fleet.PoolRecord {
  const { vm, availabilityZone, rack } = record;
  const { operationId, reason } = operation;
  const token = { vm, availabilityZone, rack, operationId, reason, sinceMs: wallMs };
  return { ...pool, tokens: [...pool.tokens.filter((each) => each.vm !== vm), token] };
}

function removeToken(pool: schema.fleet.PoolRecord, vm: string): schema.fleet.PoolRecord {
  return { ...pool, tokens: pool.tokens.filter((token) => token.vm !== vm) };
}
