/**
 * Which node takes the ownership over. It answers fleets whose entry VMs differ in strength: the owner talks
 * to every worker, and a VM with a third of a core or a thin link falls behind in a large fleet.
 *
 * @module
 */

/** An owner of 246 workers used up to 0.83 of a core and about 30 Mbit/s of its link at the peak. */
const LINK_MBPS_PER_CORE = 40;
/** Nothing waits for the first owner of a deployment. */
const FIRST_OWNER_DELAY_MS = 1_000;
/** Many times the difference in when candidates hear that the ownership is free. */
const WEAK_CANDIDATE_DELAY_MS = 500;

/** What a VM lends to an owner. */
export interface NodeCapacity {
  readonly cpuCores: number;
  readonly linkMbps: number;
}

/** How much an owner on the VM can do, in cores; a thin link counts like a weak processor. */
export function strengthOf({ cpuCores, linkMbps }: NodeCapacity): number {
  return Math.min(cpuCores, linkMbps / LINK_MBPS_PER_CORE);
}

/**
 * How long a candidate leaves the ownership to stronger ones, in ms.
 *
 * @param strongest - The strength of the strongest owner so far; undefined before the first one.
 */
export function takeoverDelayMs(strength: number, strongest: number | undefined): number {
  const [mostMs, share] = strongest === undefined
    ? [FIRST_OWNER_DELAY_MS, strength]
    : [WEAK_CANDIDATE_DELAY_MS, strength / strongest];
  return mostMs * Math.max(0, 1 - share);
}
