/**
 * Manages the fleet's VMs: runs maintenance waves, which take VMs down for maintenance in small groups,
 * and moves VMs between pools as demand changes.
 *
 * @module
 */
import * as policy from "@jackdawlink/policy";
import type * as ports from "@jackdawlink/ports";
import type * as schema from "@jackdawlink/schema";
import { pause } from "./pause.ts";
import { decodeDoneVms, WaveTracker } from "./wave_tracker.ts";
import * as storeKeys from "./store_keys.ts";

type WorkerRecord = policy.scheduling.workerRecord.WorkerRecord;
type VmView = policy.scheduling.vmView.VmView;

const RECONCILE_INTERVAL_MS = 250;
/** Waves are rare and last for many seconds, so they are read less often than VMs. */
const WAVE_READ_INTERVAL_MS = 1_000;
/**
 * How long a new owner waits before it sends VM orders. The previous owner stops sending them 1.6 s after
 * its last ownership proof and loses its lease 2 s after it; the delay covers its in-flight orders.
 */
const HANDOVER_DELAY_MS = 300;
/** An order that got no response may still be carried out within this time. */
const MAX_ORDER_DELAY_MS = 13_000;
/**
 * How far ahead the demand of tasks with a timetable is included: the time to move a VM and to notice that
 * the move is needed.
 */
const DEMAND_LOOKAHEAD_MS = 2_500;
const DEMAND_LOG_INTERVAL_MS = 1_000;
/** Cordon reasons: a worker with a cordon gets no new tasks. */
const MOVE_CORDON = "its VM is moving";
const MAINTENANCE_CORDON = "its VM is due for maintenance";

export interface VmManagerOptions {
  readonly scheduler: policy.scheduling.scheduler.Scheduler;
  readonly vms: ports.scheduling.VmClient;
  readonly store: ports.scheduling.SchedulingStore;
  readonly documents: ports.scheduling.Documents;
  readonly clock: ports.clock.Clock;
  readonly log: ports.log.Log;
  readonly holder: ports.scheduling.VmOrderHolder;
  /** The start of the term on the clock's steady reading. */
  readonly startedAtMs: number;
  /** True if a previous owner's VM orders may still be in flight. */
  readonly hadPreviousOwner: boolean;
  readonly canIssueOrders: () => boolean;
  readonly onFenced: () => void;
  readonly onChange: () => void;
}

/** Periodically lists all VMs, and orders the moves and maintenance that the plans call for. */
export class VmManager {
  readonly #options: VmManagerOptions;
  readonly #waves: WaveTracker;
  /** The target pool of each moving VM. */
  readonly #moveTargets = new Map<string, string>();
  /** Until when an order that got no response may still be carried out, by VM. */
  readonly #uncertainUntilMs = new Map<string, number>();
  /** VMs with an order in flight. */
  readonly #pendingOrderVms = new Set<string>();
  readonly #demandTrend = new policy.scheduling.demandTrend.DemandTrend();
  readonly #lastStates = new Map<string, schema.scheduling.VmState>();
  #config: schema.scheduling.SchedulingConfig | undefined;
  #demandLoggedAtMs = Number.NEGATIVE_INFINITY;
  #wavesReadAtMs = Number.NEGATIVE_INFINITY;
  #isStopped = false;

  constructor(options: VmManagerOptions) {
    this.#options = options;
    this.#waves = new WaveTracker(options);
  }

  setConfig(config: schema.scheduling.SchedulingConfig): void {
    this.#config = config;
  }

  stop(): void {
    this.#isStopped = true;
    this.#waves.stop();
  }

  async run(config: schema.scheduling.SchedulingConfig): Promise<void> {
    this.#config = config;
    while (!this.#isStopped) {
      await this.#reconcile();
      await pause(RECONCILE_INTERVAL_MS);
    }
  }

  /** Lists all VMs once, updates the scheduler, and orders what the plans call for. */
  async #reconcile(): Promise<void> {
    const { clock, vms, log, scheduler, onChange } = this.#options;
    if (clock.steadyMs() - this.#wavesReadAtMs >= WAVE_READ_INTERVAL_MS) {
      await this.#readWaves();
    }
    const askedAtMs = clock.steadyMs();
    const listed = await vms.list();
    if (listed.isErr()) {
      log.info("Could not list VMs", { reason: listed.error.message });
      return;
    }
    if (this.#isStopped) {
      return;
    }
    this.#logStateChanges(listed.value);
    scheduler.applyVmList(listed.value, { askedAtMs, nowMs: clock.steadyMs() });
    onChange();
    const views = this.#buildViews(listed.value);
    const canIssueOrders = this.#options.canIssueOrders() && this.#isHandoverComplete();
    this.#waves.recordVmStates(views);
    this.#markLeavingWorkers(views);
    if (canIssueOrders) {
      const demands = this.#poolDemands();
      this.#logDemand(demands, views);
      const moves = this.#planMoves(demands, views);
      const needed = policy.scheduling.poolPlan.neededVms(demands, views);
      const startedVms = this.#advanceWaves(
        views,
        new Set([...moves.map(({ vm }) => vm), ...needed]),
      );
      this.#evacuateDrainingWorkers();
      const byVm = new Map(views.map((view) => [view.vm, view]));
      for (const move of moves.filter(({ vm }) => !startedVms.has(vm))) {
        void this.#move(byVm.get(move.vm)!, move);
      }
    }
    void this.#waves.store();
  }

  #logStateChanges(listed: readonly schema.scheduling.ListedVm[]): void {
    for (const { vm, state, pool, workerId } of listed) {
      const previous = this.#lastStates.get(vm);
      if (previous !== undefined && previous !== state) {
        this.#options.log.info("VM state changed", {
          vm,
          state,
          before: previous,
          pool,
          worker: workerId,
        });
      }
      this.#lastStates.set(vm, state);
    }
  }

  /** Whether orders of a previous owner can no longer be in flight. */
  #isHandoverComplete(): boolean {
    const { hadPreviousOwner, clock, startedAtMs } = this.#options;
    return !hadPreviousOwner || clock.steadyMs() - startedAtMs >= HANDOVER_DELAY_MS;
  }

  async #readWaves(): Promise<void> {
    const { store, documents, clock, log } = this.#options;
    const [waves, done] = await Promise.all([
      store.list(documents.wavePrefix),
      store.list(storeKeys.WAVE_PREFIX),
    ]);
    if (waves.isErr() || done.isErr()) {
      return;
    }
    this.#wavesReadAtMs = clock.steadyMs();
    const doneByWave = new Map(
      done.value.items.map((item) => [item.key, decodeDoneVms(item)]),
    );
    for (const item of waves.value.items) {
      const wave = documents.decodeWave(item.value);
      if (wave.isErr()) {
        log.warn("Could not decode a maintenance wave", {
          key: item.key,
          reason: wave.error.message,
        });
        continue;
      }
      this.#waves.put(wave.value, doneByWave.get(storeKeys.waveKey(wave.value.wave)));
    }
  }

  #buildViews(listed: readonly schema.scheduling.ListedVm[]): VmView[] {
    const nowMs = this.#options.clock.steadyMs();
    const standby = new Set(
      this.#config?.pools.filter(({ isStandby }) => isStandby).map(({ name }) => name),
    );
    const { workers } = this.#options.scheduler;
    return listed.map((vm) => {
      const target = this.#moveTargets.get(vm.vm);
      if (target === vm.pool && vm.state === "up") {
        this.#moveTargets.delete(vm.vm);
      }
      const worker = vm.workerId === undefined ? undefined : workers.get(vm.workerId);
      const isMoving = this.#moveTargets.has(vm.vm);
      return {
        vm: vm.vm,
        // A moving VM counts towards its target pool.
        pool: this.#moveTargets.get(vm.vm) ?? vm.pool,
        state: isMoving ? "moving" : vm.state,
        isStandby: standby.has(vm.pool),
        total: vm.total,
        worker,
        isUncertain: nowMs < (this.#uncertainUntilMs.get(vm.vm) ?? 0) ||
          this.#pendingOrderVms.has(vm.vm),
      };
    });
  }

  /** Marks the workers on VMs that are due for maintenance, so that other workers are preferred. */
  #markLeavingWorkers(views: readonly VmView[]): void {
    const pendingVms = this.#waves.pendingVms();
    for (const { vm, worker } of views) {
      if (worker !== undefined) {
        worker.isLeavingSoon = pendingVms.has(vm);
      }
    }
  }

  /** Runs the next steps of all active waves; returns the VMs that start their maintenance now. */
  #advanceWaves(views: readonly VmView[], wanted: ReadonlySet<string>): Set<string> {
    const nowMs = this.#options.clock.steadyMs();
    const drained = new Set<string>();
    const startedVms = new Set<string>();
    const byVm = new Map(views.map((view) => [view.vm, view]));
    for (const state of this.#waves.activeWaves()) {
      const plan = policy.scheduling.wavePlan.planWave(state, {
        vms: views,
        wanted,
        nowMs,
      });
      for (const vm of plan.maintain) {
        startedVms.add(vm);
        void this.#maintain(byVm.get(vm)!, state.wave.wave);
      }
      for (const vm of plan.drain) {
        drained.add(vm);
        const { worker } = byVm.get(vm)!;
        if (worker !== undefined) {
          this.#evacuateWorker(worker, { nowMs, isUrgent: plan.isUrgent });
        }
      }
    }
    for (const { vm, worker } of views) {
      if (
        worker?.cordon === MAINTENANCE_CORDON && !drained.has(vm) && !this.#pendingOrderVms.has(vm)
      ) {
        worker.cordon = undefined;
      }
    }
    return startedVms;
  }

  #evacuateWorker(
    worker: WorkerRecord,
    { nowMs, isUrgent }: { readonly nowMs: number; readonly isUrgent: boolean },
  ): void {
    const { scheduler, log, onChange } = this.#options;
    if (worker.cordon === undefined) {
      log.info("Evacuating worker", {
        worker: worker.info.workerId,
        runs: worker.runs.size,
        urgent: isUrgent,
      });
      worker.cordon = MAINTENANCE_CORDON;
    }
    for (const run of policy.scheduling.evacuation.runsToEvacuate(worker, { nowMs, isUrgent })) {
      scheduler.evacuate(run, worker.cordon);
    }
    onChange();
  }

  /** Moves long-running and checkpointing tasks off workers that are draining. */
  #evacuateDrainingWorkers(): void {
    const { scheduler, clock } = this.#options;
    for (const worker of scheduler.workers.values()) {
      if (worker.info.isDraining && worker.isListed && worker.runs.size > 0) {
        const context = { nowMs: clock.steadyMs(), isUrgent: false };
        for (const run of policy.scheduling.evacuation.runsToEvacuate(worker, context)) {
          scheduler.evacuate(run, "the worker is draining");
        }
      }
    }
    this.#options.onChange();
  }

  /** What each pool needs now and shortly. */
  #poolDemands(): policy.scheduling.poolPlan.PoolDemand[] {
    const { scheduler, clock } = this.#options;
    const nowMs = clock.steadyMs();
    const demand = scheduler.demandByPool({ nowMs, wallMs: clock.wallMs() }, DEMAND_LOOKAHEAD_MS);
    const minWorkers = scheduler.minWorkersByPool(nowMs);
    return (this.#config?.pools ?? []).map(({ name, isStandby }) => ({
      pool: name,
      isStandby,
      minVms: minWorkers.get(name) ?? 0,
      demand: this.#demandTrend.project(
        name,
        demand.get(name) ?? policy.scheduling.resources.NO_RESOURCES,
        nowMs,
      ),
    }));
  }

  #planMoves(
    demands: readonly policy.scheduling.poolPlan.PoolDemand[],
    views: readonly VmView[],
  ): policy.scheduling.poolPlan.PoolMove[] {
    const nowMs = this.#options.clock.steadyMs();
    const frozen = new Set(
      views.filter(({ worker, vm }) =>
        worker?.cordon !== undefined || this.#pendingOrderVms.has(vm)
      )
        .map(({ vm }) => vm),
    );
    const due = this.#waves.pendingVms();
    return policy.scheduling.poolPlan.planMoves(demands, { vms: views, frozen, due, nowMs });
  }

  /** Logs the demand and the capacity of each pool, once per `DEMAND_LOG_INTERVAL_MS`. */
  #logDemand(
    demands: readonly policy.scheduling.poolPlan.PoolDemand[],
    views: readonly VmView[],
  ): void {
    const { clock, log } = this.#options;
    if (clock.steadyMs() - this.#demandLoggedAtMs < DEMAND_LOG_INTERVAL_MS) {
      return;
    }
    this.#demandLoggedAtMs = clock.steadyMs();
    for (const { pool, demand } of demands) {
      const vms = views.filter((view) => view.pool === pool);
      log.info("Pool demand", {
        pool,
        vms: vms.length,
        up: vms.filter(({ state }) => state === "up").length,
        demandMillicores: demand.cpuMillicores,
        demandMb: demand.memoryMb,
        freeMillicores: vms.reduce(
          (sum, { worker }) => sum + Math.max(0, worker?.free.cpuMillicores ?? 0),
          0,
        ),
      });
    }
  }

  async #move(view: VmView, move: policy.scheduling.poolPlan.PoolMove): Promise<void> {
    const { vms, holder } = this.#options;
    this.#moveTargets.set(view.vm, move.toPool);
    const isDone = await this.#sendOrder(
      view,
      { kind: "move", why: move.reason, cordon: MOVE_CORDON },
      () => vms.move(view.vm, move.toPool, holder),
    );
    if (!isDone) {
      this.#moveTargets.delete(view.vm);
    }
  }

  async #maintain(view: VmView, wave: number): Promise<void> {
    const { vms, holder } = this.#options;
    this.#waves.recordDown(wave, view);
    const isDone = await this.#sendOrder(
      view,
      { kind: "maintenance", why: `wave ${wave}`, cordon: MAINTENANCE_CORDON },
      () => vms.maintain(view.vm, wave, holder),
    );
    if (isDone) {
      this.#waves.recordDone(wave, view.vm);
    } else if (!this.#uncertainUntilMs.has(view.vm)) {
      this.#waves.clearDown(wave, view.vm);
    }
  }

  /**
   * Sends one VM order, and repeats it while its outcome is unknown; until then the VM gets no other
   * order. Returns whether the order was carried out.
   */
  async #sendOrder(
    view: VmView,
    order: { readonly kind: string; readonly why: string; readonly cordon: string },
    send: () => Promise<ports.scheduling.VmOrderOutcome>,
  ): Promise<boolean> {
    const { log, clock, scheduler, onFenced } = this.#options;
    const { vm, worker } = view;
    this.#pendingOrderVms.add(vm);
    if (worker !== undefined) {
      worker.cordon = order.cordon;
    }
    let outcome = await send();
    while (outcome.kind === "unknown" && !this.#isStopped) {
      this.#uncertainUntilMs.set(vm, clock.steadyMs() + MAX_ORDER_DELAY_MS);
      log.info("VM order got no response", { vm, order: order.kind, reason: outcome.reason });
      await pause(RECONCILE_INTERVAL_MS);
      outcome = this.#options.canIssueOrders() ? await send() : outcome;
    }
    this.#pendingOrderVms.delete(vm);
    log.info("VM order finished", {
      vm,
      worker: worker?.info.workerId,
      pool: view.pool,
      order: order.kind,
      why: order.why,
      outcome: outcome.kind,
      reason: "reason" in outcome ? outcome.reason : undefined,
    });
    if (outcome.kind === "fenced") {
      onFenced();
    }
    if (worker !== undefined) {
      if (outcome.kind === "done") {
        scheduler.dropWorker(worker, clock.steadyMs(), `${order.kind} of its VM`);
      } else if (outcome.kind === "refused") {
        worker.cordon = undefined;
      }
    }
    return outcome.kind === "done";
  }
}
