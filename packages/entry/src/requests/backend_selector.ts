/**
 * Selects backend servers for the requests of one service, based on the results of the attempts
 * that this entry has made.
 *
 * @module
 */
import type * as ports from "@jackdawlink/ports";
import { requests as policy } from "@jackdawlink/policy";
import type * as backendAttempt from "./backend_attempt.ts";
import type * as requestIndex from "./request_index.ts";
import type * as requestJob from "./request_job.ts";

const NO_TRIED_SERVERS: ReadonlySet<string> = new Set();

/** How the end of an attempt changed the state of its backend server. */
export interface AttemptEffect {
  /** Whether the failure ejected the backend server as an outlier. */
  readonly ejected: boolean;
  /** The cooldown of a backend server that shuts down or is unreachable; null if none started. */
  readonly leavingForMs: number | null;
}

/** Inputs of {@link BackendSelector}. */
export interface BackendSelectorOptions {
  readonly availabilityZone: string;
  readonly clock: ports.clock.Clock;
  readonly backendServers: () => readonly requestIndex.NamedBackendServer[];
  readonly runningAt: (backendServer: string) => number;
  /** A number in [0, 1) from the entry's seeded generator. */
  readonly random: () => number;
}

/**
 * Orders of backend servers by whether the request is repeatable; valid for one round of starts.
 */
export type OrderCache = Map<boolean, readonly string[]>;

/** Tracks the health and the cooldowns of the backend servers of one service and orders them. */
export class BackendSelector {
  readonly #options: BackendSelectorOptions;
  readonly #outliers = new policy.outlierDetector.OutlierDetector();
  readonly #cooldowns = new policy.serverCooldowns.ServerCooldowns();

  constructor(options: BackendSelectorOptions) {
    this.#options = options;
  }

  /**
   * Returns the backend servers for a request, in order of preference. Excludes those on which the
   * request has failed, unless no others are usable. The order for requests without a failed
   * attempt is computed once per round.
   */
  orderFor(job: requestJob.RequestJob, orders: OrderCache): readonly string[] {
    const { repeatable } = job.request;
    if (job.tried.size > 0) {
      const untried = this.#order({ repeatable, tried: job.tried });
      if (untried.length > 0) return untried;
    }
    let order = orders.get(repeatable);
    if (order === undefined) {
      order = this.#order({ repeatable, tried: NO_TRIED_SERVERS });
      orders.set(repeatable, order);
    }
    return order;
  }

  /** Updates outlier detection and cooldowns; ignores attempts that were refused before sending. */
  recordAttempt(backendServer: string, end: backendAttempt.AttemptEnd): AttemptEffect {
    if (end.refusal !== null) return { ejected: false, leavingForMs: null };
    const nowMs = this.#options.clock.nowMs();
    const leavingForMs = cooldownMs(end);
    if (leavingForMs !== null) {
      this.#cooldowns.start(backendServer, { nowMs, durationMs: leavingForMs });
    } else if (end.result === "whole") this.#cooldowns.recordAnswer(backendServer, nowMs);
    if (end.result === "whole" || end.result === "refused") {
      this.#outliers.recordSuccess(backendServer, nowMs);
      return { ejected: false, leavingForMs };
    }
    const serviceSize = this.#options.backendServers().length;
    const ejected = this.#outliers.recordFailure(backendServer, { nowMs, serviceSize });
    return { ejected, leavingForMs };
  }

  /** Drops the state of backend servers that the configuration no longer contains. */
  onConfigChange(): void {
    const names = new Set(this.#options.backendServers().map(({ name }) => name));
    this.#outliers.retain(names);
    this.#cooldowns.retain(names);
  }

  #order(
    { repeatable, tried }: { repeatable: boolean; tried: ReadonlySet<string> },
  ): readonly string[] {
    return policy.routing.orderBackendServers(this.#candidates(), {
      availabilityZone: this.#options.availabilityZone,
      repeatable,
      tried,
      tieBreak: () => this.#options.random(),
    });
  }

  #candidates(): readonly policy.routing.Candidate[] {
    const nowMs = this.#options.clock.nowMs();
    return this.#options.backendServers().map((backendServer) => ({
      backendServer: backendServer.name,
      availabilityZone: backendServer.availabilityZone,
      slots: backendServer.slots,
      running: this.#options.runningAt(backendServer.name),
      draining: backendServer.draining,
      isCoolingDown: this.#cooldowns.isCoolingDown(backendServer.name, nowMs),
      health: this.#outliers.health(backendServer.name, nowMs),
      weight: this.#outliers.weight(backendServer.name, nowMs),
    }));
  }
}

/** The cooldown that follows an attempt; null if the attempt gives no reason for one. */
function cooldownMs(end: backendAttempt.AttemptEnd): number | null {
  if (end.announcedClose || end.result === "refused") {
    return policy.serverCooldowns.SHUTDOWN_COOLDOWN_MS;
  }
  return end.result === "notSent" ? policy.serverCooldowns.UNREACHABLE_COOLDOWN_MS : null;
}
