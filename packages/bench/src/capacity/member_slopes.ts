/**
 * Measures what membership costs one member by number of members: heartbeats, decisions on the
 * member list, and the freshness check of each request.
 *
 * @module
 */
import * as adapters from "@jackdawlink/adapters";
import * as policy from "@jackdawlink/policy";
import * as schema from "@jackdawlink/schema";
import * as v from "valibot";
import { makeMember } from "./config_slopes.ts";
import { measureCpuMs } from "./cpu_time.ts";
import type { Slope } from "./slope.ts";

/** The numbers of members at which figures are measured. */
export const MEMBER_COUNTS: readonly number[] = [9, 18, 36, 72];
/** The number of entries in the capacity plan. */
export const PLANNED_MEMBERS = 36;

const MS_PER_SECOND = 1_000;
const TIMING = v.parse(schema.settings.timingSchema, {});

interface MemberFigures {
  readonly heartbeatCpuPercent: number;
  readonly heartbeatBytesPerSecond: number;
  readonly decideMs: number;
  readonly freshnessCheckUs: number;
}

const LABELS: Readonly<Record<keyof MemberFigures, string>> = {
  heartbeatCpuPercent: "heartbeats and decisions without sockets, % of a core",
  heartbeatBytesPerSecond: "heartbeats both ways without framing, bytes/s",
  decideMs: "one decision on the list, ms",
  freshnessCheckUs: "one freshness check, µs",
};

/**
 * The membership state of one member that exchanges heartbeats with all others, in simulated time.
 */
class SimulatedMembership {
  readonly state: policy.memberState.MemberState;
  readonly #peers: readonly schema.head.Member[];
  nowMs = 0;

  constructor(count: number) {
    const members = Array.from({ length: count }, (_, index) => makeMember(index));
    const self = members[0]!;
    this.#peers = members.slice(1);
    this.state = new policy.memberState.MemberState({
      identity: self,
      incarnation: self.incarnation,
      rules: policy.memberState.rulesOf(TIMING),
    });
    this.state.adoptHead({ ...schema.head.EMPTY_HEAD, revision: 1, members }, 0);
  }

  /**
   * Simulates one heartbeat interval: sends a heartbeat to each peer, receives one from each, and
   * decides on the member list. Returns the bytes of all heartbeats.
   */
  runHeartbeatInterval(): number {
    this.nowMs += TIMING.heartbeatMs;
    let bytes = 0;
    for (const peer of this.#peers) bytes += this.#exchange(peer);
    this.decide();
    return bytes;
  }

  decide(): void {
    this.state.decide({
      nowMs: this.nowMs,
      steadyMs: this.nowMs,
      draining: false,
      canLeave: false,
      fenceWaitMs: 13_000,
    });
  }

  #exchange({ memberId, incarnation }: schema.head.Member): number {
    const { nowMs, state } = this;
    const sent = state.heartbeatFor(memberId, { nowMs, steadyMs: nowMs, draining: false });
    const outgoing = adapters.peerCodec.encode(sent);
    const incoming = adapters.peerCodec.encode({
      ...sent,
      incarnation,
      storeReadAgeMs: 512.25,
      echoSentAtMs: nowMs - 1.5,
      echoIncarnation: state.incarnation(),
    });
    const decoded = adapters.peerCodec.decode(incoming)._unsafeUnwrap();
    state.receiveHeartbeat(decoded as schema.peer.Heartbeat, { memberId, nowMs, steadyMs: nowMs });
    return outgoing.byteLength + incoming.byteLength;
  }
}

/** Measures all figures at each number of members. */
export function run(): Promise<readonly Slope[]> {
  const measured = MEMBER_COUNTS.map((members) => ({ members, figures: figuresAt(members) }));
  const keys = Object.keys(LABELS) as (keyof MemberFigures)[];
  return Promise.resolve(keys.map((key) => ({
    figure: LABELS[key],
    size: "members",
    points: measured.map(({ members, figures }) => ({ x: members, y: figures[key] })),
    plannedSize: PLANNED_MEMBERS,
  })));
}

function figuresAt(count: number): MemberFigures {
  const membership = new SimulatedMembership(count);
  const intervalsPerSecond = MS_PER_SECOND / TIMING.heartbeatMs;
  const intervalCpuMs = measureCpuMs(() => membership.runHeartbeatInterval());
  return {
    heartbeatCpuPercent: intervalCpuMs * intervalsPerSecond / MS_PER_SECOND * 100,
    heartbeatBytesPerSecond: membership.runHeartbeatInterval() * intervalsPerSecond,
    decideMs: measureCpuMs(() => membership.decide()),
    freshnessCheckUs: measureCpuMs(() => membership.state.freshnessSource(membership.nowMs)) *
      1_000,
  };
}
