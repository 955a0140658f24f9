/**
 * Counts the permits in use by one service, by team and by backend server.
 *
 * @module
 */
import type * as ports from "@jackdawlink/ports";

/** Counts permits in use; a permit is in use until its run is certainly over. */
export class RunningCounts {
  readonly #byTeam = new Map<string, number>();
  readonly #byBackendServer = new Map<string, number>();
  #total = 0;

  get total(): number {
    return this.#total;
  }

  add(permit: ports.permits.Permit): void {
    this.#change(permit, 1);
  }

  remove(permit: ports.permits.Permit): void {
    this.#change(permit, -1);
  }

  ofTeam(team: string): number {
    return this.#byTeam.get(team) ?? 0;
  }

  ofBackendServer(backendServer: string): number {
    return this.#byBackendServer.get(backendServer) ?? 0;
  }

  /** The teams with permits in use. */
  teams(): readonly string[] {
    return [...this.#byTeam.keys()];
  }

  #change({ team, backendServer }: ports.permits.Permit, difference: number): void {
    this.#total += difference;
    changeCount(this.#byTeam, { name: team, difference });
    changeCount(this.#byBackendServer, { name: backendServer, difference });
  }
}

function changeCount(
  counts: Map<string, number>,
  { name, difference }: { name: string; difference: number },
): void {
  const count = (counts.get(name) ?? 0) + difference;
  if (count === 0) counts.delete(name);
  else counts.set(name, count);
}
