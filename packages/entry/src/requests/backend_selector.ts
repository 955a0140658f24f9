/**
 * What one entry has learnt of the backend servers of a service, and whom it therefore prefers.
 *
 * @module
 */
import type * as ports from "@jackdawlink/ports";
import { requests as policy } from "@jackdawlink/policy";
import type * as backendAttempt from "./backend_attempt.ts";
import type * as requestIndex from "./request_index.ts";
import type * as requestJob from "./request_job.ts";

const NO_TRIED_SERVERS: ReadonlySet<string> = new Set();

/** What an attempt has shown of its backend server. */
export interface AttemptEffect {
  readonly ejected: boolean;
  /** How long it is left alone because it is leaving; null where it isn't. */
  readonly leavingForMs: number | null;
}

/** What the choice depends on. */
export interface BackendSelectorOptions {
  readonly availabilityZone: string;
  readonly clock: ports.clock.Clock;
  readonly backendServers: () => readonly requestIndex.NamedBackendServer[];
  readonly runningAt: (backendServer: string) => number;
  /** A number in [0, 1) from the entry's seeded generator. */
  readonly random: () => number;
}

/** The order that a request gets, by whether it may be repeated; valid for one round of starts. */
export type OrderCache = Map<boolean, readonly string[]>;

/** Follows the backend servers of one service. */
export class BackendSelector {
  readonly #options: BackendSelectorOptions;
  readonly #outliers = new policy.outlierDetector.OutlierDetector();
  readonly #cooldowns = new policy.serverCooldowns.ServerCooldowns();

  constructor(options: BackendSelectorOptions) {
    this.#options = options;
  }

  /**
   * The order of backend servers for a request; one that failed wherever it could go may go there
   * again. Worked out once per round for requests that have not failed yet.
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

  /** Learns from the end of an attempt. */
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

  /** Forgets backend servers that the configuration no longer names. */
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

function cooldownMs(end: backendAttempt.AttemptEnd): number | null {
  if (end.announcedClose || end.result === "refused") {
    return policy.serverCooldowns.SHUTDOWN_COOLDOWN_MS;
  }
  return end.result === "notSent" ? policy.serverCooldowns.UNREACHABLE_COOLDOWN_MS : null;
}
