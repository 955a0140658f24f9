import * as policy from "@jackdawlink/policy";
import type * as ports from "@jackdawlink/ports";
import { config as configs, head as heads, type peer } from "@jackdawlink/schema";
import { describe, expect, it } from "vitest";
import * as permitManager from "./permit_manager.ts";

const FRESH_FOR_MS = 2_500;
const MAX_RUN_MS = 1_000;
const LINK_DELAY_MS = 1;
const STEP_MS = 20;
const TEST_DURATION_MS = 20_000;
/** The longest wait of an entry between two starts: the time limit for starting urgent requests. */
const MAX_START_DELAY_MS = 4_300;
const REQUEST = { team: "billing", service: "renewals", backendServers: ["b1", "b2"] };

/** A clock that advances only when a test calls `advance`. */
class ManualClock implements ports.clock.Clock {
  #nowMs = 0;
  #aheadMs = 0;
  #timers: { atMs: number; callback: () => void }[] = [];

  nowMs() {
    return this.#nowMs + this.#aheadMs;
  }

  steadyMs() {
    return this.#nowMs;
  }

  wallMs() {
    return this.#nowMs + this.#aheadMs;
  }

  /** Sets the wall clock forward. */
  setForward(jumpMs: number) {
    this.#aheadMs += jumpMs;
  }

  after(delayMs: number, callback: () => void) {
    const timer = { atMs: this.#nowMs + delayMs, callback };
    this.#timers.push(timer);
    return () => this.#timers = this.#timers.filter((other) => other !== timer);
  }

  advance(durationMs: number) {
    const untilMs = this.#nowMs + durationMs;
    while (true) {
      const due = this.#timers.filter((timer) => timer.atMs <= untilMs);
      const next = due.reduce<typeof due[number] | null>(
        (first, timer) => first === null || timer.atMs < first.atMs ? timer : first,
        null,
      );
      if (next === null) break;
      this.#timers = this.#timers.filter((timer) => timer !== next);
      this.#nowMs = Math.max(this.#nowMs, next.atMs);
      next.callback();
    }
    this.#nowMs = untilMs;
  }
}

type Handler = (message: peer.Message, sender: ports.peers.Sender) => void;

/** One entry process with its permit manager; a dead one neither sends nor receives messages. */
class Entry implements ports.peers.PeerLinks, ports.members.Membership {
  readonly memberId: string;
  readonly handlers = new Map<string, Handler>();
  readonly manager: permitManager.PermitManager;
  readonly running: ports.permits.Permit[] = [];
  waiting = 0;
  sentMessages = 0;
  isDead = false;
  isStale = false;
  #fleet: Fleet;
  #onIncarnation: ((incarnation: string | null) => void)[] = [];

  constructor(fleet: Fleet, memberId: string) {
    this.#fleet = fleet;
    this.memberId = memberId;
    this.manager = new permitManager.PermitManager({
      links: this,
      membership: this,
      snapshots: fleet,
      clock: fleet.clock,
      log: SILENT_LOG,
      freshForMs: FRESH_FOR_MS,
    });
    this.manager.setDemandSource(() => this.#demand());
    this.manager.onGranted(() => this.start());
  }

  send(memberId: string, message: peer.Message) {
    if (this.isDead) return;
    this.sentMessages += 1;
    this.#fleet.deliver(this, { memberId, message });
  }

  on(type: string, handler: unknown) {
    this.handlers.set(type, handler as Handler);
  }

  isFresh() {
    return !this.isDead && !this.isStale;
  }

  incarnation() {
    const members = this.#fleet.current().head.members;
    return members.find((member) => member.memberId === this.memberId)?.incarnation ?? null;
  }

  onIncarnationChange(callback: (incarnation: string | null) => void) {
    this.#onIncarnation.push(callback);
  }

  acceptedFenceAtMs(incarnation: string) {
    return this.#fleet.acceptedAtMs.get(incarnation) ?? null;
  }

  #demand() {
    const { team, service } = REQUEST;
    const running = this.running.length;
    return [{ team, service, running, waiting: this.waiting, urgentWaiting: 0 }];
  }

  /** Queues requests and reports the demand, as the request path does. */
  enqueue(waiting: number) {
    this.waiting = waiting;
    this.start();
    this.manager.demandChanged();
  }

  /** Starts waiting requests while there are permits; returns the number of started requests. */
  start() {
    let started = 0;
    while (this.waiting > 0) {
      const permit = this.manager.take(REQUEST);
      if (permit === null) break;
      this.running.push(permit);
      this.waiting -= 1;
      started += 1;
    }
    if (started > 0) this.manager.demandChanged();
    return started;
  }

  /** Ends the given number of running requests. */
  finish(count: number) {
    for (const permit of this.running.splice(0, count)) this.manager.release(permit);
    this.start();
  }
}

const SILENT_LOG: ports.log.Log = { debug() {}, info() {}, warn() {}, error() {} };

/** Entries with a shared clock, a shared snapshot and in-memory links. */
class Fleet implements ports.members.SnapshotSource {
  readonly clock = new ManualClock();
  readonly acceptedAtMs = new Map<string, number>();
  readonly entries: Entry[] = [];
  #callbacks: ((snapshot: ports.members.Snapshot) => void)[] = [];
  #snapshot: ports.members.Snapshot;

  constructor(options: { entries: number; limit: number }) {
    const memberIds = Array.from({ length: options.entries }, (_, index) => `entry-${index}`);
    this.#snapshot = {
      head: {
        ...heads.EMPTY_HEAD,
        revision: 1,
        membersRevision: 1,
        members: memberIds.map((memberId, index) => ({
          memberId,
          incarnation: `${memberId}-1`,
          peerAddress: "127.0.0.1:1",
          operatorAddress: "127.0.0.1:2",
          availabilityZone: `zone-${index % 3}`,
          leaving: false,
        })),
      },
      config: configOf(options.limit),
    };
    for (const memberId of memberIds) this.entries.push(new Entry(this, memberId));
  }

  current() {
    return this.#snapshot;
  }

  onChange(callback: (snapshot: ports.members.Snapshot) => void) {
    this.#callbacks.push(callback);
  }

  deliver(from: Entry, options: { memberId: string; message: peer.Message }) {
    const to = this.entries.find((entry) => entry.memberId === options.memberId);
    const incarnation = from.incarnation();
    if (incarnation === null) return;
    const sender = { memberId: from.memberId, incarnation };
    this.clock.after(LINK_DELAY_MS, () => {
      if (to?.isDead === false) to.handlers.get(options.message.type)?.(options.message, sender);
    });
  }

  /** Publishes a head that all entries adopt at once, with fences accepted at the current time. */
  publish(change: { limit?: number; fenced?: Entry }) {
    const { head, config } = this.#snapshot;
    const revision = head.revision + 1;
    const fenced = head.members.find((member) => member.memberId === change.fenced?.memberId);
    const members = head.members.filter((member) => member !== fenced);
    const fences = [...head.fences];
    if (fenced !== undefined) {
      const { memberId, incarnation } = fenced;
      fences.push({ memberId, incarnation, revision, clean: false, withoutMajority: false });
      this.acceptedAtMs.set(incarnation, this.clock.steadyMs());
    }
    const membersRevision = fenced === undefined ? head.membersRevision : revision;
    this.#snapshot = {
      head: { ...head, revision, membersRevision, members, fences },
      config: change.limit === undefined ? config : configOf(change.limit),
    };
    for (const callback of this.#callbacks) callback(this.#snapshot);
  }
}

function configOf(limit: number): configs.Config {
  return {
    ...configs.emptyConfig(),
    services: {
      renewals: {
        pool: "shops",
        maxRunMs: MAX_RUN_MS,
        maxRequestBytes: 1,
        maxAnswerBytes: 1,
        retryBudgetRatio: 0.1,
      },
    },
    backendServers: Object.fromEntries(["b1", "b2"].map((name) => [name, {
      service: "renewals",
      address: "127.0.0.1:3",
      vm: name,
      availabilityZone: "zone-0",
      rack: "rack",
      slots: 8,
      connections: 64,
      draining: false,
    }])),
    limits: { billing: { team: "billing", maxRunningRequests: limit } },
  };
}

/** The total number of running requests of some entries. */
function runningOf(entries: readonly Entry[]): number {
  return entries.reduce((sum, entry) => sum + entry.running.length, 0);
}

describe("PermitManager", () => {
  it.each([
    { entries: 1, limit: 5, total: 5 },
    { entries: 9, limit: 5, total: 5 },
    { entries: 9, limit: 40, total: 16 },
  ])("lets $entries entries run $total requests at limit $limit", ({ entries, limit, total }) => {
    const fleet = new Fleet({ entries, limit });
    fleet.clock.advance(100);
    for (const entry of fleet.entries) entry.enqueue(20);
    fleet.clock.advance(1_000);
    expect(runningOf(fleet.entries)).toBe(total);
  });

  it("receives permits within two round trips but hands out none while not fresh", () => {
    const fleet = new Fleet({ entries: 3, limit: 5 });
    fleet.clock.advance(100);
    const entry = fleet.entries[0]!;
    entry.isStale = true;
    entry.enqueue(1);
    fleet.clock.advance(4 * LINK_DELAY_MS + 20);
    expect(entry.running).toHaveLength(0);
    entry.isStale = false;
    expect(entry.start()).toBe(1);
  });

  it.each([
    { clocks: "clocks that run evenly", jumpMs: 0 },
    { clocks: "wall clocks that are set forward", jumpMs: 6_000 },
  ])(
    "reuses the permits of a fenced entry only after the quarantine, with $clocks",
    ({ jumpMs }) => {
      const fleet = new Fleet({ entries: 9, limit: 4 });
      fleet.clock.advance(100);
      const [dead, ...others] = fleet.entries as [Entry, ...Entry[]];
      dead.enqueue(4);
      fleet.clock.advance(100);
      expect(dead.running).toHaveLength(4);
      dead.isDead = true;
      fleet.publish({ fenced: dead });
      for (const entry of others) entry.enqueue(4);
      fleet.clock.setForward(jumpMs);
      const waitMs = FRESH_FOR_MS + policy.memberState.FENCE_MARGIN_MS + MAX_RUN_MS;
      fleet.clock.advance(waitMs - 10);
      const early = runningOf(others);
      fleet.clock.advance(1_000);
      expect({ early, late: runningOf(others) }).toEqual({ early: 0, late: 4 });
    },
  );

  it("lets every entry start in time when the limit is below the number of entries", () => {
    const fleet = new Fleet({ entries: 9, limit: 2 });
    fleet.clock.advance(100);
    for (const entry of fleet.entries) entry.enqueue(10_000);
    const startedAtMs = new Map<string, number>();
    let runs = 0;
    for (let elapsedMs = STEP_MS; elapsedMs <= TEST_DURATION_MS; elapsedMs += STEP_MS) {
      fleet.clock.advance(STEP_MS);
      runs += runningOf(fleet.entries);
      expect(runningOf(fleet.entries)).toBeLessThanOrEqual(2);
      for (const entry of fleet.entries) {
        if (entry.running.length > 0) startedAtMs.set(entry.memberId, elapsedMs);
        const waitedMs = elapsedMs - (startedAtMs.get(entry.memberId) ?? 0);
        expect(waitedMs, entry.memberId).toBeLessThan(MAX_START_DELAY_MS);
        entry.finish(entry.running.length);
      }
    }
    expect(runs).toBeGreaterThan(TEST_DURATION_MS / STEP_MS);
  });

  it("revokes permits when a limit is lowered", () => {
    const fleet = new Fleet({ entries: 3, limit: 6 });
    fleet.clock.advance(100);
    const [busy, other] = fleet.entries as [Entry, Entry];
    busy.enqueue(6);
    fleet.clock.advance(100);
    expect(busy.running).toHaveLength(6);
    fleet.publish({ limit: 2 });
    other.enqueue(6);
    busy.finish(4);
    fleet.clock.advance(100);
    expect([busy.running.length, other.running.length]).toEqual([2, 0]);
    busy.finish(2);
    fleet.clock.advance(500);
    expect(other.running).toHaveLength(2);
  });

  it("sends almost no messages while idle", () => {
    const fleet = new Fleet({ entries: 9, limit: 40 });
    fleet.clock.advance(100);
    for (const entry of fleet.entries) entry.enqueue(1);
    fleet.clock.advance(100);
    for (const entry of fleet.entries) entry.finish(1);
    fleet.clock.advance(5_000);
    for (const entry of fleet.entries) entry.sentMessages = 0;
    fleet.clock.advance(10_000);
    for (const entry of fleet.entries) expect(entry.sentMessages).toBeLessThan(20);
  });
});
