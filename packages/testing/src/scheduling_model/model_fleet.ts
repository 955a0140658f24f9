/**
 * An in-process model of VMs and their workers. It covers lost and delayed orders, fencing tokens,
 * leases on slow worker clocks, worker restarts, and moves between pools. Every start and end of a run
 * is reported to a `RunWitness`.
 *
 * @module
 */
import type * as ports from "@jackdawlink/ports";
import type * as schema from "@jackdawlink/schema";
import { ok } from "neverthrow";
import type { SeededRandom } from "../seeded_random.ts";
import { pause } from "../wait_for.ts";
import type { ModelStore } from "./model_store.ts";
import type { RunWitness } from "./run_witness.ts";

type OrderOutcome = schema.scheduling.OrderOutcome;
type VmOrderOutcome = ports.scheduling.VmOrderOutcome;

const LATENCY_MS = 2;
const ORDER_TIMEOUT_MS = 400;
const LATE_ORDER_DELAY_MS = [2_000, 12_000] as const;
const HEARTBEAT_INTERVAL_MS = 1_500;
const ENTRY_EXPIRY_MS = 3 * HEARTBEAT_INTERVAL_MS;
/** How long after a worker's capacity has shrunk starts are still judged by the larger one. */
const SHRINK_NOTICE_MS = 3_000 + HEARTBEAT_INTERVAL_MS;
const STOP_DURATION_MS = 300;
/** The most ends that a report lists; further ones follow once these are acknowledged. */
const MAX_LISTED_ENDS = 500;
const MOVE_DURATION_MS = 1_500;
const MAINTENANCE_DURATION_MS = 2_000;
/** Speed of the workers' clocks relative to real time. */
const WORKER_CLOCK_RATE = 0.98;
const LEASE_CHECK_INTERVAL_MS = 20;
/** Workers shorten a longer lease to this. */
const MAX_LEASE_MS = 10_000;
/** How long a VM is down whose worker a task has crashed. */
const CRASH_DOWN_MS = 3_200;
const GANG_END_DELAY_MS = 50;
const CONNECTION_REFUSED = {
  kind: "unknown",
  reason: "connection refused",
  isSent: false,
} as const;

/** Faults between nodes and workers. */
export interface FleetFaults {
  /** Probability that an order is carried out but its answer is lost. */
  answerLossProbability: number;
  /** Probability that an order is carried out seconds later, without an answer. */
  lateOrderProbability: number;
  /** Whether the time of a late lease counts from its arrival, also that of a late report request. */
  areLateLeasesRelative: boolean;
  /** Probability that a worker is unhealthy when a start arrives in time, and refuses it. */
  startRefusalProbability: number;
  /** Probability that a worker is unhealthy when a stop arrives, and refuses it. */
  stopRefusalProbability: number;
  /** Blocked `node>worker` pairs; `*` matches any node or any worker. */
  readonly blockedLinks: Set<string>;
  /** VMs whose workers cannot write to the store, though nodes reach them. */
  readonly vmsCutFromStore: Set<string>;
}

/** How long a task runs, whether it fails, and whether it crashes its worker. */
export type TaskBehaviour = (task: string, runId: number) => {
  /** Infinite for a long-running task. */
  readonly durationMs: number;
  readonly fails: boolean;
  /** How long after its start the task crashes its worker; undefined if it does not. */
  readonly crashAfterMs?: number | undefined;
};

interface ModelRun {
  readonly task: string;
  readonly runId: number;
  readonly resources: schema.scheduling.Resources;
  readonly startedAtMs: number;
  readonly durationMs: number;
  isStopping: boolean;
}

/** A worker's total capacity from a time on. */
interface CapacityChange {
  readonly sinceMs: number;
  readonly total: schema.scheduling.Resources;
}

class ModelWorker {
  readonly startedAtMs = Date.now();
  readonly runs = new Map<string, ModelRun>();
  readonly highestEndedRunIds = new Map<string, number>();
  readonly ends: schema.scheduling.ReportedEnd[] = [];
  /** When each unacknowledged end was first reported, by end number. */
  readonly endedAtMs = new Map<number, number>();
  readonly reportWaiters = new Set<() => void>();
  /** When the first call of a node arrived; undefined before. */
  firstCalledAtMs: number | undefined;
  /** Calls of nodes that came after the end of the process. */
  callsAfterEnd = 0;
  fencingToken = 0;
  leaseUntilMs = 0;
  endCount = 0;
  isAlive = true;
  entryWrittenAtMs = 0;
  readonly workerId: string;
  readonly vm: string;
  readonly #capacityChanges: CapacityChange[] = [];

  constructor(workerId: string, vm: string, total: schema.scheduling.Resources) {
    this.workerId = workerId;
    this.vm = vm;
    this.total = total;
  }

  get total(): schema.scheduling.Resources {
    return this.#capacityChanges.at(-1)!.total;
  }

  set total(total: schema.scheduling.Resources) {
    this.#capacityChanges.push({ sinceMs: Date.now(), total });
  }

  /** The totals that have been in force in the last `periodMs`. */
  totalsWithin(periodMs: number): schema.scheduling.Resources[] {
    const sinceMs = Date.now() - periodMs;
    return this.#capacityChanges
      .filter((_, index, all) => (all[index + 1]?.sinceMs ?? Infinity) >= sinceMs)
      .map(({ total }) => total);
  }

  clockMs(): number {
    return Math.round((Date.now() - this.startedAtMs) * WORKER_CLOCK_RATE);
  }
}

/** Whether an order is carried out seconds after it was sent, and by how much later its lease ends for that. */
interface OrderContext {
  readonly isLate: boolean;
  readonly extraLeaseMs: number;
}

type OrderHandler = (worker: ModelWorker, context: OrderContext) => OrderOutcome;

interface ModelVm {
  readonly vm: string;
  /** The highest fencing token among the orders for this VM. */
  fencingToken: number;
  pool: string;
  state: schema.scheduling.VmState;
  worker: ModelWorker | undefined;
  readonly labels: readonly string[];
  isDraining: boolean;
}

/** Dependencies and parameters of a {@link ModelFleet}. */
export interface ModelFleetOptions {
  readonly random: SeededRandom;
  readonly store: ModelStore;
  readonly witness: RunWitness;
  readonly documents: ports.scheduling.Documents;
  readonly total: schema.scheduling.Resources;
  readonly resourcesOf: (task: string) => schema.scheduling.Resources;
  readonly behaviour: TaskBehaviour;
  /** Whether the tasks of the same step and run id end together. */
  readonly isGang?: (task: string) => boolean;
  readonly standbyPool: string;
  /** The limit of the workspace that all jobs belong to. */
  readonly workspaceLimitMillicores: number;
  readonly encodeWorker: (info: schema.scheduling.WorkerInfo) => string;
}

/** Models all VMs and the workers on them. */
export class ModelFleet {
  readonly faults: FleetFaults = {
    answerLossProbability: 0,
    lateOrderProbability: 0,
    areLateLeasesRelative: false,
    startRefusalProbability: 0,
    stopRefusalProbability: 0,
    blockedLinks: new Set(),
    vmsCutFromStore: new Set(),
  };
  readonly #options: ModelFleetOptions;
  readonly #vms = new Map<string, ModelVm>();
  readonly #workersByAddress = new Map<string, ModelWorker>();
  readonly #maintenanceStartsByWave = new Map<number, Map<string, number>>();
  readonly #workers: ModelWorker[] = [];
  /** Since when no node has reached a worker, by worker id. */
  readonly #unreachableSinceMs = new Map<string, number>();
  /** The highest number of VMs that were down for maintenance at the same time. */
  maxVmsInMaintenance = 0;

  constructor(options: ModelFleetOptions) {
    this.#options = options;
    setInterval(() => {
      this.#checkLeases();
      this.#recordReachability();
    }, LEASE_CHECK_INTERVAL_MS);
  }

  addVm(vm: string, pool: string, { labels = [] }: { labels?: readonly string[] } = {}): void {
    const record: ModelVm = {
      vm,
      fencingToken: 0,
      pool,
      state: "up",
      worker: undefined,
      labels,
      isDraining: false,
    };
    this.#vms.set(vm, record);
    this.#startWorker(record);
  }

  /**
   * Changes the total capacity of a VM's worker, which its entry shows from its next heartbeat on. A
   * later worker on the VM has the full capacity again.
   */
  setWorkerTotal(vm: string, total: schema.scheduling.Resources): void {
    const worker = this.#vms.get(vm)?.worker;
    if (worker !== undefined) {
      worker.total = total;
    }
  }

  get vmNames(): string[] {
    return [...this.#vms.keys()];
  }

  /** Age in milliseconds of the oldest unacknowledged end on the running workers; 0 if none. */
  oldestUnacknowledgedEndMs(): number {
    const workers = [...this.#vms.values()].flatMap(({ worker }) => worker ?? []);
    const endedAtMs = workers.flatMap((worker) => [...worker.endedAtMs.values()]);
    return endedAtMs.length === 0 ? 0 : Date.now() - Math.min(...endedAtMs);
  }

  workerOf(vm: string): string | undefined {
    return this.#vms.get(vm)?.worker?.workerId;
  }

  /** The number of runs at work on a VM. */
  runsOn(vm: string): number {
    return this.#vms.get(vm)?.worker?.runs.size ?? 0;
  }

  /** The names of the VMs with a label. */
  vmsWithLabel(label: string): string[] {
    return [...this.#vms.values()].filter(({ labels }) => labels.includes(label))
      .map(({ vm }) => vm);
  }

  /** Whether a run of the task is at work on any worker. */
  isRunning(task: string): boolean {
    return [...this.#vms.values()].some(({ worker }) => worker?.runs.has(task) ?? false);
  }

  /** Drains the worker of a VM, which leaves after `leaveAfterMs` and is back after a while. */
  drain(vm: string, leaveAfterMs: number): void {
    const record = this.#vms.get(vm)!;
    const { worker } = record;
    if (record.state === "up" && worker !== undefined) {
      record.isDraining = true;
      this.#registerWorker(record, worker);
      setTimeout(() => {
        record.isDraining = false;
        if (record.worker === worker) {
          this.#endWorker(record, "down", ENTRY_EXPIRY_MS);
          setTimeout(() => this.#bringUp(record), CRASH_DOWN_MS);
        }
      }, leaveAfterMs);
    }
  }

  /** By worker process that is over, how many calls came after its end. */
  callsAfterEnd(): number[] {
    return this.#workers.filter(({ isAlive }) => !isAlive).map((worker) => worker.callsAfterEnd);
  }

  /** How long the worker of a VM ran before a node first called it; undefined if none has. */
  firstCallDelayMs(vm: string): number | undefined {
    const worker = this.#vms.get(vm)?.worker;
    return worker?.firstCalledAtMs === undefined
      ? undefined
      : worker.firstCalledAtMs - worker.startedAtMs;
  }

  /** Kills the worker of a VM; the VM starts a new worker after `downMs`, by default with a new id. */
  crash(vm: string, downMs: number, { keepsId = false } = {}): void {
    const record = this.#vms.get(vm)!;
    const { worker } = record;
    if (record.state === "up" && worker !== undefined) {
      this.#endWorker(record, "down", ENTRY_EXPIRY_MS);
      setTimeout(() => this.#bringUp(record, keepsId ? worker : undefined), downMs);
    }
  }

  /** Clients through which one node orders; `isAlive` turns false when the node's process ends. */
  clientsFor(
    node: string,
    isAlive: () => boolean,
  ): { workers: ports.scheduling.WorkerClient; vms: ports.scheduling.VmClient } {
    const order = (
      address: ports.scheduling.WorkerAddress,
      run: OrderHandler,
    ) => this.#order({ node, isAlive }, address, run);
    return {
      workers: {
        start: (address, start) =>
          order(address, (worker, context) => this.#start(worker, start, context)),
        stop: (address, stop) => order(address, (worker) => this.#stop(worker, stop)),
        pace: (address, { fencingToken }) =>
          order(address, (worker) => this.#checkFencingToken(worker, fencingToken) ?? done(worker)),
        hold: (address, hold) => this.#hold({ node, isAlive }, address, hold),
      },
      vms: {
        list: async () => {
          await pause(LATENCY_MS);
          return ok(this.#list());
        },
        move: (vm, pool, holder) =>
          this.#orderVm({ vm, holder, isAlive }, (record) => this.#move(record, pool)),
        maintain: (vm, wave, holder) =>
          this.#orderVm({ vm, holder, isAlive }, (record) => this.#maintain(record, wave)),
      },
    };
  }

  #list(): schema.scheduling.ListedVm[] {
    return [...this.#vms.values()].map(({ vm, pool, state, worker, labels }) => ({
      vm,
      pool,
      state,
      total: this.#options.total,
      labels,
      workerId: state === "up" ? worker?.workerId : undefined,
    }));
  }

  /** As with workers, an order takes effect even if its answer is lost. */
  async #orderVm(
    { vm, holder, isAlive }: {
      readonly vm: string;
      readonly holder: ports.scheduling.VmOrderHolder;
      readonly isAlive: () => boolean;
    },
    run: (record: ModelVm) => VmOrderOutcome,
  ): Promise<VmOrderOutcome> {
    await pause(LATENCY_MS);
    const record = this.#vms.get(vm)!;
    if (holder.fencingToken < record.fencingToken) {
      return { kind: "fenced" };
    }
    record.fencingToken = holder.fencingToken;
    const outcome = run(record);
    return this.#options.random.chance(this.faults.answerLossProbability)
      ? this.#noAnswer({ isAlive })
      : outcome;
  }

  #move(record: ModelVm, pool: string): VmOrderOutcome {
    if (record.pool === pool) {
      return { kind: "done" };
    }
    if (record.state !== "up") {
      return { kind: "refused", reason: "busy" };
    }
    this.#takeDown(record, "moving", MOVE_DURATION_MS);
    record.pool = pool;
    return { kind: "done" };
  }

  #maintain(record: ModelVm, wave: number): VmOrderOutcome {
    const maintained = this.maintenanceStarts(wave);
    if (maintained.has(record.vm)) {
      return { kind: "done" };
    }
    if (record.state !== "up") {
      return { kind: "refused", reason: "busy" };
    }
    maintained.set(record.vm, Date.now());
    this.#takeDown(record, "upkeep", MAINTENANCE_DURATION_MS);
    const downCount = [...this.#vms.values()].filter(({ state }) => state === "upkeep").length;
    this.maxVmsInMaintenance = Math.max(this.maxVmsInMaintenance, downCount);
    return { kind: "done" };
  }

  #takeDown(record: ModelVm, state: "moving" | "upkeep", downMs: number): void {
    this.#endWorker(record, state, ENTRY_EXPIRY_MS);
    setTimeout(() => this.#bringUp(record), downMs);
  }

  /** When the maintenance of each VM of a wave began, by VM name. */
  maintenanceStarts(wave: number): Map<string, number> {
    const known = this.#maintenanceStartsByWave.get(wave) ?? new Map<string, number>();
    this.#maintenanceStartsByWave.set(wave, known);
    return known;
  }

  /** Starts a worker on a VM, under the id of `previous` if that is given. */
  #bringUp(record: ModelVm, previous?: ModelWorker): void {
    record.state = "up";
    if (record.pool !== this.#options.standbyPool) {
      this.#startWorker(record, previous);
    }
  }

  #startWorker(record: ModelVm, previous?: ModelWorker): void {
    const workerId = previous?.workerId ?? `w${this.#workers.length + 1}`;
    const worker = new ModelWorker(workerId, record.vm, this.#options.total);
    worker.entryWrittenAtMs = previous?.entryWrittenAtMs ?? 0;
    record.worker = worker;
    this.#workers.push(worker);
    this.#workersByAddress.set(worker.workerId, worker);
    this.#writeEntry(record, worker);
  }

  /** Writes the worker's entry now and with each heartbeat. */
  #writeEntry(record: ModelVm, worker: ModelWorker): void {
    const { store, documents } = this.#options;
    if (!worker.isAlive) {
      return;
    }
    if (!store.isOut && !this.faults.vmsCutFromStore.has(record.vm)) {
      worker.entryWrittenAtMs = Date.now();
      this.#registerWorker(record, worker);
    } else if (!store.isOut && Date.now() - worker.entryWrittenAtMs >= ENTRY_EXPIRY_MS) {
      store.write(documents.workerPrefix + worker.workerId, undefined);
    }
    setTimeout(() => this.#writeEntry(record, worker), HEARTBEAT_INTERVAL_MS);
  }

  #registerWorker(record: ModelVm, worker: ModelWorker): void {
    const { store, documents, encodeWorker } = this.#options;
    store.write(
      documents.workerPrefix + worker.workerId,
      encodeWorker({
        workerId: worker.workerId,
        vm: record.vm,
        pool: record.pool,
        address: worker.workerId,
        isDraining: record.isDraining,
        total: worker.total,
        labels: record.labels,
        startedUnixMs: worker.startedAtMs,
      }),
    );
  }

  #endWorker(record: ModelVm, state: schema.scheduling.VmState, expiryMs: number): void {
    const { worker } = record;
    record.state = state;
    record.worker = undefined;
    if (worker !== undefined) {
      worker.isAlive = false;
      for (const run of worker.runs.values()) {
        this.#options.witness.recordEnd(
          run.task,
          { workerId: worker.workerId, runId: run.runId },
          "gone",
        );
        if (state === "down" && !record.isDraining) {
          this.#options.witness.recordCrash(run.task);
        }
        this.#endGang(run);
      }
      const key = this.#options.documents.workerPrefix + worker.workerId;
      setTimeout(() => {
        // A restart under the same id has renewed the entry.
        if (this.#workersByAddress.get(worker.workerId) === worker) {
          this.#options.store.write(key, undefined);
        }
      }, expiryMs);
    }
  }

  async #order(
    from: { node: string; isAlive: () => boolean },
    { address }: ports.scheduling.WorkerAddress,
    run: OrderHandler,
  ): Promise<OrderOutcome> {
    const { random } = this.#options;
    await pause(LATENCY_MS);
    if (this.#refusesConnections(address)) {
      return CONNECTION_REFUSED;
    }
    const worker = this.#reachableWorker(from.node, address);
    if (worker === undefined || !from.isAlive()) {
      return this.#noAnswer(from);
    }
    if (random.chance(this.faults.lateOrderProbability)) {
      this.#carryOutLate(worker, run);
      return this.#noAnswer(from);
    }
    const outcome = run(worker, { isLate: false, extraLeaseMs: 0 });
    return random.chance(this.faults.answerLossProbability) ? this.#noAnswer(from) : outcome;
  }

  /** Carries out an order seconds later, if the worker's process is still the same. */
  #carryOutLate(
    worker: ModelWorker,
    run: (worker: ModelWorker, context: OrderContext) => void,
  ): void {
    const delayMs = this.#options.random.between(...LATE_ORDER_DELAY_MS);
    const extraLeaseMs = this.faults.areLateLeasesRelative ? delayMs * WORKER_CLOCK_RATE : 0;
    setTimeout(() => worker.isAlive && run(worker, { isLate: true, extraLeaseMs }), delayMs);
  }

  /** Whether the process at an address is over, so that a call fails at once. */
  #refusesConnections(address: string): boolean {
    const worker = this.#workersByAddress.get(address);
    if (worker?.isAlive === false) {
      worker.callsAfterEnd++;
      return true;
    }
    return false;
  }

  #reachableWorker(node: string, address: string): ModelWorker | undefined {
    const worker = this.#workersByAddress.get(address);
    const { blockedLinks } = this.faults;
    const isCut = blockedLinks.has(`${node}>${address}`) || blockedLinks.has(`*>${address}`) ||
      blockedLinks.has(`${node}>*`);
    if (!worker?.isAlive || isCut) {
      return undefined;
    }
    worker.firstCalledAtMs ??= Date.now();
    return worker;
  }

  async #noAnswer(
    from: { isAlive: () => boolean },
  ): Promise<{ readonly kind: "unknown"; readonly reason: string }> {
    await pause(ORDER_TIMEOUT_MS);
    return from.isAlive() ? { kind: "unknown", reason: "no answer" } : new Promise(() => {});
  }

  async #hold(
    from: { node: string; isAlive: () => boolean },
    { address }: ports.scheduling.WorkerAddress,
    order: Parameters<ports.scheduling.WorkerClient["hold"]>[1],
  ): ReturnType<ports.scheduling.WorkerClient["hold"]> {
    await pause(LATENCY_MS);
    if (this.#refusesConnections(address)) {
      return CONNECTION_REFUSED;
    }
    const worker = this.#reachableWorker(from.node, address);
    const unknown = { kind: "unknown", reason: "no answer" } as const;
    if (worker === undefined || !from.isAlive()) {
      await this.#noAnswer(from);
      return unknown;
    }
    const { areLateLeasesRelative, lateOrderProbability } = this.faults;
    if (areLateLeasesRelative && this.#options.random.chance(lateOrderProbability)) {
      this.#carryOutLate(worker, (late, { extraLeaseMs }) => {
        const isFenced = this.#checkFencingToken(late, order.fencingToken) !== undefined;
        if (!isFenced && order.leaseUntilWorkerMs !== undefined) {
          this.#renewLease(late, order.leaseUntilWorkerMs + extraLeaseMs);
        }
      });
      await this.#noAnswer(from);
      return unknown;
    }
    if (this.#checkFencingToken(worker, order.fencingToken) !== undefined) {
      return { kind: "fenced" };
    }
    this.#renewLease(worker, order.leaseUntilWorkerMs);
    this.#acknowledge(worker, order.acknowledgedEnd);
    if (order.waitMs > 0 && worker.ends.length === 0) {
      await Promise.race([
        new Promise<void>((resolve) => worker.reportWaiters.add(resolve)),
        pause(order.waitMs),
      ]);
    }
    await pause(LATENCY_MS);
    if (this.#reachableWorker(from.node, address) !== worker || !from.isAlive()) {
      await this.#noAnswer(from);
      return unknown;
    }
    return { kind: "report", report: reportOf(worker) };
  }

  #start(
    worker: ModelWorker,
    order: ports.scheduling.StartOrder,
    { isLate, extraLeaseMs }: OrderContext,
  ): OrderOutcome {
    const { witness, random, resourcesOf, behaviour } = this.#options;
    const fenced = this.#checkFencingToken(worker, order.fencingToken);
    if (fenced !== undefined) {
      return fenced;
    }
    const present = worker.runs.get(order.task);
    if (present?.runId === order.runId) {
      return done(worker);
    }
    if (present !== undefined || order.runId <= (worker.highestEndedRunIds.get(order.task) ?? 0)) {
      return { kind: "refused", reason: "old" };
    }
    const leaseUntilWorkerMs = order.leaseUntilWorkerMs + extraLeaseMs;
    if (leaseUntilWorkerMs <= worker.clockMs()) {
      return { kind: "refused", reason: "late" };
    }
    const { startRefusalProbability } = this.faults;
    if (!isLate && startRefusalProbability > 0 && random.chance(startRefusalProbability)) {
      return { kind: "refused", reason: "429" };
    }
    this.#renewLease(worker, leaseUntilWorkerMs);
    const { durationMs, fails, crashAfterMs } = behaviour(order.task, order.runId);
    const run: ModelRun = {
      task: order.task,
      runId: order.runId,
      resources: resourcesOf(order.task),
      startedAtMs: Date.now(),
      durationMs,
      isStopping: false,
    };
    worker.runs.set(order.task, run);
    witness.recordStart(
      order.task,
      { workerId: worker.workerId, runId: order.runId },
      isLate ? { unreachableSinceMs: this.#unreachableSinceMs.get(worker.workerId) } : {},
    );
    witness.recordWorkspaceUsage(order.task, {
      usedMillicores: this.#usedMillicores(),
      taskMillicores: run.resources.cpuMillicores,
      limitMillicores: this.#options.workspaceLimitMillicores,
    });
    // Nobody can recall an order that is carried out late, so it is judged by any earlier capacity.
    const totals = worker.totalsWithin(isLate ? Infinity : SHRINK_NOTICE_MS);
    if (!totals.some((total) => fits(worker, total))) {
      witness.recordOverload(worker.workerId);
    }
    if (Number.isFinite(durationMs)) {
      setTimeout(() => this.#endRun(worker, run, fails ? "failed" : "done"), durationMs);
    }
    if (crashAfterMs !== undefined) {
      setTimeout(() => this.#crashFrom(worker, run), crashAfterMs);
    }
    return done(worker);
  }

  /** What the runs on all workers use, including those that are being stopped. */
  #usedMillicores(): number {
    const runs = [...this.#vms.values()].flatMap(({ worker }) => [...worker?.runs.values() ?? []]);
    return runs.reduce((sum, { resources }) => sum + resources.cpuMillicores, 0);
  }

  /** Crashes a worker if the run is still at work there. */
  #crashFrom(worker: ModelWorker, run: ModelRun): void {
    if (worker.isAlive && worker.runs.get(run.task) === run) {
      this.crash(worker.vm, CRASH_DOWN_MS);
    }
  }

  /** Ends the other tasks of a gang of which one is gone. */
  #endGang(gone: ModelRun): void {
    if (!(this.#options.isGang?.(gone.task) ?? false)) {
      return;
    }
    const step = stepOf(gone.task);
    setTimeout(() => {
      for (const { worker } of this.#vms.values()) {
        for (const run of worker === undefined ? [] : [...worker.runs.values()]) {
          if (stepOf(run.task) === step && run.runId === gone.runId) {
            this.#endRun(worker!, run, "broken");
          }
        }
      }
    }, GANG_END_DELAY_MS);
  }

  #stop(
    worker: ModelWorker,
    order: { task: string; runId: number; fencingToken: number },
  ): OrderOutcome {
    const fenced = this.#checkFencingToken(worker, order.fencingToken);
    if (fenced !== undefined) {
      return fenced;
    }
    const { stopRefusalProbability } = this.faults;
    if (stopRefusalProbability > 0 && this.#options.random.chance(stopRefusalProbability)) {
      return { kind: "refused", reason: "429" };
    }
    const highest = worker.highestEndedRunIds.get(order.task) ?? 0;
    worker.highestEndedRunIds.set(order.task, Math.max(highest, order.runId));
    const run = worker.runs.get(order.task);
    if (run?.runId === order.runId && !run.isStopping) {
      run.isStopping = true;
      setTimeout(() => this.#endRun(worker, run, "stopped"), STOP_DURATION_MS);
    }
    return done(worker);
  }

  #endRun(worker: ModelWorker, run: ModelRun, kind: schema.scheduling.EndKind): void {
    if (!worker.isAlive || worker.runs.get(run.task) !== run) {
      return;
    }
    worker.runs.delete(run.task);
    const highest = worker.highestEndedRunIds.get(run.task) ?? 0;
    worker.highestEndedRunIds.set(run.task, Math.max(highest, run.runId));
    worker.endedAtMs.set(worker.endCount + 1, Date.now());
    worker.ends.push({
      endNumber: ++worker.endCount,
      task: run.task,
      runId: run.runId,
      kind,
      checkpoint: "",
    });
    this.#options.witness.recordEnd(
      run.task,
      { workerId: worker.workerId, runId: run.runId },
      kind,
    );
    worker.reportWaiters.forEach((wake) => wake());
    worker.reportWaiters.clear();
  }

  #acknowledge(worker: ModelWorker, endNumber: number): void {
    while (worker.ends.length > 0 && worker.ends[0]!.endNumber <= endNumber) {
      const end = worker.ends.shift()!;
      worker.endedAtMs.delete(end.endNumber);
      this.#options.witness.recordAcknowledgement(end.task, end.kind);
    }
  }

  #renewLease(worker: ModelWorker, leaseUntilWorkerMs: number | undefined): void {
    const latestMs = worker.clockMs() + MAX_LEASE_MS;
    worker.leaseUntilMs = Math.max(
      worker.leaseUntilMs,
      Math.min(leaseUntilWorkerMs ?? 0, latestMs),
    );
  }

  #checkFencingToken(worker: ModelWorker, fencingToken: number): OrderOutcome | undefined {
    if (fencingToken < worker.fencingToken) {
      return { kind: "fenced" };
    }
    worker.fencingToken = fencingToken;
    return undefined;
  }

  #recordReachability(): void {
    for (const { workerId } of this.#workersByAddress.values()) {
      if (!this.faults.blockedLinks.has(`*>${workerId}`)) {
        this.#unreachableSinceMs.delete(workerId);
      } else if (!this.#unreachableSinceMs.has(workerId)) {
        this.#unreachableSinceMs.set(workerId, Date.now());
      }
    }
  }

  #checkLeases(): void {
    for (const worker of this.#workersByAddress.values()) {
      if (worker.isAlive && worker.clockMs() > worker.leaseUntilMs) {
        [...worker.runs.values()].forEach((run) => this.#endRun(worker, run, "lapsed"));
      }
    }
  }
}

/** Whether what runs on a worker, including what is being stopped, fits into a total. */
function fits(worker: ModelWorker, total: schema.scheduling.Resources): boolean {
  const names = ["cpuMillicores", "memoryMb", "gpuCount"] as const;
  return names.every((name) =>
    [...worker.runs.values()].reduce((sum, { resources }) => sum + resources[name], 0) <=
      total[name]
  );
}

function stepOf(task: string): string {
  return task.slice(0, task.lastIndexOf("."));
}

function done(worker: ModelWorker): OrderOutcome {
  return { kind: "done", workerClockMs: worker.clockMs() };
}

function reportOf(worker: ModelWorker): schema.scheduling.WorkerReport {
  return {
    startedUnixMs: worker.startedAtMs,
    workerClockMs: worker.clockMs(),
    running: [...worker.runs.values()].map((run) => ({
      task: run.task,
      runId: run.runId,
      checkpoint: "",
      percent: Math.min(100, Math.round(100 * (Date.now() - run.startedAtMs) / run.durationMs)),
      load: 0,
    })),
    ends: worker.ends.slice(0, MAX_LISTED_ENDS),
    hasMoreEnds: worker.ends.length >= MAX_LISTED_ENDS,
  };
}
