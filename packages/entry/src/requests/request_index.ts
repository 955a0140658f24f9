/**
 * An index of the configuration for the request path: queues, keys, and backend servers by service.
 *
 * @module
 */
import * as crypto from "node:crypto";
import type { requests as policy } from "@jackdawlink/policy";
import type { config } from "@jackdawlink/schema";

/** Keys are looked up by the first digits of their digests and then compared in constant time. */
const DIGEST_PREFIX_DIGITS = 8;

/** A backend server with its name. */
export interface NamedBackendServer extends config.BackendServer {
  readonly name: string;
}

/** A service with its name and its backend servers. */
export interface IndexedService extends config.Service {
  readonly name: string;
  readonly backendServers: readonly NamedBackendServer[];
}

/** A queue with its name and service. */
export interface IndexedQueue extends config.Queue {
  readonly name: string;
  readonly indexedService: IndexedService;
}

/** The properties of a request that decide whether the configuration permits it. */
export interface PermittedRequest {
  readonly queue: { readonly name: string };
  readonly service: string;
  readonly team: string;
  /** The digest of the presented key; null on an open queue without one. */
  readonly keyDigest: Buffer | null;
}

/** A key that is not withdrawn. */
interface IndexedKey {
  readonly digest: Buffer;
  readonly team: string;
}

/** An immutable index, built once per configuration and set of draining VMs. */
export class RequestIndex {
  readonly #config: config.Config;
  readonly #drainingVms: ReadonlySet<string>;
  readonly #services = new Map<string, IndexedService>();
  readonly #queues = new Map<string, IndexedQueue>();
  readonly #keysByPrefix = new Map<string, IndexedKey[]>();
  readonly #weights = new Map<string, number>();
  readonly #limitedTeams = new Set<string>();

  constructor(configuration: config.Config, drainingVms: ReadonlySet<string>) {
    this.#config = configuration;
    this.#drainingVms = drainingVms;
    this.#indexServices();
    this.#indexQueues();
    this.#indexKeys();
    this.#indexTeams();
  }

  /** Whether this index was built from the given objects. */
  isBuiltFrom(configuration: config.Config, drainingVms: ReadonlySet<string>): boolean {
    return this.#config === configuration && this.#drainingVms === drainingVms;
  }

  queue(name: string): IndexedQueue | undefined {
    return this.#queues.get(name);
  }

  service(name: string): IndexedService | undefined {
    return this.#services.get(name);
  }

  /** Whether a backend server gets no new requests because it is draining or not configured. */
  isDraining(backendServer: string): boolean {
    const found = this.#config.backendServers[backendServer];
    return found === undefined || this.#isServerDraining(found);
  }

  /** The team of the key with this SHA-256 digest; undefined if it is unknown or withdrawn. */
  teamOfDigest(digest: Buffer): string | undefined {
    const prefix = digest.toString("hex").slice(0, DIGEST_PREFIX_DIGITS);
    let team: string | undefined;
    for (const key of this.#keysByPrefix.get(prefix) ?? []) {
      if (crypto.timingSafeEqual(key.digest, digest)) team = key.team;
    }
    return team;
  }

  /** Why the configuration no longer permits an admitted request; null if it does. */
  refusalOf(request: PermittedRequest): policy.outcome.RefusalType | null {
    const queue = this.#queues.get(request.queue.name);
    if (queue === undefined || queue.service !== request.service) return "unknownQueue";
    const team = request.keyDigest === null ? queue.openTeam : this.teamOfDigest(request.keyDigest);
    if (team !== request.team) return "keyRefused";
    return this.hasLimit(team) ? null : "teamWithoutLimit";
  }

  /** Whether the team has a limit on running requests; without one it can't run any. */
  hasLimit(team: string): boolean {
    return this.#limitedTeams.has(team);
  }

  /** The weight of a team's share in the pool of a service; 1 without a share. */
  weightOf(service: string, team: string): number {
    const pool = this.#services.get(service)?.pool ?? "";
    return this.#weights.get(weightKey(pool, team)) ?? 1;
  }

  /** Operators drain single backend servers; the steward drains whole VMs. */
  #isServerDraining(backendServer: config.BackendServer): boolean {
    return backendServer.draining || this.#drainingVms.has(backendServer.vm);
  }

  #indexServices(): void {
    const byService = new Map<string, NamedBackendServer[]>();
    for (const [name, backendServer] of Object.entries(this.#config.backendServers)) {
      const list = byService.get(backendServer.service) ?? [];
      list.push({ ...backendServer, name, draining: this.#isServerDraining(backendServer) });
      byService.set(backendServer.service, list);
    }
    for (const [name, service] of Object.entries(this.#config.services)) {
      const backendServers = byService.get(name) ?? [];
      this.#services.set(name, { ...service, name, backendServers });
    }
  }

  #indexQueues(): void {
    for (const [name, queue] of Object.entries(this.#config.queues)) {
      const indexedService = this.#services.get(queue.service);
      if (indexedService !== undefined) this.#queues.set(name, { ...queue, name, indexedService });
    }
  }

  #indexKeys(): void {
    for (const key of Object.values(this.#config.keys)) {
      if (key.withdrawn) continue;
      const prefix = key.secretSha256.slice(0, DIGEST_PREFIX_DIGITS);
      const list = this.#keysByPrefix.get(prefix) ?? [];
      list.push({ digest: Buffer.from(key.secretSha256, "hex"), team: key.team });
      this.#keysByPrefix.set(prefix, list);
    }
  }

  #indexTeams(): void {
    for (const share of Object.values(this.#config.shares)) {
      this.#weights.set(weightKey(share.pool, share.team), share.weight);
    }
    for (const limit of Object.values(this.#config.limits)) {
      if (limit.maxRunningRequests !== undefined) this.#limitedTeams.add(limit.team);
    }
  }
}

function weightKey(pool: string, team: string): string {
  return `${pool}/${team}`;
}
