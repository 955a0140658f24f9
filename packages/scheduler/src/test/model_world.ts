/**
 * Runs nodes with the real scheduler against models of the store, the workers and the VMs, in simulated
 * time. A witness sees every start of a task.
 *
 * @module
 */
import * as adapters from "@jackdawlink/adapters";
import * as policy from "@jackdawlink/policy";
import * as schema from "@jackdawlink/schema";
import * as testing from "@jackdawlink/testing";
import { ok } from "neverthrow";
import { afterEach, beforeEach, vi } from "vitest";
import { Handover } from "../handover.ts";
import { JobStore } from "../job_store.ts";
import { NodeMetrics } from "../metrics.ts";
import { OwnerTerm } from "../owner_term.ts";
import { Ownership } from "../ownership.ts";
import * as storeKeys from "../store_keys.ts";

const TOTAL = { cpuMillicores: 16_000, memoryMb: 32_768, gpuCount: 0 };
const MAX_ATTEMPTS = 3;
const WORKSPACE_LIMIT = { cpuMillicores: 60_000, memoryMb: 0, gpuCount: 0 };
const CANCEL_RETRY_INTERVAL_MS = 250;
const RESTART_DELAY_MS = 600;
/** A node is in touch once the store has served it for this long. */
const CONTACT_MS = 3_000;
const PEER_LATENCY_MS = 2;

const CLOCK = testing.schedulingFixtures.TIMER_CLOCK;
const SILENT = adapters.log.SILENT_LOG;

const CONFIG: schema.scheduling.SchedulingConfig = {
  version: 1,
  maxBodyBytes: 1_000_000,
  queues: [
    testing.schedulingFixtures.queue("quick", { pool: "pool-a", maxAttempts: MAX_ATTEMPTS }),
    testing.schedulingFixtures.queue("batch", { pool: "pool-b", maxAttempts: MAX_ATTEMPTS }),
  ],
  pools: [
    { name: "pool-a", isStandby: false },
    { name: "pool-b", isStandby: false },
    { name: "spare", isStandby: true },
  ],
  workspaces: [{
    name: "acme",
    keys: ["k"],
    weight: 100,
    limit: WORKSPACE_LIMIT,
  }],
};

/** The documents of the model store. */
export const DOCUMENTS = testing.schedulingFixtures.documents({
  decodeConfig: () => ok(CONFIG),
  decodeWorker: (_key, text) => ok(JSON.parse(text) as schema.scheduling.WorkerInfo),
  decodeWave: (text) => ok(JSON.parse(text) as schema.scheduling.MaintenanceWave),
});

/** One node process, which can be killed and started again: takes part in the election, and schedules. */
export class ModelNode {
  readonly name: string;
  readonly #world: World;
  readonly #strength: number;
  #wallClockOffsetMs = 0;
  #isAlive = false;
  #ownership: Ownership | undefined;
  #handover: Handover | undefined;
  #term: OwnerTerm | undefined;
  #startCount = 0;

  constructor(name: string, { world, strength }: { world: World; strength: number }) {
    this.name = name;
    this.#world = world;
    this.#strength = strength;
  }

  get term(): OwnerTerm | undefined {
    return this.#term;
  }

  start(): void {
    const startNumber = ++this.#startCount;
    this.#isAlive = true;
    const isAlive = () => this.#isAlive && startNumber === this.#startCount;
    const { store, fleet, random } = this.#world;
    const client = store.clientFor(this.name, isAlive);
    const clients = fleet.clientsFor(this.name, isAlive);
    const clock = new adapters.clock.SystemClock({
      sources: { monotonicMs: Date.now, wallMs: () => Date.now() + this.#wallClockOffsetMs },
    });
    this.#ownership = new Ownership({
      node: this.name,
      incarnation: `${this.name}-${startNumber}`,
      peerAddress: this.name,
      store: client,
      clock,
      log: SILENT,
      candidateDelayMs: random.between(0, 40),
      strength: this.#strength,
      onStart: (start) => {
        const ownership = this.#ownership!;
        this.#term = new OwnerTerm({
          start,
          node: this.name,
          store: client,
          documents: DOCUMENTS,
          ...clients,
          advice: undefined,
          clock,
          log: SILENT,
          metrics: new NodeMetrics(),
          config: CONFIG,
          onFenced: (reason) => ownership.resign(reason),
        });
        void this.#term.run();
      },
      onProof: (askedAtMs) => this.#term?.ownershipProof.recordStoreProof(askedAtMs),
      onEnd: () => {
        this.#term?.stop();
        this.#term = undefined;
      },
    });
    this.#ownership.start();
    this.#handover = new Handover({
      ownership: this.#ownership,
      store: client,
      clock,
      log: SILENT,
      notifyPeers: (notice, maxCount = Number.POSITIVE_INFINITY) => {
        if (notice.kind === "released") {
          this.#world.releases.push({ node: this.name, hasTerm: this.#term !== undefined });
        }
        this.#world.peersOf(this).slice(0, maxCount).forEach((peer) =>
          setTimeout(() => void peer.#handover?.handleNotice(notice), PEER_LATENCY_MS)
        );
      },
      offerTakeover: (fencingToken) =>
        void setTimeout(
          () =>
            this.#world.peersOf(this).forEach((peer) => peer.#handover?.acceptOffer(fencingToken)),
          PEER_LATENCY_MS,
        ),
    });
    void this.#handover.run();
  }

  /** Sets the wall clock forward, or back if `jumpMs` is negative. */
  setWallClock(jumpMs: number): void {
    this.#wallClockOffsetMs += jumpMs;
  }

  get isAlive(): boolean {
    return this.#isAlive;
  }

  kill(): void {
    this.#isAlive = false;
    this.#handover?.stop();
    this.#handover = undefined;
    this.#ownership?.stop();
    this.#term?.stop();
    this.#term = undefined;
  }

  async release(): Promise<void> {
    await this.#term?.flush();
    await this.#ownership?.release();
  }
}

export interface WorldOptions {
  /** One node is started for each. */
  readonly strengths?: readonly number[];
  /** The pool of each VM. */
  readonly pools?: readonly string[];
  readonly rackCount?: number;
  /** The probability that a run fails. */
  readonly failureProbability?: number;
  /** The probability that the owner is notified of a stored cancellation; it watches the store too. */
  readonly cancelNoticeProbability?: number;
}

const DEFAULT_POOLS = [
  "pool-a",
  "pool-a",
  "pool-a",
  "pool-b",
  "pool-b",
  "pool-b",
  "spare",
  "spare",
];

/** The pools of a fleet that is large enough to spread tasks and to lose several VMs. */
export const LARGE_POOLS = [
  ...Array.from({ length: 6 }, () => "pool-a"),
  ...Array.from({ length: 6 }, () => "pool-b"),
  ...Array.from({ length: 4 }, () => "spare"),
];

/** A simulated site: nodes, a store, and a small fleet. */
export class World {
  readonly random: testing.seededRandom.SeededRandom;
  readonly witness = new testing.runWitness.RunWitness(
    MAX_ATTEMPTS,
    () => Date.now() - this.store.refusedAtMs > CONTACT_MS,
  );
  readonly store: testing.modelStore.ModelStore;
  readonly fleet: testing.modelFleet.ModelFleet;
  readonly nodes: readonly ModelNode[];
  /** Handovers that nodes announced, and whether the node was still scheduling at that moment. */
  readonly releases: { readonly node: string; readonly hasTerm: boolean }[] = [];
  /** The ids of the accepted jobs. */
  readonly jobIds: string[] = [];
  readonly #specs = new Map<string, schema.scheduling.JobSpec>();
  readonly #submitted = new Map<string, schema.scheduling.Job>();
  /** By task, how long after its start it crashes its worker. */
  readonly #crashAfterMs = new Map<string, number>();
  readonly #jobs: JobStore;
  #submittedCount = 0;
  readonly #cancelNoticeProbability: number;
  #disturbedAtMs = Number.NEGATIVE_INFINITY;

  constructor(
    seed: number,
    {
      strengths = [1, 1, 1],
      pools = DEFAULT_POOLS,
      rackCount = 0,
      failureProbability = 0.04,
      cancelNoticeProbability = 1,
    }: WorldOptions = {},
  ) {
    this.#cancelNoticeProbability = cancelNoticeProbability;
    this.random = new testing.seededRandom.SeededRandom(seed);
    this.store = new testing.modelStore.ModelStore(this.random);
    this.fleet = new testing.modelFleet.ModelFleet({
      random: this.random,
      store: this.store,
      witness: this.witness,
      documents: DOCUMENTS,
      total: TOTAL,
      resourcesOf: (task) => this.#stepOf(task).resources,
      behaviour: (task) => ({
        durationMs: this.#durationMs(task),
        fails: this.random.chance(failureProbability),
        crashAfterMs: this.#crashAfterMs.get(task),
      }),
      isGang: (task) => this.#stepOf(task).isGang,
      standbyPool: "spare",
      workspaceLimitMillicores: WORKSPACE_LIMIT.cpuMillicores,
      encodeWorker: (info) => JSON.stringify(info),
    });
    pools.forEach((pool, index) =>
      this.fleet.addVm(`vm-${index}`, pool, {
        labels: rackCount === 0 ? [] : [`rack-${index % rackCount}`],
      })
    );
    this.nodes = strengths.map((strength, index) =>
      new ModelNode(`n${index + 1}`, { world: this, strength })
    );
    this.nodes.forEach((node) => node.start());
    this.#jobs = new JobStore({
      store: this.store.clientFor("entry", () => true),
      clock: CLOCK,
      isRefusal: (error) => error instanceof testing.modelStore.ModelRefusalError,
    });
  }

  get owner(): ModelNode | undefined {
    return this.nodes.find(({ term }) => term !== undefined);
  }

  /** The other nodes that are running. */
  peersOf(node: ModelNode): ModelNode[] {
    return this.nodes.filter((other) => other !== node && other.isAlive);
  }

  async submit(): Promise<void> {
    const { random } = this;
    const stepCount = random.between(1, 3);
    const steps = Array.from({ length: stepCount }, (_, step) =>
      testing.schedulingFixtures.step({
        taskCount: random.between(1, 6),
        resources: { cpuMillicores: random.between(5, 40) * 100, memoryMb: 100, gpuCount: 0 },
        estimateMs: random.between(200, 1_500),
        afterSteps: step === 0 ? [] : [step - 1],
      }));
    await this.submitSteps(steps, random.chance(0.5) ? "quick" : "batch");
  }

  /**
   * Submits a job; `crash` names a task of its last step that crashes its workers `afterMs` after each
   * start. Returns the job's id.
   */
  async submitSteps(
    steps: readonly schema.scheduling.Step[],
    queue: string,
    crash?: { readonly index: number; readonly afterMs: number },
  ): Promise<string> {
    const jobId = (++this.#submittedCount).toString(16).padStart(16, "0");
    const spec = { payload: "p", steps: [...steps] };
    this.#specs.set(jobId, spec);
    this.witness.recordSubmission(jobId, steps);
    if (crash !== undefined) {
      const task = `${jobId}.0.${steps.length - 1}.${crash.index}`;
      this.#crashAfterMs.set(task, crash.afterMs);
      this.witness.recordDeadlyTask(task);
    }
    const job: schema.scheduling.Job = {
      jobId,
      queue,
      workspace: "acme",
      acceptedUnixMs: Date.now(),
      spec,
    };
    this.#submitted.set(jobId, job);
    await this.#send(job);
    return jobId;
  }

  /** Submits a job again, as a caller does that has got no response. */
  async resubmit(jobId: string): Promise<void> {
    await this.#send(this.#submitted.get(jobId)!);
  }

  async #send(job: schema.scheduling.Job): Promise<void> {
    const { jobId } = job;
    const stored = await this.#jobs.add(job, Date.now() + 60_000);
    if (stored.kind === "refused") {
      this.witness.recordRefusal(jobId);
    } else if (stored.kind === "stored") {
      this.jobIds.push(jobId);
      this.#notifyOwner(job, stored.revision);
    }
  }

  /** Notifies the owner of a job. Half of the messages are lost; the owner watches the store too. */
  #notifyOwner(job: schema.scheduling.Job, revision: number): void {
    if (this.random.chance(0.5)) {
      this.owner?.term?.putJob(job, revision);
    }
  }

  /** Cancels a job, repeating the request until it is acknowledged; only then is anything guaranteed. */
  async cancel(jobId: string): Promise<void> {
    while (!await this.#jobs.cancel(jobId)) {
      await testing.waitFor.pause(CANCEL_RETRY_INTERVAL_MS);
    }
    this.witness.recordCancellation(jobId);
    const probability = this.#cancelNoticeProbability;
    if (probability === 1 || this.random.chance(probability)) {
      this.owner?.term?.cancelJob(jobId);
    }
  }

  /**
   * Checks that the runs of cancelled jobs are over, as far as nothing has been disturbed for long enough;
   * called once for each injection of faults.
   */
  checkCancelledJobs(): void {
    if (this.#isDisturbed) {
      this.#disturbedAtMs = Date.now();
    }
    this.witness.checkCancelledJobs(this.#disturbedAtMs + CONTACT_MS);
  }

  get #isDisturbed(): boolean {
    const { fleet: { faults: fleet }, store: { faults: store } } = this;
    const probabilities = [
      fleet.answerLossProbability,
      fleet.lateOrderProbability,
      fleet.startRefusalProbability,
      fleet.stopRefusalProbability,
      store.answerLossProbability,
      store.extraLatencyMs,
    ];
    const cuts = [fleet.blockedLinks, fleet.vmsCutFromStore, store.rejectedNodes];
    return probabilities.some((value) => value > 0) || cuts.some(({ size }) => size > 0) ||
      store.silencesWatches || this.nodes.some(({ isAlive }) => !isAlive);
  }

  /** The name of a random VM. */
  anyVm(): string {
    const { vmNames } = this.fleet;
    return vmNames[this.random.between(0, vmNames.length - 1)]!;
  }

  /** Hands the ownership over, and restarts the former owner's process. */
  async replaceOwner(): Promise<void> {
    const { owner } = this;
    await owner?.release();
    owner?.kill();
    setTimeout(() => owner?.start(), RESTART_DELAY_MS);
  }

  /** Kills the owner's process, and starts it again after `RESTART_DELAY_MS`. */
  restartOwner(): void {
    const { owner } = this;
    owner?.kill();
    setTimeout(() => owner?.start(), RESTART_DELAY_MS);
  }

  restartAllNodes(): void {
    this.nodes.forEach((node) => {
      node.kill();
      setTimeout(() => node.start(), RESTART_DELAY_MS);
    });
  }

  /** Sets the wall clock of some nodes forward, and of others back, by seconds. */
  jumpWallClocks(): void {
    for (const node of this.nodes.filter(() => this.random.chance(0.7))) {
      node.setWallClock(this.random.between(-8_000, 8_000));
    }
  }

  /** Makes the store refuse the owner's requests for a time. */
  cutOwnerFromStore(durationMs: number): void {
    const cut = this.owner?.name ?? "n1";
    this.store.faults.rejectedNodes.add(cut);
    setTimeout(() => this.store.faults.rejectedNodes.delete(cut), durationMs);
  }

  /** Restarts a VM's worker under its id, which cannot reach the store for `cutMs` from then on. */
  restartBehindCut(
    vm: string,
    { downMs, cutMs }: { readonly downMs: number; readonly cutMs: number },
  ): void {
    const { vmsCutFromStore } = this.fleet.faults;
    vmsCutFromStore.add(vm);
    this.fleet.crash(vm, downMs, { keepsId: true });
    setTimeout(() => vmsCutFromStore.delete(vm), cutMs);
  }

  /** Requests maintenance of VMs, as an operator does. */
  startWave(wave: schema.scheduling.MaintenanceWave): void {
    this.store.write(`${DOCUMENTS.wavePrefix}${wave.wave}`, JSON.stringify(wave));
  }

  /** The state of a wave as reported to the operator. */
  waveState(wave: number): string | undefined {
    return this.store.read(DOCUMENTS.waveStateItem(wave, "active").key);
  }

  /** The stored state of a job, which callers may see. */
  storedState(jobId: string): string {
    const text = this.store.read(storeKeys.progressKey(jobId));
    return text === undefined
      ? "queued"
      : (JSON.parse(text) as schema.scheduling.JobProgress).state;
  }

  /** The steps of a submitted job. */
  stepsOf(jobId: string): readonly schema.scheduling.Step[] {
    return this.#specs.get(jobId)!.steps;
  }

  #durationMs(task: string): number {
    const { estimateMs, isLasting, isGang } = this.#stepOf(task);
    if (isLasting || isGang || this.#crashAfterMs.has(task)) {
      return isLasting ? Number.POSITIVE_INFINITY : estimateMs;
    }
    return Math.round(estimateMs * (0.5 + this.random.between(0, 100) / 100));
  }

  #stepOf(task: string): schema.scheduling.Step {
    const place = policy.scheduling.taskNames.parseTaskName(task)!;
    return this.#specs.get(place.jobId)!.steps[place.step]!;
  }
}

/** Injects faults; called repeatedly with the time since the start of traffic. */
export type FaultInjector = (world: World, atMs: number) => void;

/** How far the scenarios advance the time between two injections of faults. */
export const STEP_MS = 250;

/** Whether the step that begins at `atMs` contains a time. */
export function isAt(timeMs: number, atMs: number): boolean {
  return atMs >= timeMs && atMs < timeMs + STEP_MS;
}

/**
 * Submits random jobs for `trafficMs`, of which some are cancelled, and lets them end for `settleMs`. Returns
 * the ids of the jobs that are not over then.
 */
export async function playTraffic(
  world: World,
  { injectFaults, trafficMs, settleMs, cancelProbability = 0 }: {
    readonly injectFaults: FaultInjector;
    readonly trafficMs: number;
    readonly settleMs: number;
    /** The probability of a cancellation in a step. */
    readonly cancelProbability?: number;
  },
): Promise<string[]> {
  await vi.advanceTimersByTimeAsync(2_000);
  for (let atMs = 0; atMs < trafficMs + settleMs; atMs += STEP_MS) {
    injectFaults(world, atMs);
    if (atMs < trafficMs && world.random.chance(0.8)) {
      void world.submit();
    }
    const isCancelling = atMs < trafficMs && cancelProbability > 0 &&
      world.random.chance(cancelProbability);
    if (isCancelling && world.jobIds.length > 0) {
      void world.cancel(world.jobIds.at(-1)!);
    }
    await vi.advanceTimersByTimeAsync(STEP_MS);
    for (const jobId of world.jobIds) {
      if (world.storedState(jobId) === "complete") {
        world.witness.recordReportedComplete(jobId);
      }
    }
  }
  return world.jobIds.filter((jobId) =>
    !["complete", "failed", "cancelled"].includes(world.storedState(jobId))
  );
}

/** Combines each scenario with each seed. */
export function crossWithSeeds<
  T extends { readonly name: string; readonly injectFaults: FaultInjector },
>(
  scenarios: readonly T[],
  seeds: readonly number[],
): (T & { readonly seed: number })[] {
  return scenarios.flatMap((scenario) => seeds.map((seed) => ({ ...scenario, seed })));
}

/** Uses fake timers in each test of a file. */
export function useSimulatedTime(): void {
  beforeEach(() => {
    vi.useFakeTimers({ now: 1_700_000_000_000 });
  });
  afterEach(() => {
    vi.useRealTimers();
  });
}
