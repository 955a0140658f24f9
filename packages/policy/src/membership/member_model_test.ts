import { head as headRecord, type peer } from "@jackdawlink/schema";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { describe, expect, it } from "vitest";
import * as headChanges from "./head_changes.ts";
import * as memberState from "./member_state.ts";

const MEMBER_COUNT = 9;
const STEP_MS = 50;
const RUN_MS = 120_000;
const LEASE_MS = 6_000;
const POLL_MS = 1_000;
const SETTLE_LIMIT_MS = 60_000;
const HEARTBEAT_MS = 500;
/** Two steps: one for a message to arrive, one for the check to notice an action. */
const MARGIN_MS = 2 * STEP_MS;
const MAX_STORE_OUTAGE_MS = 40_000;

const RULES = memberState.rulesOf({
  heartbeatMs: HEARTBEAT_MS,
  freshForMs: 2_500,
  suspectAfterMs: 3_000,
  memberLeaseSeconds: LEASE_MS / 1_000,
  maxStoreOutageMs: MAX_STORE_OUTAGE_MS,
});

/**
 * A variant of the freshness rule. The model must show that each variant other than the production
 * rule either lets processes act on outdated revisions or makes them unfresh too often.
 */
interface FreshnessVariant {
  /** Counts a revision as accepted as soon as it is written to the store. */
  readonly acceptedOnWrite: boolean;
  isFresh(state: memberState.MemberState, nowMs: number): boolean;
}

const PRODUCTION: FreshnessVariant = {
  acceptedOnWrite: false,
  isFresh: (state, nowMs) => state.freshnessSource(nowMs) !== null,
};

const FRESHNESS_VARIANTS: Record<
  "production" | "acceptedOnWrite" | "anyPeer" | "storeAlone",
  FreshnessVariant
> = {
  production: PRODUCTION,
  acceptedOnWrite: { ...PRODUCTION, acceptedOnWrite: true },
  anyPeer: {
    ...PRODUCTION,
    isFresh: (state, nowMs) => PRODUCTION.isFresh(state, nowMs) || hasAnyPeerContact(state, nowMs),
  },
  storeAlone: {
    ...PRODUCTION,
    isFresh: (state, nowMs) => state.isListed() && state.freshnessSource(nowMs) === "store",
  },
};

function hasAnyPeerContact(state: memberState.MemberState, nowMs: number): boolean {
  return state.isListed() && state.head().members.some((member) => {
    const atMs = state.freshness().lastContactAtMs(member.memberId, member.incarnation);
    return atMs !== null && nowMs - atMs <= RULES.freshForMs;
  });
}

/** A seeded source of random integers and choices. */
class RandomSource {
  readonly #generator;

  constructor(seed: number) {
    this.#generator = xoroshiro128plus(seed);
  }

  below(limit: number): number {
    return (this.#generator.next() >>> 0) % limit;
  }

  chance(oneIn: number): boolean {
    return this.below(oneIn) === 0;
  }
}

interface Envelope {
  readonly from: number;
  readonly to: number;
  readonly message: peer.Heartbeat | headRecord.Head;
  readonly arrivesAtMs: number;
}

interface Process {
  state: memberState.MemberState;
  /** The start of this process's clock; the clocks of processes differ. */
  bootedAtMs: number;
  /** How far its wall clock has been set forward. */
  aheadMs: number;
  frozenUntilMs: number;
  nextPollAtMs: number;
  nextHeartbeatAtMs: number;
  deadUntilMs: number;
}

interface Outcome {
  maxStalenessMs: number;
  actingSteps: number;
  unfreshSteps: number;
  fences: number;
  takeovers: number;
  joins: number;
}

/**
 * Simulates nine processes, one store and the network between them, in steps of {@link STEP_MS}.
 */
class Model {
  readonly outcome: Outcome = {
    maxStalenessMs: 0,
    actingSteps: 0,
    unfreshSteps: 0,
    fences: 0,
    takeovers: 0,
    joins: 0,
  };
  readonly #random: RandomSource;
  readonly #variant: FreshnessVariant;
  readonly #processes: Process[];
  readonly #leases = new Map<string, number>();
  readonly #acceptedAtMs: { revision: number; atMs: number }[] = [];
  readonly #storeOutUntilMs: number[] = Array(MEMBER_COUNT).fill(0);
  #storeHead = headRecord.EMPTY_HEAD;
  #inTransit: Envelope[] = [];
  #sideOf: number[] = Array(MEMBER_COUNT).fill(0);
  #isOneWay = false;
  #incarnationCount = 0;
  #nowMs = 0;

  constructor(seed: number, variant: FreshnessVariant) {
    this.#random = new RandomSource(seed);
    this.#variant = variant;
    this.#processes = Array.from({ length: MEMBER_COUNT }, (_, index) => this.#boot(index));
  }

  /** Runs without faults until all processes are listed. */
  settle(): void {
    this.stepUntilListed(MEMBER_COUNT);
    this.outcome.maxStalenessMs = 0;
  }

  /** Runs without faults until `count` of the running incarnations are listed. */
  stepUntilListed(count: number): void {
    const deadlineMs = this.#nowMs + SETTLE_LIMIT_MS;
    while (this.#processes.filter(({ state }) => state.isListed()).length < count) {
      this.step();
      if (this.#nowMs > deadlineMs) {
        throw new Error(`fewer than ${count} members joined within ${SETTLE_LIMIT_MS} ms`);
      }
    }
  }

  run(durationMs: number, hazards: (model: Model) => void): Outcome {
    const endMs = this.#nowMs + durationMs;
    while (this.#nowMs < endMs) {
      hazards(this);
      this.step();
    }
    return this.outcome;
  }

  randomHazards(): void {
    const index = this.#random.below(MEMBER_COUNT);
    const handlers = [
      () => this.partition(this.#someIndexes(), { isOneWay: this.#random.chance(3) }),
      () => this.heal(),
      () => this.heal(),
      () => this.isolate(this.#someIndexes(), this.#random.below(90_000)),
      () => this.storeOut([index], this.#random.below(20_000)),
      () => this.storeOut(ALL, this.#random.below(30_000)),
      () => this.freeze(index, this.#random.below(15_000)),
      () => this.restart(index, this.#random.below(3_000)),
      () => this.publish(),
      () => this.publish(),
    ];
    if (this.#random.chance(15)) {
      handlers[this.#random.below(handlers.length)]?.();
    }
  }

  partition(indexes: readonly number[], { isOneWay }: { isOneWay: boolean }): void {
    this.#sideOf = ALL.map((index) => indexes.includes(index) ? 1 : 0);
    this.#isOneWay = isOneWay;
  }

  /** Cuts some processes off from the others and from the store. */
  isolate(indexes: readonly number[], durationMs: number): void {
    this.partition(indexes, { isOneWay: false });
    this.storeOut(indexes, durationMs);
  }

  #someIndexes(): readonly number[] {
    return ALL.filter(() => this.#random.chance(2));
  }

  heal(): void {
    this.#sideOf.fill(0);
  }

  storeOut(indexes: readonly number[], durationMs: number): void {
    indexes.forEach((index) => this.#storeOutUntilMs[index] = this.#nowMs + durationMs);
  }

  freeze(index: number, durationMs: number): void {
    this.#process(index).frozenUntilMs = this.#nowMs + durationMs;
  }

  setWallClocksForward(jumpMs: number): void {
    this.#processes.forEach((process) => process.aheadMs += jumpMs);
  }

  restart(index: number, downMs: number): void {
    this.#processes[index] = { ...this.#boot(index), deadUntilMs: this.#nowMs + downMs };
  }

  publish(): void {
    const revision = this.#storeHead.revision + 1;
    this.#storeHead = { ...this.#storeHead, revision, configRevision: revision };
    if (this.#variant.acceptedOnWrite) {
      this.#acceptedAtMs.push({ revision, atMs: this.#nowMs });
    }
  }

  listedIndexes(): readonly number[] {
    return this.#storeHead.members.map(({ memberId }) => Number(memberId.split("-")[1]));
  }

  acceptedRevision(): number {
    return this.#acceptedAtMs.at(-1)?.revision ?? 0;
  }

  storeRevision(): number {
    return this.#storeHead.revision;
  }

  step(): void {
    this.#nowMs += STEP_MS;
    this.#deliver();
    this.#processes.forEach((process, index) => {
      if (this.#isRunning(process)) {
        this.#turn(process, index);
      }
    });
    this.#processes.forEach((process) => this.#checkProcess(process));
  }

  #boot(index: number): Process {
    const state = new memberState.MemberState({
      identity: {
        memberId: `entry-${index}`,
        peerAddress: `127.0.0.1:${7000 + index}`,
        operatorAddress: `127.0.0.1:${8000 + index}`,
        availabilityZone: "zone-a",
      },
      incarnation: this.#newIncarnation(),
      rules: RULES,
    });
    return {
      state,
      bootedAtMs: this.#nowMs - this.#random.below(1_000_000),
      aheadMs: 0,
      frozenUntilMs: 0,
      nextPollAtMs: 0,
      nextHeartbeatAtMs: 0,
      deadUntilMs: 0,
    };
  }

  #newIncarnation(): string {
    return `incarnation-${++this.#incarnationCount}`;
  }

  #process(index: number): Process {
    const process = this.#processes[index];
    if (process === undefined) {
      throw new Error(`no process ${index}`);
    }
    return process;
  }

  #isRunning(process: Process): boolean {
    return process.frozenUntilMs <= this.#nowMs && process.deadUntilMs <= this.#nowMs;
  }

  #ownTime(process: Process): number {
    return this.#nowMs - process.bootedAtMs + process.aheadMs;
  }

  #readings(process: Process): memberState.ClockReadings {
    const nowMs = this.#ownTime(process);
    return { nowMs, steadyMs: nowMs - process.aheadMs };
  }

  #turn(process: Process, index: number): void {
    if (this.#nowMs >= process.nextPollAtMs) {
      process.nextPollAtMs = this.#nowMs + POLL_MS + this.#random.below(200);
      this.#poll(process, index);
    }
    if (this.#nowMs >= process.nextHeartbeatAtMs) {
      process.nextHeartbeatAtMs = this.#nowMs + HEARTBEAT_MS;
      this.#sendHeartbeats(process, index);
    }
  }

  #poll(process: Process, index: number): void {
    if ((this.#storeOutUntilMs[index] ?? 0) > this.#nowMs) {
      return;
    }
    const { state } = process;
    this.#hold(process, this.#storeHead);
    this.#leases.set(state.incarnation(), this.#nowMs + LEASE_MS);
    const alive = [...this.#leases].filter(([, untilMs]) => untilMs > this.#nowMs);
    state.recordRead({
      startedAtMs: this.#ownTime(process),
      revision: this.#storeHead.revision,
      aliveIncarnations: new Set(alive.map(([incarnation]) => incarnation)),
    });
    this.#decide(process);
  }

  #decide(process: Process): void {
    const decision = process.state.decide({
      ...this.#readings(process),
      draining: false,
      canLeave: false,
      fenceWaitMs: 10_000,
    });
    if (decision === null || process.state.head().revision !== this.#storeHead.revision) {
      return;
    }
    this.outcome.joins += decision.kind === "join" ? 1 : 0;
    this.outcome.fences += decision.kind === "fence" ? 1 : 0;
    this.outcome.takeovers += decision.kind === "fence" && decision.withoutMajority ? 1 : 0;
    const self = process.state.selfMember();
    const edit = headChanges.editOf(this.#storeHead, { decision, self });
    const revision = this.#storeHead.revision + 1;
    const membersRevision = edit.members === undefined ? this.#storeHead.membersRevision : revision;
    this.#storeHead = { ...this.#storeHead, ...edit, revision, membersRevision };
    if (!this.#random.chance(10)) {
      this.#hold(process, this.#storeHead);
    }
  }

  #hold(process: Process, head: headRecord.Head): void {
    const { wasRemoved } = process.state.adoptHead(head, this.#readings(process).steadyMs);
    if (wasRemoved) {
      process.state.restartAs(this.#newIncarnation());
    }
  }

  #sendHeartbeats(process: Process, index: number): void {
    for (const to of ALL.filter((other) => other !== index)) {
      const message = process.state.heartbeatFor(`entry-${to}`, {
        ...this.#readings(process),
        draining: false,
      });
      this.#send(index, to, message);
    }
  }

  #send(from: number, to: number, message: Envelope["message"]): void {
    if (!this.#isCut(from, to) && !this.#random.chance(30)) {
      const arrivesAtMs = this.#nowMs + STEP_MS + (this.#random.chance(20) ? 1_000 : 0);
      this.#inTransit.push({ from, to, message, arrivesAtMs });
    }
  }

  #isCut(from: number, to: number): boolean {
    const [fromSide = 0, toSide = 0] = [this.#sideOf[from], this.#sideOf[to]];
    return this.#isOneWay ? fromSide < toSide : fromSide !== toSide;
  }

  /**
   * Delivers due messages; those to a frozen process stay in transit, those to a dead one are lost.
   */
  #deliver(): void {
    const waiting: Envelope[] = [];
    for (const envelope of this.#inTransit) {
      const target = this.#process(envelope.to);
      if (envelope.arrivesAtMs > this.#nowMs || target.frozenUntilMs > this.#nowMs) {
        waiting.push(envelope);
      } else if (this.#isRunning(target)) {
        this.#receive(target, envelope);
      }
    }
    this.#inTransit = waiting;
  }

  #receive(target: Process, { from, to, message }: Envelope): void {
    if (!("type" in message)) {
      this.#hold(target, message);
      return;
    }
    const { hasHigherRevision } = target.state.receiveHeartbeat(message, {
      memberId: `entry-${from}`,
      ...this.#readings(target),
    });
    if (hasHigherRevision) {
      this.#send(from, to, this.#process(from).state.head());
    }
  }

  /** Records how outdated the revision is that a fresh process may act on. */
  #checkProcess(process: Process): void {
    if (!this.#isRunning(process)) {
      return;
    }
    const { state } = process;
    const isFresh = this.#variant.isFresh(state, this.#ownTime(process));
    this.outcome.actingSteps += 1;
    this.outcome.unfreshSteps += isFresh ? 0 : 1;
    this.#recordAccepted(state);
    if (isFresh) {
      const newer = this.#acceptedAtMs.find(({ revision }) => revision > state.head().revision);
      const stalenessMs = newer === undefined ? 0 : this.#nowMs - newer.atMs;
      this.outcome.maxStalenessMs = Math.max(this.outcome.maxStalenessMs, stalenessMs);
    }
  }

  #recordAccepted(state: memberState.MemberState): void {
    const revision = state.acceptedRevision();
    const last = this.#acceptedAtMs.at(-1)?.revision ?? 0;
    if (revision > last) {
      this.#acceptedAtMs.push({ revision, atMs: this.#nowMs });
    }
  }
}

const ALL: readonly number[] = Array.from({ length: MEMBER_COUNT }, (_, index) => index);
const SEEDS: readonly number[] = Array.from({ length: 40 }, (_, index) => index + 1);

function runRandom(seed: number, variant: FreshnessVariant): Outcome {
  const model = new Model(seed, variant);
  model.settle();
  return model.run(RUN_MS, (running) => running.randomHazards());
}

function maxStalenessMs(variant: FreshnessVariant): number {
  return Math.max(...SEEDS.map((seed) => runRandom(seed, variant).maxStalenessMs));
}

/** Publishes a revision every second, so that held revisions are always about to be superseded. */
function publishing(durationMs: number): (model: Model) => void {
  let steps = 0;
  return (model) => {
    steps += 1;
    if (steps * STEP_MS <= durationMs && steps % (1_000 / STEP_MS) === 0) {
      model.publish();
    }
  };
}

interface Scenario {
  readonly name: string;
  /** Runs the faults and returns whether the situation that the scenario is about was reached. */
  play(model: Model): boolean;
}

const SCENARIOS: readonly Scenario[] = [
  {
    name: "one process reaches the store while the others reach only each other",
    play: (model) => {
      model.settle();
      model.isolate(ALL.slice(1), 3 * MAX_STORE_OUTAGE_MS);
      model.run(2 * MAX_STORE_OUTAGE_MS, publishing(2 * MAX_STORE_OUTAGE_MS - 5_000));
      return model.outcome.takeovers === 1 && model.acceptedRevision() === model.storeRevision();
    },
  },
  {
    name: "two of the first three members are cut off while the others join",
    play: (model) => {
      model.stepUntilListed(3);
      model.isolate(model.listedIndexes().slice(1), 30_000);
      model.run(30_000, publishing(30_000));
      return model.storeRevision() > 3;
    },
  },
  {
    name: "a process that held the newest revision restarts among four that did not",
    play: (model) => {
      model.settle();
      model.isolate([5, 6, 7, 8], 60_000);
      model.run(4_000, publishing(1_000));
      model.storeOut(ALL, 60_000);
      model.restart(0, 0);
      model.partition([0, 5, 6, 7, 8], { isOneWay: false });
      model.run(20_000, () => undefined);
      return model.acceptedRevision() === model.storeRevision();
    },
  },
];

describe("membership under partitions, store outages, freezes and restarts", () => {
  it.each(SEEDS)(
    "no process acts on a superseded revision for longer than the staleness bound, seed %i",
    (seed) => {
      const outcome = runRandom(seed, FRESHNESS_VARIANTS.production);
      expect(outcome.maxStalenessMs).toBeLessThanOrEqual(RULES.freshForMs + MARGIN_MS);
    },
  );

  it.each(SCENARIOS)(
    "no process acts on a superseded revision for longer than the staleness bound: $name",
    ({ play }) => {
      for (const seed of SEEDS.slice(0, 5)) {
        const model = new Model(seed, FRESHNESS_VARIANTS.production);
        expect(play(model)).toBe(true);
        expect(model.outcome.maxStalenessMs).toBeLessThanOrEqual(RULES.freshForMs + MARGIN_MS);
      }
    },
  );

  it.each(["acceptedOnWrite", "anyPeer"] as const)(
    "shows that the rule %s is unsafe",
    (variant) => {
      expect(maxStalenessMs(FRESHNESS_VARIANTS[variant])).toBeGreaterThan(
        RULES.freshForMs + MARGIN_MS,
      );
    },
  );

  it.each(
    [
      { variant: "production", maxUnfreshShare: 0.01, minUnfreshShare: 0 },
      { variant: "storeAlone", maxUnfreshShare: 1, minUnfreshShare: 0.5 },
    ] as const,
  )(
    "keeps the share of unfresh steps within bounds during a store outage: $variant",
    (expected) => {
      const shares = SEEDS.slice(0, 10).map((seed) => {
        const model = new Model(seed, FRESHNESS_VARIANTS[expected.variant]);
        model.settle();
        model.run(5_000, () => undefined);
        model.storeOut(ALL, 30_000);
        Object.assign(model.outcome, { actingSteps: 0, unfreshSteps: 0 });
        const { unfreshSteps, actingSteps } = model.run(30_000, () => undefined);
        return unfreshSteps / actingSteps;
      });
      const mean = shares.reduce((sum, share) => sum + share, 0) / shares.length;
      expect(mean).toBeLessThanOrEqual(expected.maxUnfreshShare);
      expect(mean).toBeGreaterThanOrEqual(expected.minUnfreshShare);
    },
  );

  it.each(SEEDS.slice(0, 5))(
    "fences no process when all wall clocks are set forward, seed %i",
    (seed) => {
      const model = new Model(seed, FRESHNESS_VARIANTS.production);
      model.settle();
      model.run(5_000, () => undefined);
      const { fences } = model.outcome;
      for (let jump = 0; jump < 10; jump++) {
        model.setWallClocksForward(6_000);
        model.run(3_000, () => undefined);
      }
      expect(model.outcome.fences).toBe(fences);
      expect(model.listedIndexes()).toHaveLength(MEMBER_COUNT);
    },
  );

  it.each(SEEDS.slice(0, 5))(
    "lists all processes again after all restart at once, seed %i",
    (seed) => {
      const model = new Model(seed, FRESHNESS_VARIANTS.production);
      model.settle();
      ALL.forEach((index) => model.restart(index, 1_000));
      model.settle();
      expect(model.listedIndexes()).toEqual(ALL);
    },
  );
});
