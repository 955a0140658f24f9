/**
 * Adds records for new VMs and removes the records of VMs that no longer exist.
 *
 * @module
 */
import * as policy from "@jackdawlink/policy";
import type * as ports from "@jackdawlink/ports";
import type * as schema from "@jackdawlink/schema";
import type { DecisionLog } from "./decision_log.ts";
import type { FleetState } from "./fleet_state.ts";
import type { Round } from "./round.ts";

/** A VM that the platform has not listed for this long no longer exists. */
const RETIRE_AFTER_MS = 600_000;
const MAX_ADOPTIONS_PER_TRANSACTION = 50;

/** Dependencies of a `VmRegistry`. */
export interface VmRegistryOptions {
  readonly state: FleetState;
  readonly clock: ports.clock.Clock;
  readonly decisions: DecisionLog;
}

/** Adopts new VMs and retires missing ones. */
export class VmRegistry {
  readonly #options: VmRegistryOptions;
  /** When this steward first found each VM missing from the list. */
  readonly #missingSinceMs = new Map<string, number>();

  constructor(options: VmRegistryOptions) {
    this.#options = options;
  }

  /** Adopts and retires VMs of the pools that this steward is assigned. */
  async step(round: Round): Promise<void> {
    await this.#adopt(round);
    await this.#retire(round);
  }

  /** Adds records for listed VMs that have none. */
  async #adopt(round: Round): Promise<void> {
    const { state, decisions } = this.#options;
    const records = [...round.listedVms.values()]
      .filter(({ vm }) => !state.hasVm(vm))
      .flatMap((listed) => newRecord(listed, round))
      .slice(0, MAX_ADOPTIONS_PER_TRANSACTION);
    if (records.length === 0) {
      return;
    }
    const written = await state.commit({ vms: records });
    if (written.isErr() || !written.value) {
      return;
    }
    for (const { vm, pool, availabilityZone, rack } of records) {
      decisions.add("VM adopted", [vm, pool], { pool, availabilityZone, rack });
    }
  }

  /** Removes the records of missing VMs, which would count against their pools' budgets forever. */
  async #retire(round: Round): Promise<void> {
    const { state, clock, decisions } = this.#options;
    for (const record of [...state.vms.values()]) {
      if (!this.#isGone(record.vm, round) || !round.isAssigned(record.pool)) {
        continue;
      }
      const context = { record, pool: state.pool(record.pool), draining: state.draining };
      const written = await state.commit(policy.fleet.vmTransitions.retire(context));
      if (written.isOk() && written.value) {
        const missingMs = clock.steadyMs() - (this.#missingSinceMs.get(record.vm) ?? 0);
        decisions.add("VM retired", [record.vm, record.pool], { missingMs });
        this.#missingSinceMs.delete(record.vm);
      }
    }
  }

  #isGone(vm: string, round: Round): boolean {
    if (round.listedVms.has(vm)) {
      this.#missingSinceMs.delete(vm);
      return false;
    }
    const nowMs = this.#options.clock.steadyMs();
    const sinceMs = this.#missingSinceMs.get(vm) ?? nowMs;
    this.#missingSinceMs.set(vm, sinceMs);
    return nowMs - sinceMs > RETIRE_AFTER_MS;
  }
}

/** The record of a new VM; none if it has no pool or its pool is assigned to another steward. */
function newRecord(
  listed: ports.platform.ListedVm,
  round: Round,
): readonly schema.fleet.VmRecord[] {
  const { vm, availabilityZone, rack, operationId } = listed;
  const pool = initialPoolOf(vm, round.config);
  if (pool === undefined || !round.isAssigned(pool)) {
    return [];
  }
  const operationCount = policy.fleet.vmSteps.operationNumberOf(operationId);
  return [{ vm, pool, availabilityZone, rack, operationCount, waveResults: {}, history: [] }];
}

/** The pool of the service whose backend server is on the VM; otherwise the first spare pool. */
function initialPoolOf(vm: string, config: schema.config.Config): string | undefined {
  const server = Object.values(config.backendServers).find((each) => each.vm === vm);
  const service = server && config.services[server.service];
  const spare = Object.entries(config.pools).find(([, pool]) => pool.spare)?.[0];
  return service?.pool ?? spare;
}
