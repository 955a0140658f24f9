/**
 * Selects the entries to which a coordinator sends their targets again.
 *
 * @module
 */
import type * as targets from "../sharing/targets.ts";

/** The time after which unchanged targets are sent again, in case the message was lost. */
const TARGET_REFRESH_MS = 1_000;

interface SentTargets {
  readonly teams: ReadonlyMap<string, number>;
  readonly atMs: number;
  /** Whether the entry has reported its demand since. */
  hasReportedSince: boolean;
}

/** Keeps the targets that were last sent to each incarnation. */
export class TargetSender {
  readonly #sent = new Map<string, SentTargets>();

  /** Records that an entry has reported its demand. */
  recordDemandReport(incarnation: string): void {
    const sent = this.#sent.get(incarnation);
    if (sent !== undefined) sent.hasReportedSince = true;
  }

  /** Removes an incarnation that is no longer listed. */
  forget(incarnation: string): void {
    this.#sent.delete(incarnation);
  }

  /**
   * Returns the targets to send now and records them as sent: those that changed, and those sent
   * more than the refresh time ago to an entry that has reported its demand since.
   */
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
