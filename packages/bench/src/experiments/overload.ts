/**
 * Measures the goodput at five times the load that the slots can serve. The baselines are queues
 * without load shedding and, with failing backend servers, retries without a budget.
 *
 * @module
 */
import * as schema from "@jackdawlink/schema";
import * as testing from "@jackdawlink/testing";
import type * as experiment from "../experiment.ts";
import * as experimentSystem from "../experiment_system.ts";
import * as loadProcess from "../load/load_process.ts";
import type * as loadSpec from "../load/load_spec.ts";

const TEAM = "renewals";
const BACKEND_SERVERS = 2;
const SLOTS = BACKEND_SERVERS * 8;
const RUN_MS = 100;
const MS_PER_SECOND = 1_000;
const PERCENT = 100;
const CAPACITY_PER_SECOND = SLOTS * MS_PER_SECOND / RUN_MS;
const OVERLOAD_FACTOR = 5;
/** Callers discard answers that arrive later. */
const DEADLINE_MS = 1_000;
const WARM_UP_MS = 2_000;
const LOAD_MS = 10_000;
const MIN_GOODPUT: experiment.Target = { kind: "atLeast", value: 95 };

/**
 * How many of about 10 answers a failing backend server breaks off per {@link FAULT_INTERVAL_MS}.
 */
const BROKEN_ANSWERS_PER_INTERVAL = 2;
const FAULT_INTERVAL_MS = 100;

type System = testing.testSystem.TestSystem;

/** One overload strategy, measured on a dedicated service. */
interface OverloadCase {
  readonly service: string;
  readonly isFailing: boolean;
  /** Whether requests carry the caller's deadline. */
  readonly sendsDeadline: boolean;
  readonly queue: Partial<schema.config.Queue>;
  readonly retryBudgetRatio: number;
}

const DEFAULT_RETRY_BUDGET = 0.1;
const SHEDDING_QUEUE = { maxWaiting: 50, maxWaitMs: 2_000 };
const UNBOUNDED_QUEUE = { maxWaiting: 1_000_000, maxWaitMs: 600_000 };

const CASES: readonly OverloadCase[] = [
  {
    service: "shedding",
    isFailing: false,
    sendsDeadline: true,
    queue: SHEDDING_QUEUE,
    retryBudgetRatio: DEFAULT_RETRY_BUDGET,
  },
  {
    service: "unbounded",
    isFailing: false,
    sendsDeadline: false,
    queue: UNBOUNDED_QUEUE,
    retryBudgetRatio: DEFAULT_RETRY_BUDGET,
  },
  {
    service: "budgeted",
    isFailing: true,
    sendsDeadline: true,
    queue: SHEDDING_QUEUE,
    retryBudgetRatio: DEFAULT_RETRY_BUDGET,
  },
  {
    service: "unbudgeted",
    isFailing: true,
    sendsDeadline: true,
    queue: SHEDDING_QUEUE,
    retryBudgetRatio: 1,
  },
];

export const overloadExperiment: experiment.Experiment = {
  description: "Goodput under five times the load, without shedding and without a retry budget",
  runSeed: ({ seed, progress }) =>
    experimentSystem.withTestSystem({ seed }, async (system) => {
      await publish(system);
      progress("capacity of the slots by direct connections");
      const capacityPerSecond = await measureCapacity(system);
      const goodputs = new Map<string, number>();
      for (const overloadCase of CASES) {
        progress(overloadCase.service);
        goodputs.set(overloadCase.service, await measureGoodput(overloadCase, { system, seed }));
      }
      const ratioOf = (service: string) => goodputs.get(service)! / capacityPerSecond * PERCENT;
      return {
        figures: [
          { name: "capacity by direct connections", unit: "/s", value: capacityPerSecond },
          {
            name: "goodput of capacity",
            unit: "%",
            value: ratioOf("shedding"),
            baseline: { name: "no shedding", value: ratioOf("unbounded") },
            target: MIN_GOODPUT,
          },
          {
            name: "goodput of capacity, failing backend servers",
            unit: "%",
            value: ratioOf("budgeted"),
            baseline: { name: "no retry budget", value: ratioOf("unbudgeted") },
          },
        ],
      };
    }),
};

async function publish(system: System): Promise<void> {
  const services = CASES.map(({ service }) => service);
  const config = testing.exampleConfig.exampleConfig({
    availabilityZones: experimentSystem.AVAILABILITY_ZONES,
    services,
    backendServersPerService: BACKEND_SERVERS,
    teams: { [TEAM]: { weight: 1 } },
  });
  const started = await system.startBackendServers({
    ...config,
    services: Object.fromEntries(
      CASES.map(({ service, retryBudgetRatio }) => [service, { pool: service, retryBudgetRatio }]),
    ),
    queues: Object.fromEntries(
      CASES.map(({ service, queue }) => [service, { service, ...queue }]),
    ),
  });
  await experimentSystem.applyToAllEntries(system, started);
}

function backendServersOf(system: System, service: string) {
  return [...system.backendServers.values()].filter(({ name }) => name.startsWith(`${service}-`));
}

/** The rate of answers to a closed loop with one connection per slot and no entry. */
async function measureCapacity(system: System): Promise<number> {
  const urls = backendServersOf(system, CASES[0]!.service)
    .map(({ address }) => `http://${address}/work?runMs=${RUN_MS}`);
  const loop = { name: "capacity", urls, concurrency: SLOTS, startMs: 0, endMs: LOAD_MS };
  const { requests } = await loadProcess.runLoad(system, { loops: [loop] });
  return goodputOf(requests);
}

async function measureGoodput(
  overloadCase: OverloadCase,
  { system, seed }: { system: System; seed: number },
): Promise<number> {
  const faults = overloadCase.isFailing ? injectBrokenAnswers(system, overloadCase.service) : null;
  const deadline: Record<string, string> = overloadCase.sendsDeadline
    ? { [schema.http.DEADLINE_HEADER]: String(DEADLINE_MS) }
    : {};
  const ratePerSecond = CAPACITY_PER_SECOND * OVERLOAD_FACTOR;
  const stream = {
    name: overloadCase.service,
    seed,
    urls: experimentSystem.queueUrls(system.entries, {
      queue: overloadCase.service,
      path: `/work?runMs=${RUN_MS}`,
    }),
    headers: { ...experimentSystem.authorizationHeader(TEAM), ...deadline },
    phases: [{ startMs: 0, endMs: LOAD_MS, ratePerSecond }],
  };
  const { requests } = await loadProcess.runLoad(system, { streams: [stream] });
  if (faults !== null) clearInterval(faults);
  return goodputOf(requests);
}

/** Makes each backend server repeatedly break off some answers after it has done the work. */
function injectBrokenAnswers(system: System, service: string): NodeJS.Timeout {
  return setInterval(() => {
    for (const backendServer of backendServersOf(system, service)) {
      const faults = [{ kind: "resetMidAnswer" as const, count: BROKEN_ANSWERS_PER_INTERVAL }];
      void backendServer.setFaults(faults).catch(() => undefined);
    }
  }, FAULT_INTERVAL_MS);
}

/**
 * The rate of successful answers within the deadline. Answers count at the time they arrive; those
 * of the warm-up and after the load are left out.
 */
function goodputOf(requests: readonly loadSpec.RequestResult[]): number {
  const good = requests.filter(({ intendedAtMs, latencyMs, status }) => {
    const endMs = intendedAtMs + latencyMs;
    return status === 200 && latencyMs <= DEADLINE_MS && endMs >= WARM_UP_MS && endMs < LOAD_MS;
  });
  return good.length * MS_PER_SECOND / (LOAD_MS - WARM_UP_MS);
}
