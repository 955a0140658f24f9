/**
 * Permits: concurrency tokens. Each running request holds one permit, which counts against the
 * limit of its team and the slots of its backend server.
 *
 * @module
 */

/** A request for a permit. Backend servers are listed in order of preference. */
export interface PermitRequest {
  readonly team: string;
  readonly service: string;
  readonly backendServers: readonly string[];
}

/** A permit for one running request. It must be released exactly once. */
export interface Permit {
  readonly team: string;
  readonly service: string;
  readonly backendServer: string;
}

/** The running and waiting requests of a team for a service in this entry. */
export interface TeamDemand {
  readonly service: string;
  readonly team: string;
  readonly running: number;
  readonly waiting: number;
  readonly urgentWaiting: number;
}

/** Grants permits within one entry. All calls are synchronous. */
export interface Permits {
  /** Atomically takes a permit of the team and a slot; null if either is unavailable. */
  take(request: PermitRequest): Permit | null;
  /** Returns a permit. */
  release(permit: Permit): void;
  /** The number of the team's requests that this entry should run; null while it is unknown. */
  targetOf(service: string, team: string): number | null;
  /** Sets the function that supplies the current demand for reports. */
  setDemandSource(source: () => readonly TeamDemand[]): void;
  /** Schedules a report of the changed demand; reports are coalesced. */
  demandChanged(): void;
  /** Calls `callback` when permits or targets have been received. */
  onGranted(callback: () => void): void;
}
