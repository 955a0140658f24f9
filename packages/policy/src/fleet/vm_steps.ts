/**
 * Moves and reboots of a VM as a sequence of idempotent steps. The VM's record names the phase; any
 * steward reads it, takes the next step, and may die or stop at any point.
 *
 * @module
 */
import type * as schema from "@jackdawlink/schema";

/** What the platform's lagging list shows of a VM. */
export interface VmObservation {
  readonly state: "live" | "leaving" | "rebooting" | "down";
  readonly running: number;
  readonly operationId: string;
  readonly rebooted: boolean;
  readonly returned: boolean;
}

/** The next step of an operation. Steps on the record are compare-and-swaps. */
export type VmStep =
  | { readonly kind: "wait"; readonly reason: string }
  | { readonly kind: "advance"; readonly phase: schema.fleet.OperationPhase }
  | { readonly kind: "fail"; readonly reason: string }
  | { readonly kind: "drain" }
  | { readonly kind: "reboot" }
  | { readonly kind: "return" }
  | { readonly kind: "swap"; readonly toPool: string }
  | { readonly kind: "finish" };

/** What a step is decided from. */
export interface StepInput {
  readonly operation: schema.fleet.Operation;
  /** Absent while the platform does not list the VM. */
  readonly observed: VmObservation | undefined;
  readonly wallMs: number;
  /** How long the caller has itself seen the operation in this phase. */
  readonly observedPhaseMs: number;
  /** How long entries may take to stop sending to a VM that is marked. */
  readonly markSettleMs: number;
}

/** One handler for each phase. */
const PHASE_HANDLERS: Readonly<
  Record<schema.fleet.OperationPhase, (input: StepInput) => VmStep>
> = {
  marking: stepMarking,
  draining: stepDraining,
  rebooting: stepRebooting,
  returning: stepReturning,
};

/** The next step of an operation. */
export function nextStep(input: StepInput): VmStep {
  return PHASE_HANDLERS[input.operation.phase](input);
}

/** The id of a VM's n-th operation; ids sort by n. */
export function operationIdOf(vm: string, operationNumber: number): string {
  return `${vm}.${String(operationNumber).padStart(9, "0")}`;
}

/** The n of a VM's n-th operation; zero for an empty id. */
export function operationNumberOf(operationId: string): number {
  return Number(operationId.slice(operationId.lastIndexOf(".") + 1));
}

/** Entries follow the mark within a bounded time; a steward that takes over waits that time itself. */
function stepMarking({ observedPhaseMs: seenForMs, markSettleMs }: StepInput): VmStep {
  return seenForMs >= markSettleMs
    ? { kind: "advance", phase: "draining" }
    : { kind: "wait", reason: "Entries are taking over the mark" };
}

/** A leaving VM takes no new work, so a count of zero is final even when the list lags. */
function stepDraining(input: StepInput): VmStep {
  const { operation, observed, wallMs } = input;
  const isLeaving = observed?.operationId === operation.operationId &&
    observed.state === "leaving";
  const hasTimedOut = wallMs - operation.phaseSinceMs > operation.drainTimeoutMs;
  if (operation.released) {
    return { kind: "advance", phase: "returning" };
  }
  if (isLeaving && observed.running === 0) {
    return stepDrained(input);
  }
  if (hasTimedOut) {
    return { kind: "fail", reason: "Work was still running at the end of the drain time-out" };
  }
  if (!isLeaving) {
    return { kind: "drain" };
  }
  return { kind: "wait", reason: `${observed.running} requests or tasks are running` };
}

/** What follows the drain, by kind of operation. */
function stepDrained({ operation, wallMs }: StepInput): VmStep {
  if (operation.kind === "reboot") {
    return { kind: "advance", phase: "rebooting" };
  }
  if (operation.kind === "move" && operation.toPool !== undefined) {
    const hasTimedOut = wallMs - operation.phaseSinceMs > operation.drainTimeoutMs;
    return hasTimedOut
      ? { kind: "fail", reason: "The budget of the new pool stayed used up" }
      : { kind: "swap", toPool: operation.toPool };
  }
  return { kind: "wait", reason: "An operator keeps the VM out of service" };
}

/** The platform reboots once for an operation id, so that asking again is harmless. */
function stepRebooting({ operation, observed, wallMs }: StepInput): VmStep {
  const isOurs = observed?.operationId === operation.operationId;
  if (isOurs && observed.rebooted && observed.state === "leaving") {
    return { kind: "advance", phase: "returning" };
  }
  const isLate = wallMs - operation.phaseSinceMs > operation.maintenanceMs;
  if (isLate && operation.failure === undefined) {
    return { kind: "fail", reason: "The VM did not come back within its maintenance time" };
  }
  if (isOurs && observed.state === "rebooting") {
    return { kind: "wait", reason: "The VM is rebooting" };
  }
  return { kind: "reboot" };
}

/** The token is given back only once the VM is shown live under this very operation. */
function stepReturning({ operation, observed }: StepInput): VmStep {
  const isReturned = observed?.operationId === operation.operationId && observed.returned;
  if (isReturned && observed.state === "live") {
    return { kind: "finish" };
  }
  return isReturned ? { kind: "wait", reason: "The VM is not live yet" } : { kind: "return" };
}
