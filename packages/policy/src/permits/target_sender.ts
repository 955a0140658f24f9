/**
 * Which entries have to be told their targets again.
 *
 * @module
 */
import type * as targets from "../sharing/targets.ts";

/** Targets are sent again after this time, in case they were lost. */
const TARGET_REFRESH_MS = 1_000;

interface SentTargets {
  readonly teams: ReadonlyMap<string, number>;
  readonly atMs: number;
  /** Whether the entry has told its demand since. */
  hasReportedSince: boolean;
}

/** Remembers the targets that each incarnation was sent last. */
export class TargetSender {
  readonly #sent = new Map<string, SentTargets>();

  /** Notes that an entry has told its demand. */
  recordDemandReport(incarnation: string): void {
    const sent = this.#sent.get(incarnation);
    if (sent !== undefined) sent.hasReportedSince = true;
  }

  /** Forgets an incarnation that is no longer listed. */
  forget(incarnation: string): void {
    this.#sent.delete(incarnation);
  }

  /** Targets that changed, or that were sent long ago to an entry that has told its demand since. */
  due(planned: targets.Targets, nowMs: number): targets.Targets {
    const due: targets.Targets = new Map();
    for (const [incarnation, teams] of planned) {
      const sent = this.#sent.get(incarnation);
      const isOld = sent === undefined ||
        (sent.hasReportedSince && nowMs - sent.atMs >= TARGET_REFRESH_MS);
      if (!isOld && isSameCount(sent.teams, teams)) continue;
      due.set(incarnation, teams);
      this.#sent.set(incarnation, { teams, atMs: nowMs, hasReportedSince: false });
    }
    return due;
  }
}

function isSameCount(a: ReadonlyMap<string, number>, b: ReadonlyMap<string, number>): boolean {
  if (a.size !== b.size) return false;
  for (const [key, count] of a) if (b.get(key) !== count) return false;
  return true;
}
