/**
 * Tells when a new owner knows of all runs that its predecessor may have started: once each worker on
 * which the predecessor can have started a run has reported, or is gone. Workers that started later
 * are not waited for, or a fleet whose VMs come and go all the time would be waited for in vain.
 *
 * @module
 */
import type * as schema from "@jackdawlink/schema";

/** A VM that moves between two pages while they are read is missing from a single list only. */
export const MAX_MISSED_LISTS = 1;

export interface TakeoverCensusOptions {
  /** From when on the previous owner has given no orders, on the local clock. */
  readonly previousOwnerEndsAtMs: number;
}

/** The workers whose reports a takeover waits for. */
export class TakeoverCensus {
  readonly #options: TakeoverCensusOptions;
  readonly #outstanding = new Map<string, { readonly vm: string; missedListCount: number }>();
  readonly #listedVms = new Set<string>();
  #listCount = 0;

  constructor(options: TakeoverCensusOptions) {
    this.#options = options;
  }

  /**
   * Adds a list of VMs that was requested at `askedAtMs`. A VM that is listed for the first time may
   * run a worker of the previous owner's time; one that an earlier list had as down or moving does
   * not.
   */
  recordList(
    listed: readonly schema.scheduling.ListedVm[],
    { askedAtMs, hasReported }: {
      readonly askedAtMs: number;
      readonly hasReported: (workerId: string) => boolean;
    },
  ): void {
    if (askedAtMs < this.#options.previousOwnerEndsAtMs) {
      return;
    }
    const alive = aliveWorkerIds(listed);
    this.#removeGone(alive, new Set(listed.map(({ vm }) => vm)));
    this.#listCount++;
    for (const { vm, workerId } of listed) {
      const isFirstSeen = !this.#listedVms.has(vm);
      this.#listedVms.add(vm);
      if (
        isFirstSeen && this.#listCount <= 1 + MAX_MISSED_LISTS && workerId !== undefined &&
        alive.has(workerId) && !hasReported(workerId)
      ) {
        this.#outstanding.set(workerId, { vm, missedListCount: 0 });
      }
    }
  }

  recordReport(workerId: string): void {
    this.#outstanding.delete(workerId);
  }

  get isComplete(): boolean {
    return this.#listCount > MAX_MISSED_LISTS && this.#outstanding.size === 0;
  }

  #removeGone(alive: ReadonlySet<string>, listedVms: ReadonlySet<string>): void {
    for (const [workerId, awaited] of this.#outstanding) {
      awaited.missedListCount = listedVms.has(awaited.vm) ? 0 : awaited.missedListCount + 1;
      const isListed = awaited.missedListCount === 0;
      if (!alive.has(workerId) && (isListed || awaited.missedListCount > MAX_MISSED_LISTS)) {
        this.#outstanding.delete(workerId);
      }
    }
  }
}

/** The workers on VMs that are up. */
export function aliveWorkerIds(listed: readonly schema.scheduling.ListedVm[]): Set<string> {
  return new Set(
    listed.flatMap(({ state, workerId }) => state === "up" && workerId ? [workerId] : []),
  );
}
