/**
 * Remembers which incarnations of workers are over. The platform removes the registration of a
 * worker several seconds after its process has ended; until then it must not count as a worker.
 *
 * @module
 */
import type * as schema from "@jackdawlink/schema";

type WorkerInfo = schema.scheduling.WorkerInfo;

interface EndedIncarnation {
  readonly endedAtMs: number;
  /** Whether a later incarnation has been seen, so that this one cannot be alive. */
  readonly isReplaced: boolean;
}

/** The incarnations of each worker id that are known to be over, as long as the id is registered. */
export class EndedIncarnations {
  /** By worker id and start time. */
  readonly #ended = new Map<string, Map<number, EndedIncarnation>>();

  record({ workerId, startedUnixMs }: WorkerInfo, ended: EndedIncarnation): void {
    const incarnations = this.#ended.get(workerId) ?? new Map<number, EndedIncarnation>();
    this.#ended.set(workerId, incarnations);
    incarnations.set(startedUnixMs, ended);
  }

  has({ workerId, startedUnixMs }: WorkerInfo): boolean {
    return this.#ended.get(workerId)?.has(startedUnixMs) ?? false;
  }

  /** Records that a list of VMs, requested at `askedAtMs`, names the worker as running. */
  recordAlive(workerId: string, askedAtMs: number): void {
    const incarnations = this.#ended.get(workerId);
    for (const [startedUnixMs, { endedAtMs, isReplaced }] of incarnations ?? []) {
      if (endedAtMs < askedAtMs && !isReplaced) {
        incarnations!.delete(startedUnixMs);
      }
    }
  }

  /** Records that the registration has been removed, so that nothing can be mistaken for it. */
  recordUnlisted(workerId: string): void {
    this.#ended.delete(workerId);
  }
}
