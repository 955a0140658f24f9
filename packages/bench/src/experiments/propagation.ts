/**
 * Measures the time until every entry has applied a change: a withdrawn key or a new configuration.
 *
 * @module
 */
import type * as schema from "@jackdawlink/schema";
import * as testing from "@jackdawlink/testing";
import type * as experiment from "../experiment.ts";
import * as experimentSystem from "../experiment_system.ts";

const SERVICE = "booking";
const ROUNDS = 4;
const MAX_REFUSAL_DELAY: experiment.Target = { kind: "atMost", value: 2 };
const MAX_IN_FORCE_DELAY: experiment.Target = { kind: "atMost", value: 4 };
const PROBE_INTERVAL_MS = 20;
const MS_PER_SECOND = 1_000;
const STATUS_UNAUTHORIZED = 401;

type System = testing.testSystem.TestSystem;
type StoreFaults = Parameters<System["setStoreFaults"]>[0];

/** The store faults that are injected while changes are made. */
const STORE_STATES: Readonly<Record<string, StoreFaults>> = {
  "store normal": {},
  "store slow by 300 ms": { rules: [{ delayMs: 300 }] },
  "store loses 30% of answers": { rules: [{ loseAnswerProbability: 0.3 }] },
};
/** The baseline: the store refuses watches, so entries see changes only when they poll. */
const WITHOUT_WATCHES = { kinds: ["watch" as const], outage: "refused" as const };

/** The delays of both kinds of change, in seconds from the start of the operator's command. */
interface Samples {
  readonly withdrawnSeconds: number[];
  readonly inForceSeconds: number[];
}

export const propagationExperiment: experiment.Experiment = {
  description:
    "Seconds until a withdrawn key is refused and a configuration is in force everywhere",
  runSeed: ({ seed, progress }) =>
    experimentSystem.withTestSystem({ seed }, async (system) => {
      const changes = new ChangeProbe(system, await publish(system));
      const figures: experiment.Figure[] = [];
      for (const [name, faults = {}] of Object.entries(STORE_STATES)) {
        progress(name);
        const samples = await changes.measure({ ...faults, seed });
        const rules = [...faults.rules ?? [], WITHOUT_WATCHES];
        const polled = await changes.measure({ ...faults, rules, seed });
        figures.push(...figuresOf(name, samples, polled));
      }
      return { figures };
    }),
};

function figuresOf(name: string, samples: Samples, polled: Samples): experiment.Figure[] {
  const baselineOf = (seconds: readonly number[]) => ({
    name: "polling only",
    value: Math.max(...seconds),
  });
  return [
    {
      name: `${name}: withdrawn key refused by all, slowest`,
      unit: "s",
      value: Math.max(...samples.withdrawnSeconds),
      baseline: baselineOf(polled.withdrawnSeconds),
      target: MAX_REFUSAL_DELAY,
    },
    {
      name: `${name}: configuration in force on all, slowest`,
      unit: "s",
      value: Math.max(...samples.inForceSeconds),
      baseline: baselineOf(polled.inForceSeconds),
      target: MAX_IN_FORCE_DELAY,
    },
  ];
}

/** One team for each key withdrawal of the run. */
function teamNames(): string[] {
  const count = ROUNDS * 2 * Object.keys(STORE_STATES).length;
  return Array.from({ length: count }, (_, index) => `team-${index + 1}`);
}

async function publish(system: System): Promise<schema.config.ConfigInput> {
  const config = testing.exampleConfig.exampleConfig({
    availabilityZones: experimentSystem.AVAILABILITY_ZONES,
    services: [SERVICE],
    backendServersPerService: 1,
    teams: Object.fromEntries(teamNames().map((team) => [team, { weight: 1 }])),
  });
  const started = await system.startBackendServers(config);
  await experimentSystem.applyToAllEntries(system, started);
  return started;
}

/** Makes changes and measures the time until all entries have applied them. */
class ChangeProbe {
  readonly #system: System;
  readonly #teams = teamNames();
  #config: schema.config.ConfigInput;
  #round = 0;

  constructor(system: System, config: schema.config.ConfigInput) {
    this.#system = system;
    this.#config = config;
  }

  async measure(faults: StoreFaults): Promise<Samples> {
    const samples: Samples = { withdrawnSeconds: [], inForceSeconds: [] };
    await this.#system.setStoreFaults(faults);
    for (let round = 0; round < ROUNDS; round += 1) {
      samples.withdrawnSeconds.push(await this.#withdrawKey(this.#teams.pop()!));
      samples.inForceSeconds.push(await this.#changeConfig());
    }
    await this.#system.setStoreFaults();
    return samples;
  }

  /** Withdraws a team's key; returns the seconds until the last entry refuses it. */
  async #withdrawKey(team: string): Promise<number> {
    const startMs = performance.now();
    const withdrawn = this.#system.command(["key", "withdraw", team]);
    const refused = await Promise.all(
      this.#system.entries.map((entry) => this.#waitForRefusal(entry, team)),
    );
    await withdrawn;
    return (Math.max(...refused) - startMs) / MS_PER_SECOND;
  }

  /** Polls an entry until it refuses the key, and returns the time of the refusal. */
  async #waitForRefusal(entry: testing.testSystem.EntryHandle, team: string): Promise<number> {
    const [url] = experimentSystem.queueUrls([entry], { queue: SERVICE });
    const headers = experimentSystem.authorizationHeader(team);
    await testing.waitFor.waitFor(`refusal of ${team}`, async () => {
      const answer = await fetch(url!, { headers });
      await answer.arrayBuffer();
      return answer.status === STATUS_UNAUTHORIZED;
    }, { intervalMs: PROBE_INTERVAL_MS });
    return performance.now();
  }

  /** Changes a queue's limit; returns the seconds until all entries report a newer revision. */
  async #changeConfig(): Promise<number> {
    this.#round += 1;
    const { queues } = this.#config;
    const queue = { ...queues![SERVICE]!, maxWaiting: 1_000 + this.#round };
    this.#config = { ...this.#config, keys: {}, queues: { [SERVICE]: queue } };
    const before = await this.#lowestRevision();
    const startMs = performance.now();
    const applied = this.#system.apply(this.#config);
    await testing.waitFor.waitFor(
      "the revision on all entries",
      async () => await this.#lowestRevision() > before,
      { intervalMs: PROBE_INTERVAL_MS },
    );
    const endMs = performance.now();
    const { code, output } = await applied;
    if (code !== 0) throw new experimentSystem.ExperimentSetupError(`Not applied: ${output}`);
    return (endMs - startMs) / MS_PER_SECOND;
  }

  async #lowestRevision(): Promise<number> {
    const statuses = await Promise.all(
      this.#system.entries.map((entry) => this.#system.statusOf(entry)),
    );
    return Math.min(...statuses.map(({ revision }) => revision));
  }
}
