/**
 * VM operations as sequences of idempotent steps. The VM's record stores the phase, so any steward
 * can take the next step, and a steward may crash at any point.
 *
 * @module
 */
import type * as schema from "@jackdawlink/schema";

/** The state of a VM in the platform's list, which may be stale. */
export interface VmObservation {
  readonly state: "live" | "leaving" | "rebooting" | "down";
  readonly running: number;
  readonly operationId: string;
  readonly rebooted: boolean;
  readonly returned: boolean;
}

/** The next step of an operation. Steps that change the record are compare-and-swap writes. */
export type VmStep =
  | { readonly kind: "wait"; readonly reason: string }
  | { readonly kind: "advance"; readonly phase: schema.fleet.OperationPhase }
  | { readonly kind: "fail"; readonly reason: string }
  | { readonly kind: "drain" }
  | { readonly kind: "reboot" }
  | { readonly kind: "return" }
  | { readonly kind: "swap"; readonly toPool: string }
  | { readonly kind: "finish" };

/** The inputs of {@link nextStep}. */
export interface StepInput {
  readonly operation: schema.fleet.Operation;
  /** Undefined while the platform doesn't list the VM. */
  readonly observed: VmObservation | undefined;
  readonly wallMs: number;
  /** How long the calling steward itself has observed the operation in this phase. */
  readonly observedPhaseMs: number;
  /** The maximum time that entries take to stop sending requests to a VM marked as draining. */
  readonly markSettleMs: number;
}

/** The step handlers by phase. */
const PHASE_HANDLERS: Readonly<
  Record<schema.fleet.OperationPhase, (input: StepInput) => VmStep>
> = {
  marking: stepMarking,
  draining: stepDraining,
  rebooting: stepRebooting,
  returning: stepReturning,
};

/** Decides the next step of an operation. */
export function nextStep(input: StepInput): VmStep {
  return PHASE_HANDLERS[input.operation.phase](input);
}

/** The id of the n-th operation of a VM. Ids sort by n. */
export function operationIdOf(vm: string, operationNumber: number): string {
  return `${vm}.${String(operationNumber).padStart(9, "0")}`;
}

/** The number n in the id of a VM's n-th operation; zero for an empty id. */
export function operationNumberOf(operationId: string): number {
  return Number(operationId.slice(operationId.lastIndexOf(".") + 1));
}

/**
 * Entries apply the draining mark within a bounded time. A steward that takes over the operation
 * waits that time from its own first observation.
 */
function stepMarking({ observedPhaseMs, markSettleMs }: StepInput): VmStep {
  return observedPhaseMs >= markSettleMs
    ? { kind: "advance", phase: "draining" }
    : { kind: "wait", reason: "Entries are taking over the mark" };
}

/** A leaving VM takes no new work, so a count of zero is final even if the list is stale. */
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

/** The step after a completed drain, by kind of operation. */
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

/** The platform reboots at most once per operation id, so a repeated request is harmless. */
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

/** The token is released only after the VM is listed as live under this operation. */
function stepReturning({ operation, observed }: StepInput): VmStep {
  const isReturned = observed?.operationId === operation.operationId && observed.returned;
  if (isReturned && observed.state === "live") {
    return { kind: "finish" };
  }
  return isReturned ? { kind: "wait", reason: "The VM is not live yet" } : { kind: "return" };
}
