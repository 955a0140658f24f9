/**
 * Remembers which incarnations of workers are over. The platform removes the registration of a
 * worker several seconds after its process has ended; until then it must not count as a worker.
 *
 * @module
 */
import type * as schema from "@jackdawlink/schema";

type WorkerInfo = schema.scheduling.WorkerInfo;

interface EndedIncarnation {
  readonly startedUnixMs: number;
  readonly endedAtMs: number;
}

/** The last incarnation of each worker id that is known to be over. */
export class EndedIncarnations {
  readonly #ended = new Map<string, EndedIncarnation>();

  record({ workerId, startedUnixMs }: WorkerInfo, nowMs: number): void {
    this.#ended.set(workerId, { startedUnixMs, endedAtMs: nowMs });
  }

  has({ workerId, startedUnixMs }: WorkerInfo): boolean {
    return this.#ended.get(workerId)?.startedUnixMs === startedUnixMs;
  }

  /** Records that a list of VMs, requested at `askedAtMs`, names the worker as running. */
  recordAlive(workerId: string, askedAtMs: number): void {
    const ended = this.#ended.get(workerId);
    if (ended !== undefined && ended.endedAtMs < askedAtMs) {
      this.#ended.delete(workerId);
    }
  }

  /** Records that the registration has been removed, so that nothing can be mistaken for it. */
  recordUnlisted(workerId: string): void {
    this.#ended.delete(workerId);
  }
}
