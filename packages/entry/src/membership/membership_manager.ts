/**
 * Runs this process's membership: sends heartbeats, joins, leaves and fences unreachable members.
 *
 * @module
 */
import { randomUUID } from "node:crypto";
import type * as adapters from "@jackdawlink/adapters";
import type * as ports from "@jackdawlink/ports";
import * as policy from "@jackdawlink/policy";
import * as schema from "@jackdawlink/schema";
import type { DrainingVmManager } from "./draining_vm_manager.ts";
import type { LeaseKeeper } from "./lease_keeper.ts";
import { MessageFilter } from "./message_filter.ts";
import type { SnapshotManager } from "./snapshot_manager.ts";

/** Options of a {@link MembershipManager}. */
export interface MembershipManagerOptions {
  readonly identity: policy.memberState.MemberIdentity;
  readonly seedPeerAddresses: readonly string[];
  readonly timing: schema.settings.TimingSettings;
  readonly state: policy.memberState.MemberState;
  readonly snapshots: SnapshotManager;
  readonly drainingVms: DrainingVmManager;
  readonly headRepository: adapters.headRepository.HeadRepository;
  readonly leaseKeeper: LeaseKeeper;
  readonly links: adapters.peerLinks.PeerLinkMesh;
  readonly clock: ports.clock.Clock;
  readonly log: ports.log.Log;
}

/** The membership fields of the operator status. */
export type MembershipStatus = Omit<schema.operator.Status, "draining">;

/** The time limit for publishing one member list change. */
const CHANGE_TIMEOUT_MS = 3_000;
/** How often a leaving process checks whether it can leave, or has left. */
const LEAVE_POLL_INTERVAL_MS = 50;

/** Keeps this process in the member list and publishes the membership changes that it decides. */
export class MembershipManager implements ports.members.Membership {
  readonly memberId: string;
  readonly #options: MembershipManagerOptions;
  readonly #messageFilter: MessageFilter;
  readonly #callbacks: ((incarnation: string | null) => void)[] = [];
  #notifiedIncarnation: string | null = null;
  #isChanging = false;
  #draining = false;
  #canLeave = false;
  #cancelHeartbeat: () => void = () => {};

  constructor(options: MembershipManagerOptions) {
    this.#options = options;
    this.memberId = options.identity.memberId;
    this.#messageFilter = new MessageFilter(() => options.state.head());
    options.links.on("heartbeat", (heartbeat, sender) => this.#receiveHeartbeat(heartbeat, sender));
    options.snapshots.onChange((snapshot) => this.#adoptHead(snapshot.head));
  }

  /** Connects to the peers, acquires the lease and starts to send heartbeats. */
  start(): void {
    const { state, leaseKeeper } = this.#options;
    this.#setLinkIdentity();
    this.#dialPeers(state.head());
    leaseKeeper.acquireFor(state.incarnation());
    this.#runHeartbeat();
  }

  /** Stops the heartbeats. */
  close(): void {
    this.#cancelHeartbeat();
  }

  isFresh(): boolean {
    return this.#freshBy() !== null;
  }

  incarnation(): string | null {
    const { state } = this.#options;
    return state.isListed() ? state.incarnation() : null;
  }

  onIncarnationChange(callback: (incarnation: string | null) => void): void {
    this.#callbacks.push(callback);
  }

  acceptedFenceAtMs(incarnation: string): number | null {
    return this.#options.state.fenceAcceptedAtMs(incarnation);
  }

  /** Whether to accept a message of this type from the sender. */
  accepts(sender: ports.peers.Sender, type: schema.peer.MessageType): boolean {
    return this.#messageFilter.accepts(sender, type);
  }

  /** Records a finished read of the store and decides on the next change. */
  recordRead(read: policy.memberState.StoreRead): void {
    this.#options.state.recordRead(read);
    this.#decide();
  }

  /** Whether polls must read the lease keys: to join, or to fence unreachable members. */
  needsAliveKeys(): boolean {
    const { state, clock } = this.#options;
    return !state.isListed() || state.unreachableMemberIds(clock.steadyMs()).length > 0;
  }

  /** Announces to the peers that this process is draining; it stays in the member list. */
  startDrain(): void {
    this.#draining = true;
    this.#sendHeartbeats();
  }

  /**
   * Removes this process from the member list. Returns false if it is still listed at the timeout.
   */
  async leave(timeoutMs: number): Promise<boolean> {
    const { clock, state } = this.#options;
    const deadlineMs = clock.nowMs() + timeoutMs;
    this.#canLeave = true;
    while (state.isListed() && clock.nowMs() < deadlineMs) {
      this.#decide();
      await new Promise<void>((resolve) => clock.after(LEAVE_POLL_INTERVAL_MS, resolve));
    }
    return !state.isListed();
  }

  /** Returns the membership fields of the operator status. */
  status(): MembershipStatus {
    const { state, clock } = this.#options;
    const freshBy = this.#freshBy();
    return {
      memberId: this.memberId,
      incarnation: this.incarnation(),
      fresh: freshBy !== null,
      freshBy,
      revision: state.head().revision,
      acceptedRevision: state.acceptedRevision(),
      members: state.reports(clock.nowMs()),
    };
  }

  #freshBy(): policy.freshness.FreshnessSource | null {
    const { state, clock } = this.#options;
    return state.freshnessSource(clock.nowMs());
  }

  #setLinkIdentity(): void {
    const { links, state, identity } = this.#options;
    links.setIdentity({ incarnation: state.incarnation(), peerAddress: identity.peerAddress });
  }

  #dialPeers(head: schema.head.Head): void {
    const peers = head.members.map(({ memberId, peerAddress }) => ({
      memberId,
      address: peerAddress,
    }));
    this.#options.links.setPeers(peers, this.#options.seedPeerAddresses);
  }

  #runHeartbeat(): void {
    const { clock, timing } = this.#options;
    this.#cancelHeartbeat = clock.after(timing.heartbeatMs, () => this.#runHeartbeat());
    this.#sendHeartbeats();
    this.#decide();
  }

  #sendHeartbeats(): void {
    const { links, state, clock, drainingVms } = this.#options;
    const drainingVmsRevision = drainingVms.current().modRevision;
    const now = { ...readingsOf(clock), draining: this.#draining };
    for (const memberId of links.linkedMemberIds()) {
      const heartbeat = state.heartbeatFor(memberId, now);
      links.send(memberId, { ...heartbeat, drainingVmsRevision });
    }
  }

  #receiveHeartbeat(heartbeat: schema.peer.Heartbeat, sender: ports.peers.Sender): void {
    if (heartbeat.incarnation !== sender.incarnation) {
      return;
    }
    const { state, snapshots, drainingVms, clock } = this.#options;
    const from = { memberId: sender.memberId, ...readingsOf(clock) };
    const { hasHigherRevision, hasMajorityAdvanced } = state.receiveHeartbeat(heartbeat, from);
    if (hasHigherRevision) {
      snapshots.catchUpFrom(sender.memberId);
    }
    drainingVms.receiveRevision(sender.memberId, heartbeat.drainingVmsRevision ?? 0);
    if (hasMajorityAdvanced) {
      this.#decide();
    }
  }

  #adoptHead(head: schema.head.Head): void {
    const { state, clock, leaseKeeper, log } = this.#options;
    const { wasRemoved } = state.adoptHead(head, clock.steadyMs());
    if (wasRemoved && !this.#canLeave) {
      const fencedIncarnation = state.incarnation();
      state.restartAs(randomUUID());
      log.warn("Fenced", { incarnation: fencedIncarnation, revision: head.revision });
      leaseKeeper.acquireFor(state.incarnation());
      this.#setLinkIdentity();
    }
    this.#notifyIncarnationChange();
    this.#dialPeers(head);
    this.#sendHeartbeats();
  }

  #notifyIncarnationChange(): void {
    const incarnation = this.incarnation();
    if (incarnation === this.#notifiedIncarnation) {
      return;
    }
    this.#notifiedIncarnation = incarnation;
    this.#options.log.info(incarnation === null ? "No longer a member" : "Joined member list", {
      incarnation,
      revision: this.#options.state.head().revision,
    });
    this.#callbacks.forEach((callback) => callback(incarnation));
  }

  /** Decides on the next member list change and publishes it, unless one is in flight. */
  #decide(): void {
    if (this.#isChanging) {
      return;
    }
    const { state, clock, snapshots, leaseKeeper, timing } = this.#options;
    const decision = state.decide({
      ...readingsOf(clock),
      draining: this.#draining,
      canLeave: this.#canLeave,
      fenceWaitMs: policy.memberState.fenceWaitMs(timing, snapshots.current().config),
    });
    const record = snapshots.headRecord();
    if (decision === null || record?.head.revision !== state.head().revision) {
      return;
    }
    if (decision.kind === "join" && !leaseKeeper.isHeld(state.incarnation())) {
      return;
    }
    void this.#publish(record, decision);
  }

  async #publish(
    record: adapters.headRepository.HeadRecord,
    decision: policy.membership.MembershipDecision,
  ): Promise<void> {
    const { headRepository, snapshots, state, log } = this.#options;
    this.#isChanging = true;
    const summary = summaryOf(decision, this.memberId);
    log.info("Publishing member list change", { summary, baseRevision: record.head.revision });
    const changed = await headRepository.change(record, {
      edit: policy.headChanges.editOf(record.head, { decision, self: state.selfMember() }),
      author: this.memberId,
      summary,
      timeoutMs: CHANGE_TIMEOUT_MS,
    });
    this.#isChanging = false;
    changed.match(
      (published) => snapshots.adoptPublished(published),
      (error) =>
        log.info("Failed to publish member list change", { summary, reason: error.message }),
    );
    snapshots.pollSoon();
  }
}

function readingsOf(clock: ports.clock.Clock): policy.memberState.ClockReadings {
  return { nowMs: clock.nowMs(), steadyMs: clock.steadyMs() };
}

type Summaries = Record<
  policy.membership.MembershipDecision["kind"],
  (memberId: string) => string
>;

const SUMMARIES: Summaries = {
  join: (memberId) => `${memberId} joins`,
  leave: (memberId) => `${memberId} leaves`,
  fence: (memberId) => `${memberId} fences`,
  dropFences: (memberId) => `${memberId} drops expired fences`,
};

function summaryOf(decision: policy.membership.MembershipDecision, memberId: string): string {
  const summary = SUMMARIES[decision.kind](memberId);
  if (decision.kind !== "fence") {
    return summary;
  }
  const fenced = decision.members.map((member) => member.memberId);
  return `${summary} ${fenced.join(", ")} (${decision.reason})`;
}
