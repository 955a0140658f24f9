import { config as configs, head as heads } from "@jackdawlink/schema";
import * as fc from "fast-check";
import { describe, expect, it } from "vitest";
import * as rendezvous from "../rendezvous.ts";
import * as groups from "./groups.ts";
import * as permits from "./member.ts";
import type * as outboxes from "./outbox.ts";

const FRESH_FOR_MS = 300;
const MARGIN_MS = 50;
const MAX_RUN_MS = 500;
const TURN_MS = 5;
const MEMBER_IDS = ["entry-a", "entry-b", "entry-c", "entry-d"];
const REQUEST = { team: "billing", service: "renewals", backendServers: ["b1", "b2"] };
const SLOTS = 2;
const LIMIT = 3;
/**
 * Covers the waits for fences, the resending of messages and rotation after all faults have ended.
 */
const RECOVERY_MS = 2 * (FRESH_FOR_MS + MARGIN_MS + MAX_RUN_MS);

interface Published {
  readonly head: heads.Head;
  readonly limit: number;
  readonly groups: ReadonlyMap<string, groups.Group>;
  acceptedAtMs: number | null;
}

interface Process {
  readonly memberId: string;
  readonly incarnation: string;
  readonly member: permits.PermitMember;
  revision: number;
  isFrozen: boolean;
  isDead: boolean;
  waiting: number;
  running: number;
}

interface Request {
  readonly process: Process;
  readonly permit: permits.HeldPermit;
  readonly endAtMs: number;
  isOver: boolean;
}

interface InFlightMessage extends outboxes.Outgoing {
  readonly sender: permits.Sender;
}

function publishedOf(head: heads.Head, limit: number): Published {
  const service = {
    pool: "shops",
    maxRunMs: MAX_RUN_MS,
    maxRequestBytes: 1,
    maxAnswerBytes: 1,
    retryBudgetRatio: 0,
  };
  const server = {
    service: "renewals",
    address: "127.0.0.1:3",
    vm: "vm",
    availabilityZone: "zone-0",
    rack: "rack",
    slots: SLOTS,
    connections: 64,
    draining: false,
  };
  const config: configs.Config = {
    ...configs.emptyConfig(),
    services: { renewals: service },
    backendServers: { b1: server, b2: server },
    limits: { billing: { team: "billing", maxRunningRequests: limit } },
  };
  return { head, limit, groups: groups.groupsOf(config), acceptedAtMs: null };
}

/**
 * Simulates the processes, the history of the head, the messages in flight and the running
 * requests.
 */
class World {
  nowMs = 1;
  /** The team, service and backend servers of every request. */
  request = REQUEST;
  readonly processes: Process[] = [];
  inFlight: InFlightMessage[] = [];
  /** Messages that are not delivered until an action delivers them. */
  delayed: InFlightMessage[] = [];
  /** The type of messages that are always delayed; null for none. */
  blockedType: string | null = null;
  /** The type of messages that are delivered and also copied to the delayed ones; null for none. */
  copiedType: string | null = null;
  requests: Request[] = [];
  maxLimit = LIMIT;
  readonly #published: Published[] = [publishedOf(heads.EMPTY_HEAD, LIMIT)];
  readonly #variant: permits.MemberVariant;
  #incarnations = 0;

  constructor(variant: permits.MemberVariant, memberIds: readonly string[] = MEMBER_IDS) {
    this.#variant = variant;
    this.publish({ members: memberIds.map((memberId) => this.#start(memberId)) });
    this.adoptLatestHeads();
  }

  get latest(): Published {
    return this.#published.at(-1)!;
  }

  processOf(index: number): Process | undefined {
    return this.processes[index % Math.max(1, this.processes.length)];
  }

  publish(change: { members: readonly heads.Member[]; limit?: number }) {
    const { head, limit } = this.latest;
    const revision = head.revision + 1;
    const gone = head.members.filter((member) => !change.members.includes(member));
    const fences = gone.map(({ memberId, incarnation }) => ({
      memberId,
      incarnation,
      revision,
      clean: false,
      withoutMajority: false,
    }));
    const isSameList = gone.length === 0 && change.members.length === head.members.length;
    const next = {
      ...head,
      revision,
      membersRevision: isSameList ? head.membersRevision : revision,
      members: [...change.members],
      fences: [...head.fences, ...fences],
    };
    this.#published.push(publishedOf(next, change.limit ?? limit));
    this.maxLimit = Math.max(this.maxLimit, this.latest.limit);
  }

  fence(index: number) {
    const { members } = this.latest.head;
    const fenced = members[index % Math.max(1, members.length)];
    if (members.length > 1) this.publish({ members: members.filter((it) => it !== fenced) });
  }

  join(index: number) {
    const { members } = this.latest.head;
    const free = MEMBER_IDS.filter((id) => !members.some((member) => member.memberId === id));
    const memberId = free[index % Math.max(1, free.length)];
    if (memberId !== undefined) this.publish({ members: [...members, this.#start(memberId)] });
  }

  /** Ends a process and fences it at once. */
  crash(process: Process) {
    process.isDead = true;
    const { members } = this.latest.head;
    const others = members.filter((it) => it.incarnation !== process.incarnation);
    if (others.length > 0 && others.length < members.length) this.publish({ members: others });
    this.adoptLatestHeads();
  }

  replaceAll() {
    for (const process of this.processes) process.isDead = true;
    this.publish({ members: MEMBER_IDS.map((memberId) => this.#start(memberId)) });
  }

  #start(memberId: string): heads.Member {
    this.#incarnations += 1;
    const incarnation = `${memberId}-${this.#incarnations}`;
    const member = new permits.PermitMember({ memberId, incarnation }, this.#variant);
    for (const process of this.processes) if (process.memberId === memberId) process.isDead = true;
    this.processes.push({
      memberId,
      incarnation,
      member,
      revision: 0,
      isFrozen: false,
      isDead: false,
      waiting: 0,
      running: 0,
    });
    return {
      memberId,
      incarnation,
      peerAddress: "127.0.0.1:1",
      operatorAddress: "127.0.0.1:2",
      availabilityZone: `zone-${MEMBER_IDS.indexOf(memberId) % 2}`,
      leaving: false,
    };
  }

  /**
   * Lets a process adopt a revision, possibly skipping others. A process that finds itself fenced
   * or no longer listed ends.
   */
  adoptHead(process: Process, revision: number) {
    if (process.isFrozen || process.isDead || revision <= process.revision) return;
    const published = this.#published[revision]!;
    if (published.head.membersRevision > 0 && !this.#lists(process, revision)) {
      const wasListed = this.#lists(process, process.revision);
      if (wasListed || published.head.fences.some((it) => it.incarnation === process.incarnation)) {
        process.isDead = true;
      }
      return;
    }
    process.revision = revision;
    const { members, fences, membersRevision } = published.head;
    process.member.setView({ members, fences, membersRevision, groups: published.groups });
    this.#accept();
  }

  adoptLatestHeads() {
    for (const process of this.processes) this.adoptHead(process, this.latest.head.revision);
  }

  #lists(process: Process, revision: number): boolean {
    const members = this.#published[revision]?.head.members ?? [];
    return members.some((member) => member.incarnation === process.incarnation);
  }

  /** Records when heads become accepted: once a majority of their members hold them. */
  #accept() {
    for (const published of this.#published) {
      const { members, revision } = published.head;
      const holding = this.processes.filter((process) =>
        process.revision >= revision && this.#lists(process, revision)
      );
      if (holding.length * 2 <= members.length) continue;
      for (const it of this.#published.slice(0, revision + 1)) it.acceptedAtMs ??= this.nowMs;
    }
  }

  /** Models the staleness bound: false once a newer head has been accepted for `FRESH_FOR_MS`. */
  #isFresh(process: Process): boolean {
    if (process.isFrozen || process.isDead) return false;
    return !this.#published.some((published) =>
      published.head.revision > process.revision && published.acceptedAtMs !== null &&
      published.acceptedAtMs + FRESH_FOR_MS <= this.nowMs
    );
  }

  #acceptedFenceAtMs(process: Process, incarnation: string): number | null {
    const fence = this.#published[process.revision]!.head.fences.find((it) =>
      it.incarnation === incarnation
    );
    return fence === undefined ? null : this.#published[fence.revision]!.acceptedAtMs;
  }

  turn(process: Process) {
    if (process.isFrozen || process.isDead || process.revision === 0) return;
    const { waiting, running } = process;
    const { team, service } = this.request;
    const turn = process.member.advance(this.nowMs, {
      loads: [{ team, service, running, waiting, urgentWaiting: 0 }],
      timing: {
        freshForMs: FRESH_FOR_MS,
        marginMs: MARGIN_MS,
        acceptedAtMs: (incarnation) => this.#acceptedFenceAtMs(process, incarnation),
      },
    });
    const { memberId, incarnation } = process;
    const sender = { memberId, incarnation };
    for (const outgoing of turn.messages) this.inFlight.push({ ...outgoing, sender });
  }

  deliver(envelope: InFlightMessage) {
    const to = this.processes.findLast((it) => it.memberId === envelope.memberId);
    if (to === undefined || to.isFrozen || to.isDead || to.revision === 0) return;
    to.member.receive(structuredClone(envelope.message) as permits.PermitMessage, envelope.sender);
  }

  /** Runs one turn of every process, then delivers messages to the members in the bit mask. */
  runTurn(mask: number) {
    this.elapse(TURN_MS);
    for (const process of this.processes) this.turn(process);
    const isOpen = (envelope: InFlightMessage) =>
      (mask >> MEMBER_IDS.indexOf(envelope.memberId)) % 2 === 1;
    const open = this.inFlight.filter(isOpen);
    this.inFlight = this.inFlight.filter((envelope) => !isOpen(envelope));
    for (const envelope of open) {
      const { type } = envelope.message;
      if (type === this.blockedType || type === this.copiedType) this.delayed.push(envelope);
      if (type !== this.blockedType) this.deliver(envelope);
    }
  }

  /** Runs turns without message loss in which every process starts as many requests as it can. */
  runTurns(rounds: number) {
    for (let round = 0; round < rounds; round += 1) {
      for (const process of this.processes) this.startRequests(process);
      this.runTurn(ALL_MEMBERS);
      this.check();
    }
  }

  startRequests(process: Process) {
    while (process.waiting > 0 && this.#isFresh(process)) {
      const permit = process.member.take(this.request);
      if (permit === null) break;
      process.waiting -= 1;
      process.running += 1;
      this.requests.push({ process, permit, endAtMs: this.nowMs + MAX_RUN_MS, isOver: false });
    }
  }

  /** Ends requests at the backend servers; a frozen process notices that only once it is thawed. */
  end(isEnding: (request: Request) => boolean) {
    for (const request of this.requests) request.isOver ||= isEnding(request);
    const noticed = this.requests.filter((it) => it.isOver && !it.process.isFrozen);
    this.requests = this.requests.filter((request) => !noticed.includes(request));
    for (const { process, permit } of noticed) {
      process.running -= 1;
      process.member.release(permit);
    }
  }

  elapse(durationMs: number) {
    this.nowMs += durationMs;
    this.end((request) => request.endAtMs <= this.nowMs);
  }

  /** The number of requests that actually run against a resource. */
  inUse(resource: string): number {
    return this.requests.filter((it) => !it.isOver && it.permit.resources.includes(resource))
      .length;
  }

  check() {
    for (const backendServer of REQUEST.backendServers) {
      const resource = groups.slotsResource(REQUEST.service, backendServer);
      expect(this.inUse(resource), `running at ${backendServer}`).toBeLessThanOrEqual(SLOTS);
    }
    const running = this.inUse(groups.teamGroup(REQUEST.team));
    expect(running, "running of the team").toBeLessThanOrEqual(this.maxLimit);
  }

  /**
   * Ends all faults, fences dead members, lets all adopt the latest head, and waits for recovery.
   */
  recover() {
    for (const process of this.processes) process.isFrozen = false;
    const isAlive = (member: heads.Member) =>
      this.processes.some((it) => it.incarnation === member.incarnation && !it.isDead);
    this.adoptLatestHeads();
    const members = this.latest.head.members.filter(isAlive);
    if (members.length < this.latest.head.members.length) this.publish({ members });
    if (members.length === 0) this.replaceAll();
    this.inFlight = [];
    this.delayed = [];
    this.blockedType = null;
    this.adoptLatestHeads();
    for (let elapsedMs = 0; elapsedMs < RECOVERY_MS; elapsedMs += TURN_MS) {
      this.runTurn(ALL_MEMBERS);
    }
  }
}

const ALL_MEMBERS = 2 ** MEMBER_IDS.length - 1;

/** The actions of a random step; `pick` selects a member, a message or an amount. */
const ACTIONS: Record<string, (world: World, pick: number) => void> = {
  runTurns: (world, pick) => world.runTurns(1 + pick % 8),
  runTurnPartially: (world, pick) => world.runTurn(pick),
  turn: (world, pick) => {
    const process = world.processOf(pick);
    if (process !== undefined) world.turn(process);
  },
  deliverDelayed: (world, pick) => {
    const [envelope] = world.delayed.splice(pick % Math.max(1, world.delayed.length), 1);
    if (envelope !== undefined) world.deliver(envelope);
  },
  delay: (world, pick) => {
    const index = pick % Math.max(1, world.inFlight.length);
    world.delayed.push(...world.inFlight.splice(index, 1 + pick % 3));
  },
  duplicate: (world, pick) => {
    const envelope = world.inFlight[pick % Math.max(1, world.inFlight.length)];
    if (envelope !== undefined) world.delayed.push(envelope);
  },
  dropMessages: (world, pick) =>
    world.inFlight.splice(pick % Math.max(1, world.inFlight.length), 2),
  freeze: (world, pick) => {
    const process = world.processes.at(-1 - pick % MEMBER_IDS.length);
    if (process !== undefined) process.isFrozen = true;
  },
  thaw: (world) => {
    for (const process of world.processes) process.isFrozen = false;
  },
  die: (world, pick) => {
    const process = world.processes.at(-1 - pick % MEMBER_IDS.length);
    if (process !== undefined && pick < 32) process.isDead = true;
  },
  fence: (world, pick) => world.fence(pick),
  crash: (world, pick) => {
    const process = world.processes.at(-1 - pick % MEMBER_IDS.length);
    if (process !== undefined) world.crash(process);
  },
  fenceTwo: (world, pick) => {
    if (pick >= 32) return;
    world.fence(pick);
    world.fence(pick >> 2);
  },
  join: (world, pick) => world.join(pick),
  changeLimit: (world, pick) => {
    if (pick >= 32) return;
    world.publish({ members: world.latest.head.members, limit: 1 + pick % 5 });
  },
  replaceAll: (world, pick) => {
    if (pick < 16) world.replaceAll();
  },
  adoptHead: (world, pick) => {
    const process = world.processes.at(-1 - pick % MEMBER_IDS.length);
    const { revision } = world.latest.head;
    if (process !== undefined) world.adoptHead(process, Math.max(0, revision - (pick >> 2) % 3));
  },
  adoptLatestHeads: (world) => world.adoptLatestHeads(),
  elapse: (world, pick) => world.elapse(40 * (pick % 16)),
  setWaiting: (world, pick) => {
    const process = world.processes.at(-1 - pick % MEMBER_IDS.length);
    if (process !== undefined) process.waiting = (pick >> 2) % 5;
  },
  start: (world) => {
    for (const process of world.processes) world.startRequests(process);
  },
  finish: (world, pick) => {
    const chosen = world.requests[pick % Math.max(1, world.requests.length)];
    world.end((request) => request === chosen);
  },
};

const WEIGHTS: Record<string, number> = {
  runTurns: 8,
  runTurnPartially: 6,
  start: 6,
  setWaiting: 6,
  adoptLatestHeads: 4,
  join: 3,
  thaw: 2,
  adoptHead: 3,
  turn: 4,
  deliverDelayed: 3,
  delay: 4,
  duplicate: 2,
  finish: 3,
  elapse: 2,
};

const stepArbitrary = fc.tuple(
  fc.oneof(
    ...Object.keys(ACTIONS).map((name) => ({
      weight: WEIGHTS[name] ?? 1,
      arbitrary: fc.constant(name),
    })),
  ),
  fc.nat(63),
);

type Step = [string, number];

function play(world: World, steps: readonly Step[]) {
  for (const [name, pick] of steps) {
    ACTIONS[name]!(world, pick);
    world.check();
  }
}

const STEPS = { minLength: 60, maxLength: 250, size: "max" } as const;

/**
 * Checks that no limit is exceeded after any step and, unless a step of the protocol is disabled,
 * that the whole limit can be used again after the faults have ended.
 */
function property(variant: permits.MemberVariant) {
  return fc.property(fc.array(stepArbitrary, STEPS), (steps) => {
    const world = new World(variant);
    play(world, steps as Step[]);
    if (Object.keys(variant).length > 0) return;
    world.recover();
    world.maxLimit = world.latest.limit;
    world.check();
    for (const process of world.processes) process.waiting = process.isDead ? 0 : 10;
    let mostRunning = 0;
    for (let round = 0; round < 100; round += 1) {
      for (const process of world.processes) world.startRequests(process);
      mostRunning = Math.max(mostRunning, world.inUse(groups.teamGroup(REQUEST.team)));
      world.runTurn(ALL_MEMBERS);
      world.check();
    }
    expect(mostRunning).toBe(Math.min(world.latest.limit, 2 * SLOTS));
  });
}

const TEAM_GROUP = groups.teamGroup(REQUEST.team);
const RENDEZVOUS_ORDER = new rendezvous.Rendezvous(
  MEMBER_IDS.map((memberId) => ({ memberId, availabilityZone: "zone" })),
).orderOf(TEAM_GROUP).map((member) => member.memberId);

/** The coordinator dies after it raised its own allotment while its witness was unreachable. */
function raiseWithoutWitness(variant: permits.MemberVariant) {
  const world = new World(variant);
  world.runTurns(5);
  const coordinator = world.processes.find((it) => it.memberId === RENDEZVOUS_ORDER[0])!;
  coordinator.waiting = 1;
  world.runTurns(10);
  world.blockedType = "witnessRequest";
  coordinator.waiting = 2;
  world.runTurns(10);
  world.crash(coordinator);
  world.blockedType = null;
  for (const process of world.processes) process.waiting = process.isDead ? 0 : 3;
  world.runTurns(20);
}

/** A delayed grant arrives after its coordinator has been replaced. */
function deliverOldTerm(variant: permits.MemberVariant) {
  const [newcomer, ...others] = RENDEZVOUS_ORDER as [string, ...string[]];
  const world = new World(variant, others);
  world.runTurns(5);
  const [slow, busy] = membersOf(world);
  world.blockedType = "permitGrant";
  slow.waiting = 3;
  world.runTurns(5);
  world.blockedType = null;
  slow.waiting = 0;
  world.join(MEMBER_IDS.indexOf(newcomer));
  world.adoptLatestHeads();
  world.runTurns(10);
  busy.waiting = 3;
  world.runTurns(20);
  expect(busy.running).toBe(LIMIT);
  for (const envelope of world.delayed) world.deliver(envelope);
  slow.waiting = 3;
  world.runTurns(20);
}

/** Two members that do not coordinate the team's limit. */
function membersOf(world: World): [Process, Process] {
  return RENDEZVOUS_ORDER.slice(2, 4).map((id) =>
    world.processes.find((process) => process.memberId === id)!
  ) as [Process, Process];
}

/** A copy of an old grant arrives after its permits have been revoked. */
function deliverGrantTwice(variant: permits.MemberVariant) {
  const world = new World(variant);
  const [slow, busy] = membersOf(world);
  world.runTurns(5);
  world.copiedType = "permitGrant";
  slow.waiting = 3;
  for (let round = 0; round < 5; round += 1) world.runTurn(ALL_MEMBERS);
  world.copiedType = null;
  slow.waiting = 0;
  world.runTurns(5);
  busy.waiting = 3;
  world.runTurns(20);
  expect(busy.running).toBe(LIMIT);
  for (const envelope of world.delayed) world.deliver(envelope);
  slow.waiting = 3;
  world.runTurns(20);
}

/** A copy of an old demand report arrives after the member has been granted more permits. */
function deliverReportTwice(variant: permits.MemberVariant) {
  const world = new World(variant);
  const [busy, other] = membersOf(world);
  world.runTurns(5);
  busy.waiting = 1;
  world.runTurns(10);
  world.copiedType = "permitDemand";
  busy.waiting = LIMIT;
  world.runTurns(12);
  world.copiedType = null;
  busy.waiting = Math.max(busy.waiting, LIMIT - busy.running);
  world.runTurns(20);
  expect(busy.running).toBe(LIMIT);
  other.waiting = LIMIT;
  world.runTurns(12);
  for (const envelope of world.delayed) world.deliver(envelope);
  world.runTurns(20);
}

/**
 * A fenced member that has not learned of its fence still acts as coordinator, with an outdated
 * member list that lacks a member which joined later.
 */
function coordinateOutdated(variant: permits.MemberVariant) {
  const world = new World(variant, ["entry-d"]);
  world.request = { ...REQUEST, team: "unlimited" };
  world.runTurns(3);
  world.join(MEMBER_IDS.indexOf("entry-a"));
  const outdated = world.processes.at(-1)!;
  world.adoptHead(outdated, world.latest.head.revision);
  outdated.isFrozen = true;
  world.fence(1);
  world.join(MEMBER_IDS.indexOf("entry-c"));
  world.adoptLatestHeads();
  const newcomer = world.processes.at(-1)!;
  newcomer.waiting = 2 * SLOTS;
  world.runTurns(10);
  expect(newcomer.running).toBe(2 * SLOTS);
  outdated.isFrozen = false;
  outdated.waiting = 2 * SLOTS;
  world.runTurns(20);
}

describe("permit protocol under faults", () => {
  it.each([{ seed: 11 }, { seed: 12 }, { seed: 13 }, { seed: 14 }])(
    "never exceeds a limit and recovers all permits, seed $seed",
    ({ seed }) => {
      fc.assert(property({}), { seed, numRuns: 200 });
    },
  );

  it.each<{ variant: permits.MemberVariant }>([
    { variant: { skipsQuarantine: true } },
    { variant: { skipsReports: true } },
    { variant: { ignoresUnreportedPermits: true } },
    { variant: { debitsOnAcknowledgement: true } },
  ])("exceeds a limit when a protocol step is disabled: $variant", ({ variant }) => {
    const outcome = fc.check(property(variant), { seed: 1, numRuns: 1_000, endOnFailure: true });
    expect(String(outcome.errorInstance)).toContain("running");
  });

  it.each<{ scenario: (variant: permits.MemberVariant) => void; variant: permits.MemberVariant }>([
    { scenario: raiseWithoutWitness, variant: { skipsWitness: true } },
    { scenario: deliverOldTerm, variant: { ignoresTerms: true } },
    { scenario: coordinateOutdated, variant: { answersOutdatedCoordinators: true } },
    { scenario: deliverGrantTwice, variant: { ignoresGrantSeq: true } },
    { scenario: deliverReportTwice, variant: { ignoresAcknowledgedSeq: true } },
  ])("stays within limits in $scenario.name, but not with $variant", ({ scenario, variant }) => {
    scenario({});
    expect(() => scenario(variant)).toThrow("running");
  });
});
