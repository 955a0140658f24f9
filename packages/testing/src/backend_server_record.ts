/**
 * The record of what a stand-in backend server ran. Tests compare it with the answers that callers
 * received.
 *
 * @module
 */

/** How a run ended: `whole` means that the work was completed and the whole answer was written. */
export type RunEnd = "running" | "whole" | "aborted" | "overDeadline" | "fault";

/** One run of a request. Times are milliseconds since the Unix epoch. */
export interface Run {
  readonly requestId: string;
  readonly team: string;
  readonly idempotencyKey: string | null;
  readonly attempt: number;
  readonly method: string;
  readonly path: string;
  readonly bodySha256: string;
  readonly connection: number;
  readonly startedAtMs: number;
  endedAtMs: number | null;
  end: RunEnd;
}

/** The whole record, as `GET /control/record` returns it. */
export interface BackendServerRecord {
  readonly name: string;
  readonly slots: number;
  readonly runs: readonly Run[];
  readonly running: number;
  readonly maxRunning: number;
  readonly runningByTeam: Readonly<Record<string, number>>;
  readonly maxRunningByTeam: Readonly<Record<string, number>>;
  readonly connections: number;
  readonly maxConnections: number;
  /** How often a connection carried a second request before the first had ended. */
  readonly overlappingOnConnection: number;
}

/** Collects the record of one stand-in backend server. */
export class BackendServerRecorder {
  readonly #name: string;
  readonly #slots: number;
  readonly #runs: Run[] = [];
  readonly #runningByTeam = new Map<string, number>();
  readonly #maxRunningByTeam = new Map<string, number>();
  readonly #busyConnections = new Set<number>();
  #running = 0;
  #maxRunning = 0;
  #connections = 0;
  #maxConnections = 0;
  #overlappingOnConnection = 0;

  constructor({ name, slots }: { name: string; slots: number }) {
    this.#name = name;
    this.#slots = slots;
  }

  recordConnectionOpened(): void {
    this.#connections += 1;
    this.#maxConnections = Math.max(this.#maxConnections, this.#connections);
  }

  recordConnectionClosed(): void {
    this.#connections -= 1;
  }

  /** Records the start of a run. */
  recordStart(run: Run): void {
    this.#runs.push(run);
    this.#running += 1;
    this.#maxRunning = Math.max(this.#maxRunning, this.#running);
    const ofTeam = (this.#runningByTeam.get(run.team) ?? 0) + 1;
    this.#runningByTeam.set(run.team, ofTeam);
    const maxOfTeam = this.#maxRunningByTeam.get(run.team) ?? 0;
    this.#maxRunningByTeam.set(run.team, Math.max(maxOfTeam, ofTeam));
    if (this.#busyConnections.has(run.connection)) this.#overlappingOnConnection += 1;
    this.#busyConnections.add(run.connection);
  }

  /** Records the end of a run; only the first end counts. */
  recordEnd(run: Run, end: RunEnd): void {
    if (run.end !== "running") return;
    run.end = end;
    run.endedAtMs = Date.now();
    this.#running -= 1;
    this.#runningByTeam.set(run.team, (this.#runningByTeam.get(run.team) ?? 1) - 1);
    this.#busyConnections.delete(run.connection);
  }

  running(): number {
    return this.#running;
  }

  record(): BackendServerRecord {
    return {
      name: this.#name,
      slots: this.#slots,
      runs: this.#runs,
      running: this.#running,
      maxRunning: this.#maxRunning,
      runningByTeam: Object.fromEntries(this.#runningByTeam),
      maxRunningByTeam: Object.fromEntries(this.#maxRunningByTeam),
      connections: this.#connections,
      maxConnections: this.#maxConnections,
      overlappingOnConnection: this.#overlappingOnConnection,
    };
  }

  /** Removes ended runs and resets the maxima to the current counts. */
  reset(): void {
    const running = this.#runs.filter((run) => run.end === "running");
    this.#runs.length = 0;
    this.#runs.push(...running);
    this.#maxRunning = this.#running;
    this.#maxConnections = this.#connections;
    this.#overlappingOnConnection = 0;
    this.#maxRunningByTeam.clear();
    for (const [team, count] of this.#runningByTeam) this.#maxRunningByTeam.set(team, count);
  }
}
