/**
 * What a replay has shown: what callers were told, and what really ran at backend servers.
 *
 * @module
 */
import type { config as configs } from "@jackdawlink/schema";
import type * as traces from "./trace.ts";

/** What a caller was told at the end. */
export interface CallerResult {
  /** `connection lost` where the entry was killed. */
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

/** How many requests of a team wait at a service in all entries. */
export interface Waiting {
  readonly service: string;
  readonly team: string;
  readonly waiting: number;
}

/** The waiting requests at one moment. */
export interface Sample {
  readonly atMs: number;
  readonly waiting: readonly Waiting[];
}

/** Everything that outcomes are decided by. */
export interface ReplayRecord {
  readonly trace: traces.Trace;
  /** The configuration at the start. */
  readonly config: configs.Config;
  readonly requests: readonly ReplayedRequest[];
  readonly runs: readonly Run[];
  readonly samples: readonly Sample[];
}
