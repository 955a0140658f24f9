/**
 * The order in which the backend servers of a service are tried for one request.
 *
 * @module
 */
import type { Health } from "./outlier_detector.ts";

/** A backend server as the choice sees it. */
export interface Candidate {
  readonly backendServer: string;
  readonly availabilityZone: string;
  readonly slots: number;
  /** Requests of this entry that it runs now. */
  readonly running: number;
  readonly draining: boolean;
  /** Whether it has told that it is leaving. */
  readonly isCoolingDown: boolean;
  readonly health: Health;
  /** Below 1 while it returns after an ejection. */
  readonly weight: number;
}

/** What the choice is made for. */
export interface RoutingContext {
  readonly availabilityZone: string;
  /** A request that may not be repeated goes to a probed backend server only after all others. */
  readonly repeatable: boolean;
  /** Backend servers where this request has failed. */
  readonly tried: ReadonlySet<string>;
  /** A number in [0, 1) for each candidate; decides between equals. */
  readonly tieBreak: (backendServer: string) => number;
}

/**
 * Returns the names in order of preference: a backend server that is due for a probe first, then the
 * same availability zone, then the least loaded. Draining, leaving and ejected ones are left out. A
 * returning one is left out while it runs as much as its weight allows.
 */
export function orderBackendServers(
  candidates: readonly Candidate[],
  question: RoutingContext,
): readonly string[] {
  const usable = candidates.filter((candidate) =>
    isUsable(candidate) && !question.tried.has(candidate.backendServer)
  );
  const ranked = usable.map((candidate) => ({
    candidate,
    rank: rankOf(candidate, question),
  }));
  ranked.sort((a, b) => compareRanks(a.rank, b.rank));
  return ranked.map(({ candidate }) => candidate.backendServer);
}

function isUsable(candidate: Candidate): boolean {
  if (candidate.draining || candidate.isCoolingDown) return false;
  const handlers: Record<Health, () => boolean> = {
    healthy: () => candidate.weight >= 1 || candidate.running < slowStartBound(candidate),
    probing: () => candidate.running === 0,
    ejected: () => false,
  };
  return handlers[candidate.health]();
}

function slowStartBound(candidate: Candidate): number {
  return Math.max(1, Math.ceil(candidate.slots * candidate.weight));
}

function rankOf(candidate: Candidate, question: RoutingContext): readonly number[] {
  return [
    probeRank(candidate, question),
    candidate.availabilityZone === question.availabilityZone ? 0 : 1,
    candidate.running / (candidate.slots * candidate.weight),
    question.tieBreak(candidate.backendServer),
  ];
}

function probeRank(candidate: Candidate, question: RoutingContext): number {
  if (candidate.health !== "probing") return 1;
  return question.repeatable ? 0 : 2;
}

function compareRanks(a: readonly number[], b: readonly number[]): number {
  const index = a.findIndex((value, position) => value !== b[position]);
  return index < 0 ? 0 : a[index]! - b[index]!;
}
