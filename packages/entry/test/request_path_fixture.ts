/**
 * A request path that runs in the test process, with fake ports, in front of stand-in backend
 * server processes.
 *
 * @module
 */
import * as crypto from "node:crypto";
import type * as ports from "@jackdawlink/ports";
import { config, head, type peer } from "@jackdawlink/schema";
import * as testing from "@jackdawlink/testing";
import * as promClient from "prom-client";
import * as v from "valibot";
import * as requests from "../src/requests/mod.ts";

/** A clock with the real time of the test process, whose wall clock can be set forward. */
export class ProcessClock implements ports.clock.Clock {
  #aheadMs = 0;

  nowMs(): number {
    return performance.now() + this.#aheadMs;
  }

  steadyMs(): number {
    return performance.now();
  }

  wallMs(): number {
    return Date.now() + this.#aheadMs;
  }

  after(delayMs: number, callback: () => void): () => void {
    const timer = setTimeout(callback, delayMs);
    return () => clearTimeout(timer);
  }

  setForward(jumpMs: number): void {
    this.#aheadMs += jumpMs;
  }
}

/** Grants permits up to a total per team and a total per backend server. */
export class FakePermits implements ports.permits.Permits {
  readonly used = new Map<string, number>();
  teamTotal = 100;
  slotTotal = 8;
  released = 0;
  #granted: () => void = () => undefined;

  take(ask: ports.permits.PermitRequest): ports.permits.Permit | null {
    if (this.#usedOf(`team:${ask.team}`) >= this.teamTotal) return null;
    const backendServer = ask.backendServers.find((name) =>
      this.#usedOf(`slots:${name}`) < this.slotTotal
    );
    if (backendServer === undefined) return null;
    this.#change(`team:${ask.team}`, 1);
    this.#change(`slots:${backendServer}`, 1);
    return { team: ask.team, service: ask.service, backendServer };
  }

  release(permit: ports.permits.Permit): void {
    this.released += 1;
    this.#change(`team:${permit.team}`, -1);
    this.#change(`slots:${permit.backendServer}`, -1);
  }

  targetOf(): number | null {
    return null;
  }

  setDemandSource(): void {}

  demandChanged(): void {}

  onGranted(callback: () => void): void {
    this.#granted = callback;
  }

  grant({ teamTotal }: { teamTotal: number }): void {
    this.teamTotal = teamTotal;
    this.#granted();
  }

  inUse(): number {
    return [...this.used.values()].reduce((sum, count) => sum + count, 0) / 2;
  }

  #usedOf(resource: string): number {
    return this.used.get(resource) ?? 0;
  }

  #change(resource: string, difference: number): void {
    this.used.set(resource, this.#usedOf(resource) + difference);
  }
}

/** Answers all claims with the same result and records the outcomes reported for them. */
export class FakeClaims implements ports.claims.Claims {
  readonly ends = new Map<string, peer.ClaimOutcome["outcome"]>();
  claimResult: peer.ClaimAnswer["result"] = "granted";

  claim(): Promise<Pick<peer.ClaimAnswer, "result" | "status">> {
    return Promise.resolve({
      result: this.claimResult,
      status: this.claimResult === "answered" ? 201 : null,
    });
  }

  finish(
    ask: Pick<ports.claims.KeyedRequest, "idempotencyKey">,
    end: Pick<peer.ClaimOutcome, "outcome">,
  ): void {
    this.ends.set(ask.idempotencyKey, end.outcome);
  }
}

/** A membership whose freshness is set by the test. */
export class FakeMembership implements ports.members.Membership {
  readonly memberId = "entry-1";
  fresh = true;
  /** The number of further freshness checks that may succeed. */
  staleAfterChecks = Infinity;

  isFresh(): boolean {
    this.staleAfterChecks -= 1;
    return this.fresh && this.staleAfterChecks >= 0;
  }

  incarnation(): string {
    return "entry-1-a";
  }

  onIncarnationChange(): void {}

  acceptedFenceAtMs(): null {
    return null;
  }
}

/** A snapshot source whose configuration is published by the test. */
export class FakeSnapshots implements ports.members.SnapshotSource {
  #snapshot: ports.members.Snapshot;
  readonly #callbacks: ((snapshot: ports.members.Snapshot) => void)[] = [];

  constructor(input: config.ConfigInput) {
    this.#snapshot = { head: head.EMPTY_HEAD, config: v.parse(config.configSchema, input) };
  }

  current(): ports.members.Snapshot {
    return this.#snapshot;
  }

  onChange(callback: (snapshot: ports.members.Snapshot) => void): void {
    this.#callbacks.push(callback);
  }

  publish(input: config.ConfigInput): void {
    this.#snapshot = { head: head.EMPTY_HEAD, config: v.parse(config.configSchema, input) };
    for (const callback of this.#callbacks) callback(this.#snapshot);
  }
}

/** A source of draining VMs that are set by the test. */
export class FakeDrainingVms implements ports.members.DrainingVmSource {
  #draining: ports.members.DrainingVms = { modRevision: 0, vms: new Set() };
  readonly #callbacks: ((draining: ports.members.DrainingVms) => void)[] = [];

  current(): ports.members.DrainingVms {
    return this.#draining;
  }

  onChange(callback: (draining: ports.members.DrainingVms) => void): void {
    this.#callbacks.push(callback);
  }

  setVms(vms: readonly string[]): void {
    this.#draining = { modRevision: this.#draining.modRevision + 1, vms: new Set(vms) };
    for (const callback of this.#callbacks) callback(this.#draining);
  }
}

/** The secret of the only API key. */
export const SECRET = "secret-of-billing";

/**
 * Builds a configuration with the given backend servers. Only `a` is in the availability zone of
 * the entry.
 */
export function configFor(
  backendServers: readonly testing.backendServerClient.BackendServerClient[],
  { service = {}, queue = {}, withdrawn = false, draining = [] }: {
    service?: Partial<config.Service>;
    queue?: Partial<config.Queue>;
    withdrawn?: boolean;
    draining?: readonly string[];
  } = {},
): config.ConfigInput {
  const secretSha256 = crypto.createHash("sha256").update(SECRET).digest("hex");
  return {
    workspaces: { shop: {} },
    teams: { billing: { workspace: "shop" }, guests: { workspace: "shop" } },
    keys: { k1: { team: "billing", secretSha256, withdrawn } },
    pools: { main: {} },
    services: { renewals: { pool: "main", maxRunMs: 2_000, ...service } },
    backendServers: Object.fromEntries(
      backendServers.map(({ name, address }) => [name, {
        service: "renewals",
        address,
        vm: `vm-${name}`,
        availabilityZone: name === "a" ? "zone-a" : "zone-b",
        draining: draining.includes(name),
      }]),
    ),
    limits: {
      billing: { team: "billing", maxRunningRequests: 100 },
      guests: { team: "guests", maxRunningRequests: 100 },
    },
    queues: {
      renew: { service: "renewals", ...queue },
      open: { service: "renewals", openTeam: "guests", ...queue },
    },
  };
}

/** A recorded log line. */
export interface LogLine {
  readonly message: string;
  readonly fields: ports.log.LogFields;
}

/** A request path with fake ports, behind a caller server. */
export class Fixture {
  readonly clock = new ProcessClock();
  readonly permits = new FakePermits();
  readonly claims = new FakeClaims();
  readonly membership = new FakeMembership();
  readonly snapshots: FakeSnapshots;
  readonly drainingVms = new FakeDrainingVms();
  readonly registry = new promClient.Registry();
  readonly lines: LogLine[] = [];
  readonly path: requests.requestPath.RequestPath;
  readonly #server: requests.callerServer.CallerServer;
  address = "";

  constructor(
    input: config.ConfigInput,
    serverSettings: Omit<requests.callerServer.CallerServerSettings, "callerAddress"> = {},
  ) {
    this.snapshots = new FakeSnapshots(input);
    const recordLine = (message: string, fields: ports.log.LogFields = {}) => {
      this.lines.push({ message, fields });
    };
    this.path = new requests.requestPath.RequestPath({
      availabilityZone: "zone-a",
      clock: this.clock,
      log: { debug: recordLine, info: recordLine, warn: recordLine, error: recordLine },
      permits: this.permits,
      claims: this.claims,
      membership: this.membership,
      snapshots: this.snapshots,
      drainingVms: this.drainingVms,
      registry: this.registry,
      seed: 1,
    });
    this.#server = new requests.callerServer.CallerServer(
      { callerAddress: "127.0.0.1:0", ...serverSettings },
      this.path,
    );
  }

  async start(): Promise<void> {
    this.address = (await this.#server.start())._unsafeUnwrap();
  }

  async stop(): Promise<void> {
    await this.path.drain({ waitingGraceMs: 0 });
    await this.#server.stop();
  }

  /** Sends a request with an API key and reads the answer. */
  async send(
    path: string,
    { method = "GET", headers = {}, body, key = SECRET }: {
      method?: string;
      headers?: Record<string, string>;
      body?: string | ReadableStream;
      key?: string | null;
    } = {},
  ): Promise<CallerView> {
    const authorization: Record<string, string> = key === null
      ? {}
      : { authorization: `Bearer ${key}` };
    try {
      const answer = await fetch(`http://${this.address}/v1/queues/${path}`, {
        method,
        headers: { ...authorization, ...headers },
        body,
        duplex: "half",
      });
      const text = await answer.text();
      return {
        status: answer.status,
        outcome: answer.headers.get("jackdawlink-outcome"),
        requestId: answer.headers.get("jackdawlink-request-id"),
        text,
        broken: false,
      };
    } catch {
      return { status: 0, outcome: null, requestId: null, text: "", broken: true };
    }
  }
}

/** The answer as its caller saw it; `broken` if the connection ended before it was complete. */
export interface CallerView {
  readonly status: number;
  readonly outcome: string | null;
  readonly requestId: string | null;
  readonly text: string;
  readonly broken: boolean;
}
