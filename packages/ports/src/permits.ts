/**
 * Permits: the right to have one request running, against a team's limit and a backend server's slots.
 *
 * @module
 */

/** What a request asks for. Backend servers come in order of preference. */
export interface PermitRequest {
  readonly team: string;
  readonly service: string;
  readonly backendServers: readonly string[];
}

/** A held permit for one running request; it must be released exactly once. */
export interface Permit {
  readonly team: string;
  readonly service: string;
  readonly backendServer: string;
}

/** The running and waiting requests of one team at one service in this entry. */
export interface TeamDemand {
  readonly service: string;
  readonly team: string;
  readonly running: number;
  readonly waiting: number;
  readonly urgentWaiting: number;
}

/** Hands out permits inside one entry. All calls are synchronous. */
export interface Permits {
  /** Takes one of the team's permits and one slot, both or neither; null where either is missing. */
  take(request: PermitRequest): Permit | null;
  release(permit: Permit): void;
  /** How many of the team's requests this entry should run; null while no target is known. */
  targetOf(service: string, team: string): number | null;
  /** Where the demand is read from when it is reported. */
  setDemandSource(source: () => readonly TeamDemand[]): void;
  /** Tells that the demand has changed; reports are coalesced. */
  demandChanged(): void;
  /** Calls back when permits or targets have arrived. */
  onGranted(callback: () => void): void;
}
