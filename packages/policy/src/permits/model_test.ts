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
/** Covers the waits for fences, unanswered messages and rotation after all faults have ended. */
const HEAL_MS = 2 * (FRESH_FOR_MS + MARGIN_MS + MAX_RUN_MS);

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

/** Processes, the head's history, a network that keeps every message, and the requests that run. */
class World {
  nowMs = 1;
  /** What every request asks for. */
  request = REQUEST;
  readonly processes: Process[] = [];
  inFlight: InFlightMessage[] = [];
  /** Messages that are held up until an action delivers them. */
  delayed: InFlightMessage[] = [];
  /** Messages of this type are held up from the start. */
  blockedType: string | null = null;
  /** Messages of this type are delivered, and once more when an action delivers what is late. */
  copiedType: string | null = null;
  requests: Request[] = [];
  highestLimit = LIMIT;
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
    this.highestLimit = Math.max(this.highestLimit, this.latest.limit);
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

  /** A process dies and is fenced at once. */
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

  /** Moves a process to a revision, perhaps past others; a fenced one goes on no more. */
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

  /** A head is accepted once a majority of its members hold it. */
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

  /** Fresh as long as the rule of freshness allows: until a newer head has been in force for a while. */
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

  deliver(letter: InFlightMessage) {
    const to = this.processes.findLast((it) => it.memberId === letter.memberId);
    if (to === undefined || to.isFrozen || to.isDead || to.revision === 0) return;
    to.member.receive(structuredClone(letter.message) as permits.PermitMessage, letter.sender);
  }

  /** One turn of every process, then delivery of the messages to those that `mask` names. */
  flow(mask: number) {
    this.elapse(TURN_MS);
    for (const process of this.processes) this.turn(process);
    const isOpen = (letter: InFlightMessage) =>
      (mask >> MEMBER_IDS.indexOf(letter.memberId)) % 2 === 1;
    const open = this.inFlight.filter(isOpen);
    this.inFlight = this.inFlight.filter((letter) => !isOpen(letter));
    for (const letter of open) {
      const { type } = letter.message;
      if (type === this.blockedType || type === this.copiedType) this.delayed.push(letter);
      if (type !== this.blockedType) this.deliver(letter);
    }
  }

  /** Rounds without loss in which requests start wherever they may. */
  run(rounds: number) {
    for (let round = 0; round < rounds; round += 1) {
      for (const process of this.processes) this.startRequests(process);
      this.flow(ALL);
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

  /** Ends requests at the backend servers; a process that is frozen learns of it after its thaw. */
  end(isEnding: (request: Request) => boolean) {
    for (const request of this.requests) request.isOver ||= isEnding(request);
    const told = this.requests.filter((it) => it.isOver && !it.process.isFrozen);
    this.requests = this.requests.filter((request) => !told.includes(request));
    for (const { process, permit } of told) {
      process.running -= 1;
      process.member.release(permit);
    }
  }

  elapse(durationMs: number) {
    this.nowMs += durationMs;
    this.end((request) => request.endAtMs <= this.nowMs);
  }

  /** What really runs against each resource. */
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
    expect(running, "running of the team").toBeLessThanOrEqual(this.highestLimit);
  }

  /** Ends all faults and waits; dead members are fenced, and all hold the latest head. */
  heal() {
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
    for (let elapsedMs = 0; elapsedMs < HEAL_MS; elapsedMs += TURN_MS) this.flow(ALL);
  }
}

const ALL = 2 ** MEMBER_IDS.length - 1;

/** What may happen in a step; the number picks a member, a message or an amount. */
const ACTIONS: Record<string, (world: World, pick: number) => void> = {
  flow: (world, pick) => world.run(1 + pick % 8),
  partialFlow: (world, pick) => world.flow(pick),
  turn: (world, pick) => {
    const process = world.processOf(pick);
    if (process !== undefined) world.turn(process);
  },
  deliverDelayed: (world, pick) => {
    const [letter] = world.delayed.splice(pick % Math.max(1, world.delayed.length), 1);
    if (letter !== undefined) world.deliver(letter);
  },
  delay: (world, pick) => {
    const index = pick % Math.max(1, world.inFlight.length);
    world.delayed.push(...world.inFlight.splice(index, 1 + pick % 3));
  },
  duplicate: (world, pick) => {
    const letter = world.inFlight[pick % Math.max(1, world.inFlight.length)];
    if (letter !== undefined) world.delayed.push(letter);
  },
  lose: (world, pick) => world.inFlight.splice(pick % Math.max(1, world.inFlight.length), 2),
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
  learn: (world, pick) => {
    const process = world.processes.at(-1 - pick % MEMBER_IDS.length);
    const { revision } = world.latest.head;
    if (process !== undefined) world.adoptHead(process, Math.max(0, revision - (pick >> 2) % 3));
  },
  learnAll: (world) => world.adoptLatestHeads(),
  elapse: (world, pick) => world.elapse(40 * (pick % 16)),
  want: (world, pick) => {
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
  flow: 8,
  partialFlow: 6,
  start: 6,
  want: 6,
  learnAll: 4,
  join: 3,
  thaw: 2,
  learn: 3,
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

/** Safety at every step; then, faults over, all of the total runs again. */
function property(variant: permits.MemberVariant) {
  return fc.property(fc.array(stepArbitrary, STEPS), (steps) => {
    const world = new World(variant);
    play(world, steps as Step[]);
    if (Object.keys(variant).length > 0) return;
    world.heal();
    world.highestLimit = world.latest.limit;
    world.check();
    for (const process of world.processes) process.waiting = process.isDead ? 0 : 10;
    let mostRunning = 0;
    for (let round = 0; round < 100; round += 1) {
      for (const process of world.processes) world.startRequests(process);
      mostRunning = Math.max(mostRunning, world.inUse(groups.teamGroup(REQUEST.team)));
      world.flow(ALL);
      world.check();
    }
    expect(mostRunning).toBe(Math.min(world.latest.limit, 2 * SLOTS));
  });
}

const TEAM_GROUP = groups.teamGroup(REQUEST.team);
const RENDEZVOUS_ORDER = new rendezvous.Rendezvous(
  MEMBER_IDS.map((memberId) => ({ memberId, availabilityZone: "zone" })),
).orderOf(TEAM_GROUP).map((member) => member.memberId);

/** The coordinator dies after it raised its own allotment while the witness could not be reached. */
function raiseWithoutWitness(variant: permits.MemberVariant) {
  const world = new World(variant);
  world.run(5);
  const coordinator = world.processes.find((it) => it.memberId === RENDEZVOUS_ORDER[0])!;
  coordinator.waiting = 1;
  world.run(10);
  world.blockedType = "witnessRequest";
  coordinator.waiting = 2;
  world.run(10);
  world.crash(coordinator);
  world.blockedType = null;
  for (const process of world.processes) process.waiting = process.isDead ? 0 : 3;
  world.run(20);
}

/** A grant arrives after its coordinator has been replaced. */
function deliverOldTerm(variant: permits.MemberVariant) {
  const [newcomer, ...others] = RENDEZVOUS_ORDER as [string, ...string[]];
  const world = new World(variant, others);
  world.run(5);
  const [slow, busy] = membersOf(world);
  world.blockedType = "permitGrant";
  slow.waiting = 3;
  world.run(5);
  world.blockedType = null;
  slow.waiting = 0;
  world.join(MEMBER_IDS.indexOf(newcomer));
  world.adoptLatestHeads();
  world.run(10);
  busy.waiting = 3;
  world.run(20);
  expect(busy.running).toBe(LIMIT);
  for (const letter of world.delayed) world.deliver(letter);
  slow.waiting = 3;
  world.run(20);
}

/** Two members that never coordinate the limit of the team. */
function membersOf(world: World): [Process, Process] {
  return RENDEZVOUS_ORDER.slice(2, 4).map((id) =>
    world.processes.find((process) => process.memberId === id)!
  ) as [Process, Process];
}

/** An old grant arrives again after its permits have been taken back. */
function deliverGrantTwice(variant: permits.MemberVariant) {
  const world = new World(variant);
  const [slow, busy] = membersOf(world);
  world.run(5);
  world.copiedType = "permitGrant";
  slow.waiting = 3;
  for (let round = 0; round < 5; round += 1) world.flow(ALL);
  world.copiedType = null;
  slow.waiting = 0;
  world.run(5);
  busy.waiting = 3;
  world.run(20);
  expect(busy.running).toBe(LIMIT);
  for (const letter of world.delayed) world.deliver(letter);
  slow.waiting = 3;
  world.run(20);
}

/** An old report arrives again after the member has been granted more. */
function deliverReportTwice(variant: permits.MemberVariant) {
  const world = new World(variant);
  const [busy, other] = membersOf(world);
  world.run(5);
  busy.waiting = 1;
  world.run(10);
  world.copiedType = "permitDemand";
  busy.waiting = LIMIT;
  world.run(12);
  world.copiedType = null;
  busy.waiting = Math.max(busy.waiting, LIMIT - busy.running);
  world.run(20);
  expect(busy.running).toBe(LIMIT);
  other.waiting = LIMIT;
  world.run(12);
  for (const letter of world.delayed) world.deliver(letter);
  world.run(20);
}

/**
 * A member that was listed for a while, and has not seen that it is fenced, takes itself for the
 * coordinator; it knows nothing of a member that joined after it.
 */
function coordinateOutdated(variant: permits.MemberVariant) {
  const world = new World(variant, ["entry-d"]);
  world.request = { ...REQUEST, team: "unlimited" };
  world.run(3);
  world.join(MEMBER_IDS.indexOf("entry-a"));
  const outdated = world.processes.at(-1)!;
  world.adoptHead(outdated, world.latest.head.revision);
  outdated.isFrozen = true;
  world.fence(1);
  world.join(MEMBER_IDS.indexOf("entry-c"));
  world.adoptLatestHeads();
  const newcomer = world.processes.at(-1)!;
  newcomer.waiting = 2 * SLOTS;
  world.run(10);
  expect(newcomer.running).toBe(2 * SLOTS);
  outdated.isFrozen = false;
  outdated.waiting = 2 * SLOTS;
  world.run(20);
}

describe("permits under faults", () => {
  it.each([{ seed: 11 }, { seed: 12 }, { seed: 13 }, { seed: 14 }])(
    "hold with seed $seed",
    ({ seed }) => {
      fc.assert(property({}), { seed, numRuns: 200 });
    },
  );

  it.each<{ variant: permits.MemberVariant }>([
    { variant: { skipsQuarantine: true } },
    { variant: { skipsReports: true } },
    { variant: { ignoresUnreportedPermits: true } },
    { variant: { debitsOnAcknowledgement: true } },
  ])("break with $variant", ({ variant }) => {
    const outcome = fc.check(property(variant), { seed: 1, numRuns: 1_000, endOnFailure: true });
    expect(String(outcome.errorInstance)).toContain("running");
  });

  it.each<{ scenario: (variant: permits.MemberVariant) => void; variant: permits.MemberVariant }>([
    { scenario: raiseWithoutWitness, variant: { skipsWitness: true } },
    { scenario: deliverOldTerm, variant: { ignoresTerms: true } },
    { scenario: coordinateOutdated, variant: { answersOutdatedCoordinators: true } },
    { scenario: deliverGrantTwice, variant: { ignoresGrantSeq: true } },
    { scenario: deliverReportTwice, variant: { ignoresAcknowledgedSeq: true } },
  ])("hold in $scenario.name and break with $variant", ({ scenario, variant }) => {
    scenario({});
    expect(() => scenario(variant)).toThrow("running");
  });
});
