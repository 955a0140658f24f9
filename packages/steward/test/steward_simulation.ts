/**
 * Simulates several stewards with one store and one platform, in memory and in virtual time.
 *
 * @module
 */
import { ok, ResultAsync } from "neverthrow";
import * as v from "valibot";
import * as adapters from "@jackdawlink/adapters";
import type * as ports from "@jackdawlink/ports";
import * as schema from "@jackdawlink/schema";
import * as testing from "@jackdawlink/testing";
import { Steward } from "../src/steward.ts";

/** The settle time of draining marks, and the approximate time between rounds. */
export const ROUND_MS = 500;
/** The number of VMs on the platform. */
export const VM_COUNT = 6;

/** The faults to inject in a run. */
export interface Faults {
  /** For each steward, the number of the call before which it pauses until the others are done. */
  readonly pauseAt: readonly number[];
  /**
   * Every n-th answer of the store or the platform is lost after the call took effect; 0 for none.
   */
  readonly loseEvery: number;
  readonly listLagMs: number;
  /** The round in which the store becomes unavailable for some rounds; 0 for never. */
  readonly outAt: number;
}

/** Several stewards with one store and one platform; every subject is assigned to each of them. */
export class StewardSimulation {
  readonly clock = new testing.virtualTime.VirtualClock();
  readonly store = new testing.memoryStore.MemoryStore({
    nowMs: () => this.clock.steadyMs(),
    outcomeOf: (call) => this.#callOutcome(call),
  });
  readonly calls = { read: 0, write: 0 };
  /** Whether the store is unavailable. */
  isOut = false;
  isLosingAnswers = false;
  readonly model: testing.fleetModel.FleetModel;
  readonly config = v.parse(schema.config.configSchema, {
    pools: { "boards": {}, "spare": { spare: true } },
    teams: { "facilitators": { workspace: "boardwise" } },
    workspaces: { "boardwise": {} },
    limits: { "tasks": { team: "facilitators", maxRunningTasks: 2 } },
    availabilityBudgets: {
      "boards-budget": { pool: "boards", maxUnavailable: 2, maxUnavailablePerRack: 1 },
    },
    maintenanceWaves: { "december": { pools: ["boards", "spare"], state: "running" } },
  });
  readonly violations: string[] = [];
  readonly #faults: Faults;
  #answers = 0;

  constructor(faults: Faults) {
    this.#faults = faults;
    const vms = Array.from({ length: VM_COUNT }, (_, index) => ({
      vm: `vm-${index}`,
      availabilityZone: `zone-${index % 2}`,
      rack: `rack-${index % 4}`,
      drainMs: index % 2 === 0 ? 700 : 0,
      rebootMs: index % 2 === 0 ? 900 : 0,
    }));
    const workers = vms.slice(0, 3).map(({ vm, availabilityZone, rack }) => ({
      worker: `worker-${vm}`,
      availabilityZone,
      rack,
      cores: 4,
      memoryMb: 4_096,
    }));
    this.model = new testing.fleetModel.FleetModel({ vms, workers, listLagMs: faults.listLagMs });
    this.store.watch(schema.storeKeys.ROOT, () => this.check());
  }

  async adoptVms(): Promise<void> {
    const records = this.model.listVms(this.clock.nowMs()).map((vm) => ({
      key: schema.storeKeys.vmKey(vm.vm),
      value: JSON.stringify({ ...vm, pool: "boards", operationCount: 0, history: [] }),
      kind: "put" as const,
    }));
    await this.store.transact([], records);
  }

  /**
   * A steward whose calls all wait for `schedule`, and for `held` before the call where it pauses.
   */
  steward(index: number, { schedule, held, markSettleMs = ROUND_MS }: {
    readonly schedule: (label: string) => Promise<void>;
    readonly held: Promise<void>;
    readonly markSettleMs?: number;
  }): Steward {
    const name = `steward-${index}`;
    let calls = 0;
    const gate = async () => {
      calls += 1;
      if (calls === this.#faults.pauseAt[index]) {
        await held;
      }
      await schedule(name);
    };
    const platform = new testing.modelPlatform.ModelPlatform({
      model: this.model,
      clock: this.clock,
      losesAnswer: () => this.losesAnswer(),
    });
    return new Steward({
      stewardId: name,
      incarnation: name,
      store: withOnlySteward(gated(this.store, gate), name),
      platform: gated(platform, gate),
      clock: this.clock,
      log: adapters.log.SILENT_LOG,
      configSource: { read: () => Promise.resolve(ok(this.config)) },
      leaseSeconds: 6,
      maxPlacementsPerRound: 10,
      markSettleMs,
    });
  }

  #callOutcome(call: "read" | "write"): testing.memoryStore.CallOutcome {
    this.calls[call] += 1;
    if (this.isOut) {
      return "lost-before";
    }
    return call === "write" && this.isLosingAnswers && this.losesAnswer()
      ? "lost-after"
      : "answered";
  }

  losesAnswer(): boolean {
    this.#answers += 1;
    return this.#faults.loseEvery > 0 && this.#answers % this.#faults.loseEvery === 0;
  }

  records<TSchema extends v.GenericSchema>(
    prefix: string,
    recordSchema: TSchema,
  ): v.InferOutput<TSchema>[] {
    const values = this.store.table.range({ key: prefix, end: `${prefix}\uffff` });
    const parsed = values.map((stored) => schema.fleet.parseRecord(recordSchema, stored));
    this.expect(parsed.every((record) => record.isOk()), `a record below ${prefix} does not fit`);
    return parsed.flatMap((record) => record.isOk() ? [record.value] : []);
  }

  /**
   * Checks the budgets, the token of each VM in an operation, and the team limit after each write.
   */
  check(): void {
    const { VM_PREFIX, POOL_PREFIX, JOB_PREFIX } = schema.storeKeys;
    const pools = this.records(POOL_PREFIX, schema.fleet.poolRecordSchema);
    const vms = this.records(VM_PREFIX, schema.fleet.vmRecordSchema);
    const segments = this.records(JOB_PREFIX, schema.fleet.jobSegmentSchema);
    const tokens = pools.flatMap((pool) => pool.tokens);
    const racks = new Set(tokens.map(({ rack }) => rack));
    this.expect(tokens.length <= 2, `${tokens.length} tokens are taken`);
    this.expect(racks.size === tokens.length, "two tokens of one rack are taken");
    for (const vm of vms) {
      const held = tokens.some((token) => token.operationId === vm.operation?.operationId);
      this.expect(vm.operation === undefined || held, `${vm.vm} is out without a token`);
    }
    const operations = new Set(vms.map(({ operation }) => operation?.operationId));
    for (const { vm, operationId } of this.model.vmsUnderOperation()) {
      this.expect(operations.has(operationId), `${vm} is out for ${operationId}, which is over`);
    }
    const jobs = segments.flatMap((segment) => Object.values(segment.jobs));
    const placed = jobs.filter((job) => job.state === "placed").length;
    this.expect(placed <= 2, `${placed} tasks of a team with a limit of 2`);
  }

  /** Checks the events that the platform recorded. */
  checkWitness(): void {
    for (const { kind, notLive, atMs, subject } of this.model.events) {
      this.expect(kind !== "cut", `${subject} was cut at ${atMs}`);
      this.expect(notLive.length <= 2, `${notLive.join()} were out at ${atMs}`);
    }
    for (const [taskId, starts] of this.model.tasks.starts) {
      this.expect(starts <= 1, `${taskId} started ${starts} times`);
      this.expect(taskId.endsWith(".1"), `${taskId} of a job that may not be repeated`);
    }
  }

  expect(holds: boolean, violation: string): void {
    if (!holds) {
      this.violations.push(violation);
    }
  }
}

/** Wraps an object so that each of its methods first awaits the gate. */
function gated<T extends object>(target: T, gate: () => Promise<void>): T {
  return new Proxy(target, {
    get: (object, name) => {
      const method = Reflect.get(object, name) as (...args: unknown[]) => unknown;
      if (name === "watch" || typeof method !== "function") {
        return method.bind(object);
      }
      return (...args: unknown[]) =>
        new ResultAsync(gate().then(() => method.apply(object, args)) as never);
    },
  });
}

/** Hides the other stewards from a steward, so that every subject is assigned to it. */
function withOnlySteward(store: ports.store.Store, name: string): ports.store.Store {
  return new Proxy(store, {
    get: (object, method) =>
      method === "list"
        ? (prefix: string) =>
          object.list(prefix).map((values) =>
            values.filter(({ key }) =>
              !key.startsWith(schema.storeKeys.STEWARD_PREFIX) || key.endsWith(name)
            )
          )
        : Reflect.get(object, method).bind(object),
  });
}
