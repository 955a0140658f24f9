/**
 * Maintenance waves, and VMs that move between pools.
 *
 * @module
 */
import type * as policy from "@jackdawlink/policy";
import type * as ports from "@jackdawlink/ports";
import type * as schema from "@jackdawlink/schema";

export interface VmManagerOptions {
  readonly scheduler: policy.scheduling.scheduler.Scheduler;
  readonly vms: ports.scheduling.VmClient;
  readonly store: ports.scheduling.SchedulingStore;
  readonly documents: ports.scheduling.Documents;
  readonly clock: ports.clock.Clock;
  readonly log: ports.log.Log;
  readonly holder: ports.scheduling.VmOrderHolder;
  readonly startedAtMs: number;
  readonly hadOwner: boolean;
  readonly mayOrder: () => boolean;
  readonly onFenced: () => void;
  readonly onChange: () => void;
}

/** To be filled in by the next change. */
export class VmManager {
  readonly #options: VmManagerOptions;
  constructor(options: VmManagerOptions) {
    this.#options = options;
  }
  setConfig(_config: schema.scheduling.SchedulingConfig): void {}
  run(_config: schema.scheduling.SchedulingConfig): Promise<void> {
    return Promise.resolve();
  }
  stop(): void {}
}
