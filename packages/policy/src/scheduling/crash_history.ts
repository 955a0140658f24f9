/**
 * The crashes of workers on which one task was at work.
 *
 * @module
 */

/** The crashes in which a task was at work. */
export class CrashHistory {
  count = 0;
  storedCount = 0;
  /** The VMs, one for each crash, on which no other job was at work and whose rack did not fail. */
  readonly aloneOn: string[] = [];
  /** All VMs that crashed while no other job was at work, with those whose rack failed. */
  readonly loneVms = new Set<string>();
  /** All VMs that crashed. */
  readonly vms = new Set<string>();
  lastCrashAtMs = Number.NEGATIVE_INFINITY;
  /** Whether the task was among those that had started last before its only crash. */
  isLikely = true;
  isAwaitingVerdict = false;
  /** Whether a previous owner counted the crashes; it may have missed one at its end. */
  isRestored = false;

  /** The history that a previous owner stored. */
  static restore(count: number, aloneOn: readonly string[]): CrashHistory {
    const history = new CrashHistory();
    history.count = count;
    history.storedCount = count;
    history.isRestored = true;
    history.aloneOn.push(...aloneOn);
    aloneOn.forEach((vm) => {
      history.vms.add(vm);
      history.loneVms.add(vm);
    });
    return history;
  }

  get hasUnstored(): boolean {
    return this.count > this.storedCount;
  }
}
