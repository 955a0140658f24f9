/**
 * The entry's frontend for callers: connects permits, claims, the request path and the HTTP server.
 *
 * @module
 */
import { randomInt } from "node:crypto";
import type * as schema from "@jackdawlink/schema";
import type { ResultAsync } from "neverthrow";
import type { CallerFrontend } from "./caller_frontend.ts";
import { ClaimManager } from "./claims/claim_manager.ts";
import type { CallerFrontendContext } from "./entry.ts";
import { PermitManager } from "./permit_manager.ts";
import * as requests from "./requests/mod.ts";

/** The `part` field of log lines and explain lines about requests. */
const REQUESTS_LOG_PART = "requests";
/** How long waiting requests can still start after the process has begun to drain. */
const WAITING_GRACE_MS = 1_000;
/** The delay before the process leaves, so that returned permits reach their coordinators. */
const PERMIT_RETURN_WAIT_MS = 200;
/** The maximum clock skew between entries. */
const CLOCK_SKEW_MS = 60_000;
/** The exclusive upper bound of the random seed for choosing between equal backend servers. */
const SEED_RANGE = 2 ** 31;

/** Serves callers' requests. */
export class RequestFrontend implements CallerFrontend {
  readonly #clock: CallerFrontendContext["clock"];
  readonly #permits: PermitManager;
  readonly #claims: ClaimManager;
  readonly #path: requests.requestPath.RequestPath;
  readonly #settings: schema.settings.EntrySettings;
  #server: requests.callerServer.CallerServer | null = null;

  constructor(context: CallerFrontendContext) {
    const { settings } = context;
    this.#clock = context.clock;
    this.#settings = settings;
    this.#permits = new PermitManager({
      ...context,
      log: context.log("permits"),
      freshForMs: settings.timing.freshForMs,
    });
    this.#claims = new ClaimManager({
      ...context,
      memberId: settings.memberId,
      shardCount: settings.claimShards,
      window: { windowMs: settings.claimWindowMs, clockSkewMs: CLOCK_SKEW_MS },
      peers: context.links,
      log: context.log("claims"),
    });
    this.#path = new requests.requestPath.RequestPath({
      ...context,
      availabilityZone: settings.availabilityZone,
      log: context.log(REQUESTS_LOG_PART),
      permits: this.#permits,
      claims: this.#claims,
      seed: randomInt(SEED_RANGE),
    });
  }

  listen(callerAddress: string): ResultAsync<string, schema.errors.JackdawlinkError> {
    const { callerTls } = this.#settings;
    this.#server = new requests.callerServer.CallerServer({ callerAddress, callerTls }, this.#path);
    return this.#server.start();
  }

  async drain(): Promise<void> {
    await this.#path.drain({ waitingGraceMs: WAITING_GRACE_MS });
    this.#permits.startLeaving();
    await new Promise<void>((resolve) => this.#clock.after(PERMIT_RETURN_WAIT_MS, resolve));
  }

  close(): void {
    void this.#server?.stop();
    this.#claims.stop();
    this.#permits.stop();
  }

  explain(requestId: string): schema.operator.Explanation {
    const steps = this.#path.explain(requestId) ?? [];
    const lines = steps.map(({ atWallMs, message, fields }) => ({
      atMs: atWallMs,
      part: REQUESTS_LOG_PART,
      message,
      fields: { ...fields },
    }));
    return { lines };
  }
}
