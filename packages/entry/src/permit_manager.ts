/**
 * Manages the permits of this process. A permit is a concurrency token for one running request.
 *
 * The decisions are made by the I/O-free permit policy; this module feeds it the head, peer
 * messages, the time and the demand, and sends the messages that it returns.
 *
 * @module
 */
import * as policy from "@jackdawlink/policy";
import type * as ports from "@jackdawlink/ports";
import type { config as configs, peer } from "@jackdawlink/schema";
import * as throttledTimer from "./throttled_timer.ts";

/** Options of a {@link PermitManager}. */
export interface PermitManagerOptions {
  readonly links: ports.peers.PeerLinks;
  readonly membership: ports.members.Membership;
  readonly snapshots: ports.members.SnapshotSource;
  readonly clock: ports.clock.Clock;
  readonly log: ports.log.Log;
  readonly freshForMs: number;
}

/** The minimum time between two policy runs that are triggered by messages or heads. */
const MESSAGE_INTERVAL_MS = 5;
/** The minimum time between two policy runs that are triggered by changes of demand. */
const DEMAND_INTERVAL_MS = 10;

const EVENT_MESSAGES: Record<policy.permitCoordinators.CoordinatorEvent["kind"], string> = {
  started: "Collecting held permits from members",
  tookOver: "Coordinating permits",
  endedQuarantine: "Quarantine of a fenced member's permits ended",
};

/**
 * A permit with the {@link policy.permits.PermitMember} of the incarnation that it was taken under.
 */
interface TakenPermit extends ports.permits.Permit {
  readonly member: policy.permits.PermitMember;
  readonly held: policy.permits.HeldPermit;
}

/** Implements the permits port. */
export class PermitManager implements ports.permits.Permits {
  readonly #options: PermitManagerOptions;
  readonly #timer: throttledTimer.ThrottledTimer;
  readonly #taken = new Set<ports.permits.Permit>();
  readonly #onGranted: (() => void)[] = [];
  #member: policy.permits.PermitMember | null = null;
  #incarnation: string | null = null;
  #demandSource: () => readonly ports.permits.TeamDemand[] = () => [];
  #isLeaving = false;
  #groupCache: {
    readonly config: configs.Config;
    readonly groups: policy.permitCoordinators.PermitView["groups"];
  } | null = null;

  constructor(options: PermitManagerOptions) {
    this.#options = options;
    this.#timer = new throttledTimer.ThrottledTimer(options.clock, () => this.#advance());
    for (const type of policy.permits.PERMIT_MESSAGE_TYPES) this.#registerHandler(type);
    options.snapshots.onChange(() => this.#applyHead());
    options.membership.onIncarnationChange(() => this.#applyHead());
    this.#applyHead();
  }

  take(request: ports.permits.PermitRequest): ports.permits.Permit | null {
    if (this.#member === null || !this.#options.membership.isFresh()) return null;
    const member = this.#member;
    const held = member.take(request);
    if (held === null) return null;
    const { team, service, backendServer } = held;
    const permit: TakenPermit = { team, service, backendServer, member, held };
    this.#taken.add(permit);
    return permit;
  }

  release(permit: ports.permits.Permit): void {
    if (!this.#taken.delete(permit)) return;
    const { member, held } = permit as TakenPermit;
    member.release(held);
    if (member === this.#member) this.#timer.runSoon(DEMAND_INTERVAL_MS);
  }

  targetOf(service: string, team: string): number | null {
    return this.#member?.targetOf(service, team) ?? null;
  }

  setDemandSource(source: () => readonly ports.permits.TeamDemand[]): void {
    this.#demandSource = source;
  }

  demandChanged(): void {
    this.#timer.runSoon(DEMAND_INTERVAL_MS);
  }

  onGranted(callback: () => void): void {
    this.#onGranted.push(callback);
  }

  /** Returns idle permits to their coordinators and requests no more, before the process leaves. */
  startLeaving(): void {
    this.#isLeaving = true;
    this.#member?.startLeaving();
    this.#timer.runSoon(MESSAGE_INTERVAL_MS);
  }

  /** The number of permits in use, including those of earlier incarnations. */
  get takenCount(): number {
    return this.#taken.size;
  }

  /** Cancels the timer. */
  stop(): void {
    this.#timer.stop();
  }

  #registerHandler<TType extends policy.permits.PermitMessageType>(type: TType): void {
    this.#options.links.on(type, (message, sender) => {
      this.#member?.receive(message as policy.permits.PermitMessage, sender);
      this.#timer.runSoon(MESSAGE_INTERVAL_MS);
      this.#notifyGranted();
    });
  }

  #applyHead(): void {
    const { membership, snapshots, log } = this.#options;
    const incarnation = membership.incarnation();
    if (incarnation !== this.#incarnation) {
      log.info("Permits reset for new incarnation", { incarnation, from: this.#incarnation });
      this.#incarnation = incarnation;
      this.#member = incarnation === null
        ? null
        : new policy.permits.PermitMember({ memberId: membership.memberId, incarnation });
      if (this.#isLeaving) this.#member?.startLeaving();
    }
    const { head, config } = snapshots.current();
    this.#member?.setView({
      members: head.members,
      fences: head.fences,
      membersRevision: head.membersRevision,
      groups: this.#groupsOf(config),
    });
    this.#timer.runSoon(MESSAGE_INTERVAL_MS);
  }

  /** Derives the permit groups once per configuration, as most heads leave it unchanged. */
  #groupsOf(config: configs.Config): policy.permitCoordinators.PermitView["groups"] {
    if (this.#groupCache?.config !== config) {
      this.#groupCache = { config, groups: policy.permitGroups.groupsOf(config) };
    }
    return this.#groupCache.groups;
  }

  #advance(): void {
    const member = this.#member;
    if (member === null) return;
    const { links, membership, clock, freshForMs } = this.#options;
    const turn = member.advance(clock.steadyMs(), {
      loads: this.#demandSource(),
      timing: {
        freshForMs,
        marginMs: policy.memberState.FENCE_MARGIN_MS,
        acceptedAtMs: (incarnation) => membership.acceptedFenceAtMs(incarnation),
      },
    });
    for (const { memberId, message } of turn.messages) {
      links.send(memberId, message as peer.Message);
    }
    if (turn.wakeAtMs !== null) {
      this.#timer.runAt(Math.max(turn.wakeAtMs, clock.steadyMs() + MESSAGE_INTERVAL_MS));
    }
    this.#logEvents(turn.events);
    this.#notifyGranted();
  }

  /** Logs one line per kind of event, as a membership change affects many groups at once. */
  #logEvents(events: policy.permits.Turn["events"]): void {
    const kinds = new Set(events.map((event) => event.kind));
    for (const kind of kinds) {
      const same = events.filter((event) => event.kind === kind);
      const { group, term, quarantined } = same[0]!;
      this.#options.log.info(EVENT_MESSAGES[kind], {
        groups: same.length,
        firstGroup: group,
        term,
        quarantined,
      });
    }
  }

  #notifyGranted(): void {
    if (this.#member?.consumeUpdateFlag() !== true) return;
    for (const callback of this.#onGranted) callback();
  }
}
