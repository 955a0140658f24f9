/**
 * Delays weak candidates in the leader election, so that a strong node becomes owner. The owner
 * communicates with every worker, and a VM with a third of a core or a slow link falls behind in a
 * large fleet.
 *
 * @module
 */

/**
 * At its peak, an owner of 246 workers used up to 0.83 of a core and about 30 Mbit/s of its link.
 */
const LINK_MBPS_PER_CORE = 40;
/** Maximum delay before the first owner of a deployment, for which no work waits. */
const FIRST_OWNER_DELAY_MS = 1_000;
/** Maximum delay of a takeover; many times the spread in when candidates notice the vacancy. */
const WEAK_CANDIDATE_DELAY_MS = 500;

/** The resources of a VM that an owner can use. */
export interface NodeCapacity {
  readonly cpuCores: number;
  readonly linkMbps: number;
}

/** The VM's strength as an owner, in cores; a slow link limits it like a weak processor. */
export function strengthOf({ cpuCores, linkMbps }: NodeCapacity): number {
  return Math.min(cpuCores, linkMbps / LINK_MBPS_PER_CORE);
}

/**
 * Returns how long a candidate waits for stronger ones to take the ownership, in ms.
 *
 * @param strongest - The strength of the strongest owner so far; undefined before the first one.
 */
export function takeoverDelayMs(strength: number, strongest: number | undefined): number {
  const [maxDelayMs, relativeStrength] = strongest === undefined
    ? [FIRST_OWNER_DELAY_MS, strength]
    : [WEAK_CANDIDATE_DELAY_MS, strength / strongest];
  return maxDelayMs * Math.max(0, 1 - relativeStrength);
}
