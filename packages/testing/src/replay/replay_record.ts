/**
 * The record of a replay: the results that callers received and the runs at the backend servers.
 *
 * @module
 */
import type { config as configs } from "@jackdawlink/schema";
import type * as traces from "./trace.ts";

/** The result that a caller received. */
export interface CallerResult {
  /** `connection lost` if the entry was killed. */
  readonly outcome: "answered" | "not-run" | "unknown" | "connection lost";
  readonly reason: string;
}

/** One request of the trace. */
export interface ReplayedRequest {
  readonly requestId: string;
  readonly arrival: traces.Arrival;
  readonly service: string;
  readonly results: CallerResult[];
}

/** One run at a backend server. */
export interface Run {
  readonly requestId: string;
  readonly team: string;
  readonly service: string;
  readonly backendServer: string;
  readonly startMs: number;
  readonly endMs: number;
}

/** The number of waiting requests of a team at a service, over all entries. */
export interface Waiting {
  readonly service: string;
  readonly team: string;
  readonly waiting: number;
}

/** The waiting requests at one point in time. */
export interface Sample {
  readonly atMs: number;
  readonly waiting: readonly Waiting[];
}

/** The input of the outcome checks. */
export interface ReplayRecord {
  readonly trace: traces.Trace;
  /** The configuration at the start. */
  readonly config: configs.Config;
  readonly requests: readonly ReplayedRequest[];
  readonly runs: readonly Run[];
  readonly samples: readonly Sample[];
}
