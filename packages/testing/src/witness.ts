/**
 * Checks that the answers callers received match what the backend servers ran.
 *
 * @module
 */
import type * as backendServerRecord from "./backend_server_record.ts";
import type * as caller from "./caller.ts";

/** One request with the answer that its caller received. */
export interface CompletedRequest {
  /** Unique text in the request's path that identifies its runs. */
  readonly marker: string;
  readonly team: string;
  readonly entryUrl: string;
  readonly isRepeatable: boolean;
  readonly sentAtMs: number;
  readonly answeredAtMs: number;
  readonly answer: caller.CallerAnswer;
}

/** The limits to check. */
export interface Bounds {
  /** The most requests each team may run at once, over all backend servers. */
  readonly maxRunningByTeam: Readonly<Record<string, number>>;
}

/** Description of a broken guarantee. */
export type Violation = string;

const STATUS_GATEWAY_TIMEOUT = 504;
/** Connections that each backend server of the tests allows, including control connections. */
const MAX_CONNECTIONS = 64;

type Run = backendServerRecord.Run;
type ServerRecord = backendServerRecord.BackendServerRecord;

/** Checks the records of all backend servers. */
export class Witness {
  readonly #records: readonly ServerRecord[];
  readonly #runs: readonly Run[];

  constructor(records: readonly ServerRecord[]) {
    this.#records = records;
    this.#runs = records.flatMap((record) => record.runs);
  }

  /** The number of runs. */
  get runCount(): number {
    return this.#runs.length;
  }

  /** The runs of the request with a marker. */
  runsOf(marker: string): readonly Run[] {
    return this.#runs.filter((run) => markerIn(run.path) === marker);
  }

  /** The maximum number of concurrent runs of a team, over all backend servers. */
  maxRunningOf(team: string): number {
    return maxOverlap(this.#runs.filter((run) => run.team === team));
  }

  /** All broken guarantees; empty if all hold. */
  violations(requests: readonly CompletedRequest[], bounds: Bounds): Violation[] {
    return [
      ...this.#violationsOfServers(),
      ...this.#violationsOfLimits(bounds),
      ...this.#violationsOfAnswers(requests),
    ];
  }

  #violationsOfServers(): Violation[] {
    return this.#records.flatMap(violationsOfServer);
  }

  #violationsOfLimits({ maxRunningByTeam }: Bounds): Violation[] {
    return Object.entries(maxRunningByTeam).flatMap(([team, limit]) => {
      const running = this.maxRunningOf(team);
      return running > limit
        ? [`team ${team} had ${running} running, over its limit ${limit}`]
        : [];
    });
  }

  #violationsOfAnswers(requests: readonly CompletedRequest[]): Violation[] {
    const runsByMarker = groupByMarker(this.#runs);
    return requests.flatMap((request) => {
      const runs = runsByMarker.get(request.marker) ?? [];
      return violationsOfRequest(request, runs);
    });
  }
}

function violationsOfServer(record: ServerRecord): Violation[] {
  const { name, slots, maxRunning, maxConnections, overlappingOnConnection } = record;
  const violations: Violation[] = [];
  if (maxRunning > slots) {
    violations.push(`${name} ran ${maxRunning} requests in ${slots} slots`);
  }
  if (maxConnections > MAX_CONNECTIONS) {
    violations.push(`${name} had ${maxConnections} connections of ${MAX_CONNECTIONS}`);
  }
  if (overlappingOnConnection > 0) {
    violations.push(`${name} had two requests on one connection`);
  }
  return violations;
}

function violationsOfRequest(request: CompletedRequest, runs: readonly Run[]): Violation[] {
  const { marker, answer, isRepeatable, team } = request;
  const violations: Violation[] = [];
  if (answer.outcome === "not-run" && runs.length > 0) {
    violations.push(`${marker} was told "not run" and ran ${runs.length} times`);
  }
  if (answer.outcome === "answered" && !runs.some(({ end }) => end === expectedEndOf(answer))) {
    const ends = runs.map((run) => run.end).join(", ");
    violations.push(`${marker} was answered ${answer.status} without a whole run (${ends})`);
  }
  if (answer.outcome === "answered" && !answer.body.includes(marker)) {
    violations.push(`${marker} got another request's answer`);
  }
  if (!isRepeatable && runs.length > 1) {
    violations.push(`${marker} may not be repeated and ran ${runs.length} times`);
  }
  if (runs.some((run) => run.team !== team)) {
    violations.push(`${marker} ran for another team`);
  }
  return violations;
}

/** A backend server answers 504 if it stopped the run at the request's deadline. */
function expectedEndOf(answer: caller.CallerAnswer): backendServerRecord.RunEnd {
  return answer.status === STATUS_GATEWAY_TIMEOUT ? "overDeadline" : "whole";
}

function groupByMarker(runs: readonly Run[]): Map<string, Run[]> {
  const groups = new Map<string, Run[]>();
  for (const run of runs) {
    const marker = markerIn(run.path);
    if (marker !== null) {
      groups.set(marker, [...(groups.get(marker) ?? []), run]);
    }
  }
  return groups;
}

/** The marker in the query of a path. */
function markerIn(path: string): string | null {
  return new URL(path, "http://backend-server").searchParams.get("marker");
}

/** The most concurrent runs. Ends sort before starts in the same millisecond. */
function maxOverlap(runs: readonly Run[]): number {
  const changes = runs.flatMap((run) => [
    { atMs: run.startedAtMs, change: 1 },
    { atMs: run.endedAtMs ?? Number.POSITIVE_INFINITY, change: -1 },
  ]);
  changes.sort((left, right) => left.atMs - right.atMs || left.change - right.change);
  let running = 0;
  let most = 0;
  for (const { change } of changes) {
    running += change;
    most = Math.max(most, running);
  }
  return most;
}
