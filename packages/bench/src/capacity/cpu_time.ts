/**
 * Measures the processor time of synchronous code, which a busy machine distorts less than elapsed
 * time.
 *
 * @module
 */
import { median } from "./least_squares.ts";

/** The number of repeats and their duration. */
export interface CpuTimeOptions {
  readonly repeats?: number;
  /** The minimum processor time of one repeat. */
  readonly minRepeatMs?: number;
}

const US_PER_MS = 1_000;
/** The warm-up in repeats, after which the JIT compiler has optimized the code. */
const WARM_UP_FACTOR = 4;

/** The processor time of one call in milliseconds: the median over several repeats. */
export function measureCpuMs(
  call: () => unknown,
  { repeats = 5, minRepeatMs = 60 }: CpuTimeOptions = {},
): number {
  meanCallMs(call, WARM_UP_FACTOR * minRepeatMs);
  return median(Array.from({ length: repeats }, () => meanCallMs(call, minRepeatMs)));
}

function meanCallMs(call: () => unknown, minRepeatMs: number): number {
  const start = process.cpuUsage();
  let calls = 0;
  for (;;) {
    call();
    calls += 1;
    const { user, system } = process.cpuUsage(start);
    const usedMs = (user + system) / US_PER_MS;
    if (usedMs >= minRepeatMs) return usedMs / calls;
  }
}
