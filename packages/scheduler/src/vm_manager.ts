/**
 * Maintenance waves, and VMs that move between pools.
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
/** Waves come rarely, and last for many seconds. */
const WAVE_READ_INTERVAL_MS = 1_000;
/**
 * An earlier owner stops ordering VMs 1.6 s after its last proof, and loses its lease 2 s after it; this
 * covers orders that were on their way.
 */
const HANDOVER_DELAY_MS = 300;
/** An order without an answer may still be carried out until then. */
const MAX_ORDER_DELAY_MS = 13_000;
/** Tasks with a timetable are made room for so long ahead: a move, and the time to notice. */
const DEMAND_LOOKAHEAD_MS = 2_500;
const DEMAND_LOG_INTERVAL_MS = 1_000;
/** Why a worker gets no new tasks. */
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
  readonly startedAtMs: number;
  /** An earlier owner may have given orders until just now. */
  readonly hadPreviousOwner: boolean;
  readonly canIssueOrders: () => boolean;
  readonly onFenced: () => void;
  readonly onChange: () => void;
}

/** Looks at all VMs in a loop, and orders what the plans say. */
export class VmManager {
  readonly #options: VmManagerOptions;
  readonly #waves: WaveTracker;
  /** VMs on their way to a pool. */
  readonly #moveTargets = new Map<string, string>();
  readonly #uncertainUntilMs = new Map<string, number>();
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

  async #reconcile(): Promise<void> {
    const { clock, vms, log, scheduler, onChange } = this.#options;
    if (clock.nowMs() - this.#wavesReadAtMs >= WAVE_READ_INTERVAL_MS) {
      await this.#readWaves();
    }
    const askedAtMs = clock.nowMs();
    const listed = await vms.list();
    if (listed.isErr()) {
      log.info("VMs not listed", { reason: listed.error.message });
      return;
    }
    if (this.#isStopped) {
      return;
    }
    this.#logStateChanges(listed.value);
    scheduler.applyVmList(listed.value, { askedAtMs, nowMs: clock.nowMs() });
    onChange();
    const views = this.#buildViews(listed.value);
    const canIssueOrders = this.#options.canIssueOrders() && this.#isHandoverComplete();
    this.#waves.recordVmStates(views);
    this.#markLeavingWorkers(views);
    if (canIssueOrders) {
      const moves = this.#planMoves(views);
      const maintained = this.#advanceWaves(views, new Set(moves.map(({ vm }) => vm)));
      this.#evacuateDrainingWorkers();
      const byVm = new Map(views.map((view) => [view.vm, view]));
      for (const move of moves.filter(({ vm }) => !maintained.has(vm))) {
        void this.#move(byVm.get(move.vm)!, move);
      }
    }
    void this.#waves.store();
  }

  #logStateChanges(listed: readonly schema.scheduling.ListedVm[]): void {
    for (const { vm, state, pool, workerId } of listed) {
      const known = this.#lastStates.get(vm);
      if (known !== undefined && known !== state) {
        this.#options.log.info("VM is now", { vm, state, before: known, pool, worker: workerId });
      }
      this.#lastStates.set(vm, state);
    }
  }

  /** Whether no earlier owner's order can be on its way. */
  #isHandoverComplete(): boolean {
    const { hadPreviousOwner, clock, startedAtMs } = this.#options;
    return !hadPreviousOwner || clock.nowMs() - startedAtMs >= HANDOVER_DELAY_MS;
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
    this.#wavesReadAtMs = clock.nowMs();
    const doneByWave = new Map(
      done.value.items.map((item) => [item.key, decodeDoneVms(item)]),
    );
    for (const item of waves.value.items) {
      const wave = documents.decodeWave(item.value);
      if (wave.isErr()) {
        log.warn("Wave not understood", { key: item.key, reason: wave.error.message });
        continue;
      }
      this.#waves.put(wave.value, doneByWave.get(storeKeys.waveKey(wave.value.wave)));
    }
  }

  #buildViews(listed: readonly schema.scheduling.ListedVm[]): VmView[] {
    const nowMs = this.#options.clock.nowMs();
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
        // A VM on its way counts for where it goes.
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

  /** Workers of VMs that are due for maintenance are the last choice for tasks. */
  #markLeavingWorkers(views: readonly VmView[]): void {
    const left = this.#waves.pendingVms();
    for (const { vm, worker } of views) {
      if (worker !== undefined) {
        worker.isLeavingSoon = left.has(vm);
      }
    }
  }

  /** The VMs that are sent down now. */
  #advanceWaves(views: readonly VmView[], wanted: ReadonlySet<string>): Set<string> {
    const nowMs = this.#options.clock.nowMs();
    const emptied = new Set<string>();
    const maintained = new Set<string>();
    const byVm = new Map(views.map((view) => [view.vm, view]));
    for (const state of this.#waves.activeWaves()) {
      const plan = policy.scheduling.wavePlan.planWave(state, { vms: views, wanted, nowMs });
      for (const vm of plan.maintain) {
        maintained.add(vm);
        void this.#maintain(byVm.get(vm)!, state.wave.wave);
      }
      for (const vm of plan.drain) {
        emptied.add(vm);
        const { worker } = byVm.get(vm)!;
        if (worker !== undefined) {
          this.#evacuateWorker(worker, { nowMs, isUrgent: plan.isUrgent });
        }
      }
    }
    for (const { vm, worker } of views) {
      if (
        worker?.cordon === MAINTENANCE_CORDON && !emptied.has(vm) && !this.#pendingOrderVms.has(vm)
      ) {
        worker.cordon = undefined;
      }
    }
    return maintained;
  }

  #evacuateWorker(
    worker: WorkerRecord,
    { nowMs, isUrgent }: { readonly nowMs: number; readonly isUrgent: boolean },
  ): void {
    const { scheduler, log, onChange } = this.#options;
    if (worker.cordon === undefined) {
      log.info("Worker is being emptied", {
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

  /** Tasks that last or save their progress leave workers that are about to go. */
  #evacuateDrainingWorkers(): void {
    const { scheduler, clock } = this.#options;
    for (const worker of scheduler.workers.values()) {
      if (worker.info.isDraining && worker.isListed && worker.runs.size > 0) {
        const context = { nowMs: clock.nowMs(), isUrgent: false };
        for (const run of policy.scheduling.evacuation.runsToEvacuate(worker, context)) {
          scheduler.evacuate(run, "the worker is draining");
        }
      }
    }
    this.#options.onChange();
  }

  #planMoves(views: readonly VmView[]): policy.scheduling.poolPlan.PoolMove[] {
    const { scheduler, clock } = this.#options;
    const nowMs = clock.nowMs();
    const demand = scheduler.demandByPool({ nowMs, wallMs: clock.wallMs() }, DEMAND_LOOKAHEAD_MS);
    const minWorkers = scheduler.minWorkersByPool();
    const demands = (this.#config?.pools ?? []).map(({ name, isStandby }) => ({
      pool: name,
      isStandby,
      minVms: minWorkers.get(name) ?? 0,
      demand: this.#demandTrend.project(
        name,
        demand.get(name) ?? policy.scheduling.resources.NO_RESOURCES,
        nowMs,
      ),
    }));
    this.#logDemand(demands, views);
    const frozen = new Set(
      views.filter(({ worker, vm }) =>
        worker?.cordon !== undefined || this.#pendingOrderVms.has(vm)
      )
        .map(({ vm }) => vm),
    );
    const due = this.#waves.pendingVms();
    return policy.scheduling.poolPlan.planMoves(demands, { vms: views, frozen, due, nowMs });
  }

  /** One line a second on what each pool asks for and has. */
  #logDemand(
    demands: readonly policy.scheduling.poolPlan.PoolDemand[],
    views: readonly VmView[],
  ): void {
    const { clock, log } = this.#options;
    if (clock.nowMs() - this.#demandLoggedAtMs < DEMAND_LOG_INTERVAL_MS) {
      return;
    }
    this.#demandLoggedAtMs = clock.nowMs();
    for (const { pool, demand } of demands) {
      const vms = views.filter((view) => view.pool === pool);
      log.info("Pool", {
        pool,
        vms: vms.length,
        up: vms.filter(({ state }) => state === "up").length,
        demandMillicores: demand.cpuMillicores,
        demandMb: demand.memoryMb,
        freeMillicores: vms.reduce((sum, { worker }) => sum + (worker?.free.cpuMillicores ?? 0), 0),
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

  /** Gives one order; while its outcome is unknown, it is repeated and the VM is left alone. */
  async #sendOrder(
    view: VmView,
    what: { readonly kind: string; readonly why: string; readonly cordon: string },
    send: () => Promise<ports.scheduling.VmOrderOutcome>,
  ): Promise<boolean> {
    const { log, clock, scheduler, onFenced } = this.#options;
    const { vm, worker } = view;
    this.#pendingOrderVms.add(vm);
    if (worker !== undefined) {
      worker.cordon = what.cordon;
    }
    let outcome = await send();
    while (outcome.kind === "unknown" && !this.#isStopped) {
      this.#uncertainUntilMs.set(vm, clock.nowMs() + MAX_ORDER_DELAY_MS);
      log.info("VM order without an answer", { vm, order: what.kind, reason: outcome.reason });
      await pause(RECONCILE_INTERVAL_MS);
      outcome = this.#options.canIssueOrders() ? await send() : outcome;
    }
    this.#pendingOrderVms.delete(vm);
    log.info("VM order", {
      vm,
      worker: worker?.info.workerId,
      pool: view.pool,
      order: what.kind,
      why: what.why,
      outcome: outcome.kind,
      reason: "reason" in outcome ? outcome.reason : undefined,
    });
    if (outcome.kind === "fenced") {
      onFenced();
    }
    if (worker !== undefined) {
      if (outcome.kind === "done") {
        scheduler.dropWorker(worker, clock.nowMs(), `${what.kind} of its VM`);
      } else if (outcome.kind === "refused") {
        worker.cordon = undefined;
      }
    }
    return outcome.kind === "done";
  }
}
