/**
 * Backend servers in simulated time. They record all runs independently of the entries.
 *
 * @module
 */
import * as entry from "@jackdawlink/entry";
import { http } from "@jackdawlink/schema";
import type * as undici from "undici";
import type { ReplayClock } from "../replay_clock.ts";
import type * as replayRecord from "../replay_record.ts";
import { REPLAY_ID_HEADER } from "./replayed_caller.ts";

const CONNECT_LATENCY_MS = 1;

const { BackendConnections } = entry.requests.backendConnections;
type Connections = InstanceType<typeof BackendConnections>;
type Connection = ReturnType<Connections["acquire"]>;

/** Simulates all backend servers. */
export class ReplayedBackends {
  readonly runs: replayRecord.Run[] = [];
  readonly clock: ReplayClock;
  readonly #requestOf: (requestId: string) => replayRecord.ReplayedRequest;

  constructor(options: {
    clock: ReplayClock;
    requestOf: (requestId: string) => replayRecord.ReplayedRequest;
  }) {
    this.clock = options.clock;
    this.#requestOf = options.requestOf;
  }

  /** Starts a run and returns its duration in milliseconds. */
  start(backendServer: string, headers: Record<string, string>): number {
    const request = this.#requestOf(headers[REPLAY_ID_HEADER]!);
    const startMs = this.clock.nowMs();
    const { runMs } = request.arrival;
    this.runs.push({
      requestId: request.requestId,
      team: headers[http.TEAM_HEADER]!,
      service: request.service,
      backendServer,
      startMs,
      endMs: startMs + runMs,
    });
    return runMs;
  }
}

/** The connections of one entry. Once the entry is dead, nothing is sent and no answer arrives. */
export class ReplayedConnections extends BackendConnections {
  readonly #backends: ReplayedBackends;
  readonly #isDead: () => boolean;

  constructor(backends: ReplayedBackends, isDead: () => boolean) {
    super();
    this.#backends = backends;
    this.#isDead = isDead;
  }

  override acquire(backendServer: Parameters<Connections["acquire"]>[0]): Connection {
    const client = {
      dispatch: (request: undici.Dispatcher.DispatchOptions, handler: DispatchHandler) =>
        this.#dispatch(backendServer.name, { request, handler }),
      close: () => Promise.resolve(),
      destroy: () => Promise.resolve(),
    };
    return {
      backendServer: backendServer.name,
      address: backendServer.address,
      client: client as unknown as undici.Client,
    };
  }

  #dispatch(
    backendServer: string,
    { request, handler }: { request: undici.Dispatcher.DispatchOptions; handler: DispatchHandler },
  ): void {
    const { clock } = this.#backends;
    let aborted: Error | null = null;
    const controller = {
      paused: false,
      abort: (error: Error) => {
        aborted = error;
      },
    } as unknown as undici.Dispatcher.DispatchController;
    clock.after(CONNECT_LATENCY_MS, () => {
      if (this.#isDead()) return;
      handler.onRequestStart?.(controller, {});
      if (aborted !== null) {
        handler.onResponseError?.(controller, aborted);
        return;
      }
      const headers = request.headers as Record<string, string>;
      const runMs = this.#backends.start(backendServer, headers);
      clock.after(runMs, () => {
        if (this.#isDead()) return;
        handler.onResponseStart?.(controller, 200, { "content-length": "0" });
        handler.onResponseEnd?.(controller, {});
      });
    });
  }
}

type DispatchHandler = undici.Dispatcher.DispatchHandler;
