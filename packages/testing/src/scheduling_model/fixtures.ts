/**
 * Builders of job steps, queues and store documents for scheduling tests, and a clock that follows
 * fake timers.
 *
 * @module
 */
import type * as ports from "@jackdawlink/ports";
import * as schema from "@jackdawlink/schema";
import { err } from "neverthrow";

/** Reads `Date` and the global timers, which tests replace by fake ones. */
export const TIMER_CLOCK: ports.clock.Clock = {
  nowMs: () => Date.now(),
  steadyMs: () => Date.now(),
  wallMs: () => Date.now(),
  after: (delayMs, callback) => {
    const timer = setTimeout(callback, delayMs);
    return () => clearTimeout(timer);
  },
};

/** A step of one task that needs one core and is estimated at one second, with overrides. */
export function step(given: Partial<schema.scheduling.Step> = {}): schema.scheduling.Step {
  return {
    taskCount: 1,
    resources: { cpuMillicores: 1_000, memoryMb: 100, gpuCount: 0 },
    estimateMs: 1_000,
    afterSteps: [],
    isCheckpointing: false,
    isGang: false,
    isSameRack: false,
    maxTasksPerWorker: 0,
    isSpeculative: false,
    isLasting: false,
    latencyObjectiveMs: 0,
    usesSpareCpu: false,
    ...given,
  };
}

/** A queue in the pool `pool`, with overrides. */
export function queue(
  name: string,
  given: Partial<schema.scheduling.Queue> = {},
): schema.scheduling.Queue {
  return {
    name,
    host: "",
    pathPrefix: `/${name}/`,
    pool: "pool",
    priority: 0,
    maxAttempts: 3,
    objectiveStretch: 2,
    objectiveSlackMs: 500,
    isPublic: false,
    ...given,
  };
}

/** Store documents with overrides. Decoders that are not given return an error. */
export function documents(
  given: Partial<ports.scheduling.Documents>,
): ports.scheduling.Documents {
  const refuse = () => err(new schema.errors.InvalidInputError("Not used"));
  return {
    configKey: "config",
    workerPrefix: "workers/",
    wavePrefix: "waves/",
    decodeConfig: refuse,
    decodeWorker: refuse,
    decodeWave: refuse,
    decodeSubmission: refuse,
    waveStateItem: (wave, state) => ({ key: `wave-states/${wave}`, value: state }),
    ...given,
  };
}
