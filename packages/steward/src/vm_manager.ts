/**
 * Runs the operations on VMs (moves, reboots and drains): starts each one under the availability
 * budget of its pool and advances it from phase to phase.
 *
 * @module
 */
import { errAsync, okAsync, type Result, type ResultAsync } from "neverthrow";
import * as policy from "@jackdawlink/policy";
import type * as ports from "@jackdawlink/ports";
import * as schema from "@jackdawlink/schema";
import type { DecisionLog } from "./decision_log.ts";
import type { FleetState } from "./fleet_state.ts";
import type { Round } from "./round.ts";

/** The operation can't start or end now; nothing was changed. */
export const OperationRefusedError = schema.errors.JackdawlinkError.subclass(
  "OperationRefusedError",
);

type Outcome<T> = ResultAsync<T, schema.errors.JackdawlinkError>;
type Step = policy.fleet.vmSteps.VmStep;

/** No operation starts on the basis of a list of VMs that is older than this. */
const MAX_LIST_AGE_MS = 3_000;

/** Dependencies and settings of a `VmManager`. */
export interface VmManagerOptions {
  readonly state: FleetState;
  readonly platform: ports.platform.Platform;
  readonly clock: ports.clock.Clock;
  readonly decisions: DecisionLog;
  readonly markSettleMs: number;
}

/** Starts and advances operations on VMs. */
export class VmManager {
  readonly #options: VmManagerOptions;
  /** When this steward first observed each operation in its phase, by operation id and phase. */
  readonly #phaseFirstSeenAtMs = new Map<string, number>();

  constructor(options: VmManagerOptions) {
    this.#options = options;
  }

  /** Takes the next step of each operation in the pools that this steward is assigned. */
  async step(round: Round): Promise<void> {
    const { state } = this.#options;
    const active = [...state.vms.values()].filter((record) => record.operation !== undefined);
    this.#pruneObservedPhases(active);
    for (const { vm } of active.filter((record) => round.isAssigned(record.pool))) {
      const record = state.vms.get(vm);
      if (record?.operation !== undefined) {
        await this.#stepOperation(record, record.operation, round);
      }
    }
  }

  /**
   * Starts an operation and returns its id; an `OperationRefusedError` gives the reason if it
   * can't.
   */
  start(request: policy.fleet.vmTransitions.OperationRequest, round: Round): Outcome<string> {
    const { state, clock, decisions } = this.#options;
    const record = state.vms.get(request.vm);
    const refusal = this.#refusalReason(request, round);
    if (record === undefined || refusal !== undefined) {
      const reason = refusal ?? `VM ${request.vm} is not known`;
      decisions.add("Operation refused", [request.vm], { kind: request.kind, reason });
      return errAsync(new OperationRefusedError(reason));
    }
    const context = {
      record,
      pool: state.pool(record.pool),
      draining: state.draining,
      wallMs: clock.wallMs(),
    };
    const change = policy.fleet.vmTransitions.start(context, request);
    const unchangedWaves = request.wave === undefined ? [] : [request.wave.name];
    return state.commit({ ...change, unchangedWaves }).andThen((written) => {
      const operationId = change.vms[0]?.operation?.operationId ?? "";
      if (!written) {
        return errAsync(new schema.errors.ConflictError("Another steward changed a record first"));
      }
      const { kind, reason, toPool } = request;
      const subjects = [record.vm, record.pool, ...unchangedWaves];
      decisions.add("Operation started", subjects, { operationId, kind, reason, toPool });
      return okAsync(operationId);
    });
  }

  /**
   * Restarts the settle time of draining marks. Called after a store outage: entries may have lost
   * the store as well, so they get the whole time again to take the marks over.
   */
  restartSettleTimes(): void {
    this.#phaseFirstSeenAtMs.clear();
  }

  /** Ends an operator's drain of a VM; false after a conflict with another steward. */
  release(vm: string): Outcome<boolean> {
    const { state } = this.#options;
    const record = state.vms.get(vm);
    if (record?.operation?.kind !== "drain") {
      return errAsync(new OperationRefusedError(`VM ${vm} is not being drained by an operator`));
    }
    return state.commit(policy.fleet.vmTransitions.release({ record }));
  }

  /** Checks whether the budget of the VM's pool allows taking the VM out of service now. */
  checkBudget(record: schema.fleet.VmRecord, round: Round): policy.fleet.budgets.BudgetDecision {
    return this.#checkPoolBudget(record.pool, record, round);
  }

  /** The VMs that count against a pool's budget: those that hold a token, and possible losses. */
  unavailableVms(pool: string, round: Round): readonly policy.fleet.budgets.VmLocation[] {
    const { state } = this.#options;
    const losses = state.vmsOfPool(pool).filter((record) =>
      policy.fleet.losses.mayBeUnavailable(record, round.listedVms.get(record.vm))
    );
    return policy.fleet.budgets.unavailableVms(state.pool(pool).tokens, losses);
  }

  #checkPoolBudget(
    pool: string,
    candidate: schema.fleet.VmRecord,
    round: Round,
  ): policy.fleet.budgets.BudgetDecision {
    const limits = policy.fleet.budgets.limitsOfPool(round.config, pool);
    const unavailable = this.unavailableVms(pool, round);
    return policy.fleet.budgets.checkBudget(limits, { candidate, unavailable });
  }

  #refusalReason(
    request: policy.fleet.vmTransitions.OperationRequest,
    round: Round,
  ): string | undefined {
    const { state, clock } = this.#options;
    const record = state.vms.get(request.vm);
    if (record === undefined) {
      return `VM ${request.vm} is not known`;
    }
    if (record.operation !== undefined) {
      return `Operation ${record.operation.operationId} is in progress`;
    }
    if (request.toPool !== undefined && round.config.pools[request.toPool] === undefined) {
      return `Pool ${request.toPool} does not exist`;
    }
    if (request.toPool === record.pool) {
      return `VM ${record.vm} belongs to pool ${record.pool} already`;
    }
    if (clock.nowMs() - round.listedAtMs > MAX_LIST_AGE_MS) {
      return "The list of VMs is too old";
    }
    const decision = this.checkBudget(record, round);
    return decision.allowed ? undefined : budgetRefusal(record.pool, decision);
  }

  async #stepOperation(
    record: schema.fleet.VmRecord,
    operation: schema.fleet.Operation,
    round: Round,
  ): Promise<void> {
    const { clock, decisions, markSettleMs } = this.#options;
    const step = policy.fleet.vmSteps.nextStep({
      operation,
      observed: round.listedVms.get(record.vm),
      wallMs: clock.wallMs(),
      observedPhaseMs: this.#observedPhaseMs(operation),
      markSettleMs,
    });
    const result = await this.#execute(step, { record, operation, round });
    const { operationId, kind } = operation;
    const subjects = [record.vm, record.pool, ...(operation.wave ? [operation.wave.name] : [])];
    const outcome = result.match((text) => text, (error) => error.message);
    decisions.add("VM step", subjects, { operationId, kind, step: step.kind, outcome });
  }

  /** Executes a step and returns a text about its outcome for the decision log. */
  async #execute(
    step: Step,
    { record, operation, round }: {
      record: schema.fleet.VmRecord;
      operation: schema.fleet.Operation;
      round: Round;
    },
  ): Promise<Result<string, schema.errors.JackdawlinkError>> {
    const { state, platform, clock } = this.#options;
    const { vm } = record;
    const { operationId } = operation;
    const transitions = policy.fleet.vmTransitions;
    const context = {
      record,
      pool: state.pool(record.pool),
      draining: state.draining,
      wallMs: clock.wallMs(),
    };
    const handlers: {
      readonly [TKind in Step["kind"]]: (
        step: Extract<Step, { kind: TKind }>,
      ) => Outcome<string>;
    } = {
      wait: ({ reason }) => okAsync(reason),
      advance: ({ phase }) => this.#commit(transitions.advance(context, phase), phase),
      fail: ({ reason }) => this.#commit(transitions.fail(context, reason), reason),
      drain: () => platform.drainVm(vm, operationId).map(() => "asked"),
      reboot: () => platform.rebootVm(vm, operationId).map(() => "asked"),
      return: () => platform.returnVm(vm, operationId).map(() => "asked"),
      swap: ({ toPool }) => this.#swapPool(context, { toPool, round }),
      finish: () => this.#commit(transitions.finish(context), operation.failure ?? "done"),
    };
    const handler = handlers[step.kind] as (step: Step) => Outcome<string>;
    return await handler(step);
  }

  /**
   * Moves the VM if the new pool's budget allows it, as the VM counts as unavailable until it is
   * live.
   */
  #swapPool(
    context: policy.fleet.vmTransitions.VmContext,
    { toPool, round }: { toPool: string; round: Round },
  ): Outcome<string> {
    const decision = this.#checkPoolBudget(toPool, context.record, round);
    if (!decision.allowed) {
      return okAsync(budgetRefusal(toPool, decision));
    }
    const target = this.#options.state.pool(toPool);
    return this.#commit(policy.fleet.vmTransitions.swap(context, target), `moved to ${toPool}`);
  }

  #commit(change: policy.fleet.vmTransitions.FleetChange, outcome: string): Outcome<string> {
    return this.#options.state.commit(change).map((written) =>
      written ? outcome : "another steward changed a record first"
    );
  }

  /** How long this steward has observed the operation in its current phase. */
  #observedPhaseMs({ operationId, phase }: schema.fleet.Operation): number {
    const key = `${operationId}/${phase}`;
    const nowMs = this.#options.clock.steadyMs();
    const firstSeenAtMs = this.#phaseFirstSeenAtMs.get(key) ?? nowMs;
    this.#phaseFirstSeenAtMs.set(key, firstSeenAtMs);
    return nowMs - firstSeenAtMs;
  }

  #pruneObservedPhases(active: readonly schema.fleet.VmRecord[]): void {
    const keys = new Set(
      active.map(({ operation }) => `${operation?.operationId}/${operation?.phase}`),
    );
    for (const key of this.#phaseFirstSeenAtMs.keys()) {
      if (!keys.has(key)) {
        this.#phaseFirstSeenAtMs.delete(key);
      }
    }
  }
}

/** The reason of a refusal, with the budget that is used up. */
function budgetRefusal(
  pool: string,
  { limit, used, max }: { limit: string; used: number; max: number },
): string {
  return `The availability budget of pool ${pool} is used up for the ${limit}: ${used} of ${max}`;
}
