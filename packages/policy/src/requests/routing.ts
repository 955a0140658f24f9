/**
 * The order in which the backend servers of a service are tried for a request.
 *
 * @module
 */
import type { Health } from "./outlier_detector.ts";

/** A backend server with the state that routing depends on. */
export interface Candidate {
  readonly backendServer: string;
  readonly availabilityZone: string;
  readonly slots: number;
  /** Requests of this entry that run on it now. */
  readonly running: number;
  readonly draining: boolean;
  /** Whether it recently announced its shutdown or could not be reached. */
  readonly isCoolingDown: boolean;
  readonly health: Health;
  /** Below 1 during the slow start after an ejection. */
  readonly weight: number;
}

/** The request-side inputs of routing. */
export interface RoutingContext {
  readonly availabilityZone: string;
  /** A request that is not repeatable goes to a probed backend server only as the last choice. */
  readonly repeatable: boolean;
  /** Backend servers on which this request has failed. */
  readonly tried: ReadonlySet<string>;
  /** A number in [0, 1) for each candidate that breaks ties. */
  readonly tieBreak: (backendServer: string) => number;
}

/**
 * Returns the names of the usable backend servers in order of preference: probes first (or last, if
 * the request is not repeatable), then the same availability zone, then the lowest load. Excludes
 * backend servers that are draining, cooling down or ejected, and those in slow start that already
 * run as many requests as their weight allows.
 */
export function orderBackendServers(
  candidates: readonly Candidate[],
  context: RoutingContext,
): readonly string[] {
  const usable = candidates.filter((candidate) =>
    isUsable(candidate) && !context.tried.has(candidate.backendServer)
  );
  const ranked = usable.map((candidate) => ({
    candidate,
    rank: rankOf(candidate, context),
  }));
  ranked.sort((a, b) => compareRanks(a.rank, b.rank));
  return ranked.map(({ candidate }) => candidate.backendServer);
}

function isUsable(candidate: Candidate): boolean {
  if (candidate.draining || candidate.isCoolingDown) return false;
  const handlers: Record<Health, () => boolean> = {
    healthy: () => candidate.weight >= 1 || candidate.running < slowStartLimit(candidate),
    probing: () => candidate.running === 0,
    ejected: () => false,
  };
  return handlers[candidate.health]();
}

function slowStartLimit(candidate: Candidate): number {
  return Math.max(1, Math.ceil(candidate.slots * candidate.weight));
}

function rankOf(candidate: Candidate, context: RoutingContext): readonly number[] {
  return [
    probeRank(candidate, context),
    candidate.availabilityZone === context.availabilityZone ? 0 : 1,
    candidate.running / (candidate.slots * candidate.weight),
    context.tieBreak(candidate.backendServer),
  ];
}

function probeRank(candidate: Candidate, context: RoutingContext): number {
  if (candidate.health !== "probing") return 1;
  return context.repeatable ? 0 : 2;
}

function compareRanks(a: readonly number[], b: readonly number[]): number {
  const index = a.findIndex((value, position) => value !== b[position]);
  return index < 0 ? 0 : a[index]! - b[index]!;
}
