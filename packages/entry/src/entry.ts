/**
 * One entry process: creates its components, starts them and shuts them down gracefully.
 *
 * @module
 */
import * as adapters from "@jackdawlink/adapters";
import type * as ports from "@jackdawlink/ports";
import * as schema from "@jackdawlink/schema";
import { ok, type Result, ResultAsync } from "neverthrow";
import type * as prometheus from "prom-client";
import type { CallerFrontend } from "./caller_frontend.ts";
import { EntryMetrics } from "./entry_metrics.ts";
import { createMembershipParts, type MembershipParts } from "./membership/membership_parts.ts";
import type { MembershipStatus } from "./membership/membership_manager.ts";
import { OperatorServer } from "./operator_server.ts";

/** What {@link EntryOptions.createCallerFrontend} builds the frontend from. */
export interface CallerFrontendContext {
  readonly settings: schema.settings.EntrySettings;
  readonly clock: ports.clock.Clock;
  readonly store: ports.store.Store;
  readonly links: ports.peers.PeerLinks;
  readonly snapshots: ports.members.SnapshotSource;
  readonly drainingVms: ports.members.DrainingVmSource;
  readonly membership: ports.members.Membership;
  readonly registry: prometheus.Registry;
  readonly log: (part: string) => ports.log.Log;
}

/** Options of an {@link Entry}. */
export interface EntryOptions {
  readonly settings: schema.settings.EntrySettings;
  readonly createCallerFrontend: (context: CallerFrontendContext) => CallerFrontend;
}

/** The bound addresses. */
export interface EntryAddresses {
  readonly callerAddress: string;
  readonly operatorAddress: string;
  readonly peerAddress: string;
}

type JackdawlinkError = schema.errors.JackdawlinkError;

/** How long a stopping process tries to remove itself from the member list. */
const LEAVE_TIMEOUT_MS = 5_000;
/** How long a stopping process waits for the store to revoke its lease. */
const LEASE_REVOKE_TIMEOUT_MS = 1_000;

/**
 * Listeners that open before the process joins, as it publishes their addresses in the member list.
 */
interface Listeners {
  readonly links: adapters.peerLinks.PeerLinkMesh;
  readonly operatorServer: OperatorServer;
  readonly metrics: EntryMetrics;
  readonly operatorAddress: string;
  readonly peerAddress: string;
}

/** The components of a started entry. */
interface Parts {
  readonly listeners: Listeners;
  readonly membershipParts: MembershipParts;
  readonly callerFrontend: CallerFrontend;
}

/** One entry process. */
export class Entry {
  readonly #options: EntryOptions;
  readonly #settings: schema.settings.EntrySettings;
  readonly #logFactory: adapters.log.LogFactory;
  readonly #log: ports.log.Log;
  readonly #clock = new adapters.clock.SystemClock();
  readonly #store: adapters.platformStore.PlatformStore;
  #parts: Parts | null = null;
  #draining = false;

  constructor(options: EntryOptions) {
    this.#options = options;
    this.#settings = options.settings;
    this.#logFactory = new adapters.log.LogFactory(options.settings.log);
    this.#log = this.#logFactory.part("entry");
    this.#store = new adapters.platformStore.PlatformStore({
      settings: options.settings.store,
      clock: this.#clock,
      log: this.#logFactory.part("store"),
      clientId: options.settings.memberId,
    });
  }

  /** Listens on all addresses, and starts to follow the store and the peers. */
  start(): ResultAsync<EntryAddresses, JackdawlinkError> {
    return this.#openListeners().andThen((listeners) => {
      const membershipParts = this.#createMembershipParts(listeners);
      const callerFrontend = this.#createCallerFrontend(listeners, membershipParts);
      this.#parts = { listeners, membershipParts, callerFrontend };
      membershipParts.membership.start();
      membershipParts.snapshots.start();
      return callerFrontend.listen(this.#settings.callerAddress).map((callerAddress) => ({
        callerAddress,
        operatorAddress: listeners.operatorAddress,
        peerAddress: listeners.peerAddress,
      }));
    });
  }

  /**
   * Shuts down gracefully: reports not ready, drains requests, leaves the member list, revokes the
   * lease and closes the listeners.
   */
  async stop(): Promise<void> {
    if (this.#draining || this.#parts === null) {
      return;
    }
    const { membershipParts, callerFrontend } = this.#parts;
    const { shutdownGraceMs } = this.#settings;
    this.#draining = true;
    this.#log.info("Draining", { shutdownGraceMs });
    membershipParts.membership.startDrain();
    await this.#sleep(shutdownGraceMs);
    await callerFrontend.drain();
    const isClean = await membershipParts.membership.leave(LEAVE_TIMEOUT_MS);
    this.#log.info("Finished leaving the member list", { isClean });
    await Promise.race([membershipParts.leaseKeeper.stop(), this.#sleep(LEASE_REVOKE_TIMEOUT_MS)]);
    await this.#close(this.#parts);
  }

  #openListeners(): ResultAsync<Listeners, JackdawlinkError> {
    const metrics = new EntryMetrics(() => this.#status());
    const operatorServer = new OperatorServer({
      status: () => this.#status(),
      isDraining: () => this.#draining,
      explain: (requestId) => this.#parts?.callerFrontend.explain(requestId) ?? { lines: [] },
      registry: metrics.registry,
    });
    return this.#readPeerTls().asyncAndThen((tls) => {
      const links = this.#createLinks(tls, metrics);
      return ResultAsync.combine([
        links.listen(this.#settings.peerAddress),
        operatorServer.listen(this.#settings.operatorAddress),
      ]).map(([peerAddress = "", operatorAddress = ""]) => ({
        links,
        operatorServer,
        metrics,
        operatorAddress,
        peerAddress,
      }));
    });
  }

  #readPeerTls(): Result<adapters.peerTls.PeerTlsMaterial | null, JackdawlinkError> {
    const { peerTls } = this.#settings;
    return peerTls === undefined ? ok(null) : adapters.peerTls.readPeerTls(peerTls);
  }

  #createLinks(
    tls: adapters.peerTls.PeerTlsMaterial | null,
    metrics: EntryMetrics,
  ): adapters.peerLinks.PeerLinkMesh {
    return new adapters.peerLinks.PeerLinkMesh({
      memberId: this.#settings.memberId,
      localHost: schema.names.splitAddress(this.#settings.peerAddress).host,
      tls,
      clock: this.#clock,
      log: this.#logFactory.part("peers"),
      isAllowed: (sender, type) =>
        this.#parts?.membershipParts.membership.accepts(sender, type) ?? false,
      onEvent: (event) => metrics.countPeerEvent(event),
    });
  }

  #createMembershipParts(listeners: Listeners): MembershipParts {
    return createMembershipParts({
      settings: this.#settings,
      peerAddress: this.#settings.advertisedPeerAddress ?? listeners.peerAddress,
      operatorAddress: listeners.operatorAddress,
      store: this.#store,
      links: listeners.links,
      clock: this.#clock,
      log: (part) => this.#logFactory.part(part),
    });
  }

  #createCallerFrontend(listeners: Listeners, membershipParts: MembershipParts): CallerFrontend {
    return this.#options.createCallerFrontend({
      settings: this.#settings,
      clock: this.#clock,
      store: this.#store,
      links: listeners.links,
      snapshots: membershipParts.snapshots,
      drainingVms: membershipParts.drainingVms,
      membership: membershipParts.membership,
      registry: listeners.metrics.registry,
      log: (part) => this.#logFactory.part(part),
    });
  }

  #status(): MembershipStatus {
    return this.#parts?.membershipParts.membership.status() ?? {
      memberId: this.#settings.memberId,
      incarnation: null,
      fresh: false,
      freshBy: null,
      revision: 0,
      acceptedRevision: 0,
      members: [],
    };
  }

  async #close(
    { listeners, membershipParts, callerFrontend }: Parts,
  ): Promise<void> {
    callerFrontend.close();
    membershipParts.snapshots.close();
    membershipParts.membership.close();
    listeners.links.close();
    listeners.operatorServer.close();
    await this.#store.close();
  }

  #sleep(delayMs: number): Promise<void> {
    return new Promise((resolve) => this.#clock.after(delayMs, resolve));
  }
}
