/**
 * The layout of the platform store: every key of the project is made here.
 *
 * @module
 */

/** Everything of the project lies below this prefix. */
export const ROOT = "/jackdawlink/";
/** The head record. */
export const HEAD = `${ROOT}head`;
/** Chunks of configuration text, by digest. */
export const CHUNK_PREFIX = `${ROOT}chunks/`;
/** One record for each published revision. */
export const HISTORY_PREFIX = `${ROOT}history/`;
/** Keys attached to the leases of live members. */
export const ALIVE_PREFIX = `${ROOT}alive/`;
/** Claims of idempotency keys, by shard. */
export const CLAIM_PREFIX = `${ROOT}claims/`;
/** The records of VMs, pools, waves and workers; one list below it is a consistent snapshot. */
export const FLEET_PREFIX = `${ROOT}fleet/`;
/** One record for each VM; it names the VM's one pool. */
export const VM_PREFIX = `${FLEET_PREFIX}vms/`;
/** One record for each pool: its budget tokens. */
export const POOL_PREFIX = `${FLEET_PREFIX}pools/`;
/** One record for each maintenance wave: its state. */
export const WAVE_PREFIX = `${FLEET_PREFIX}waves/`;
/** Segments of job records. */
export const JOB_PREFIX = `${ROOT}jobs/`;
/** Names the steward that places jobs; each placement compares it. */
export const JOB_PLACER = `${ROOT}job-placer`;
/** One record for each worker: its health and quarantine. */
export const WORKER_PREFIX = `${FLEET_PREFIX}workers/`;
/** The VMs to which entries send nothing; one record, written together with the VM's own. */
export const DRAINING = `${FLEET_PREFIX}draining`;
/** Keys attached to the leases of live stewards. */
export const STEWARD_PREFIX = `${ROOT}stewards/`;

/** The digits of a revision in a key, so that keys sort by revision. */
const REVISION_DIGITS = 12;

/** The key of the chunk with a digest. */
export function chunkKey(digest: string): string {
  return `${CHUNK_PREFIX}${digest}`;
}

/** The key of the history record of a revision. */
export function historyKey(revision: number): string {
  return `${HISTORY_PREFIX}${String(revision).padStart(REVISION_DIGITS, "0")}`;
}

/** The key that exists while the lease of an incarnation runs. */
export function aliveKey(memberId: string, incarnation: string): string {
  return `${ALIVE_PREFIX}${memberId}/${incarnation}`;
}

/** The key of the record that names the owner of a shard of claims. */
export function claimOwnerKey(shard: number): string {
  return `${CLAIM_PREFIX}${shard}/owner`;
}

/** The prefix of the segments of a shard of claims. */
export function claimSegmentPrefix(shard: number): string {
  return `${CLAIM_PREFIX}${shard}/segments/`;
}

/** The key of a VM's record. */
export function vmKey(vm: string): string {
  return `${VM_PREFIX}${vm}`;
}

/** The key of a pool's record. */
export function poolKey(pool: string): string {
  return `${POOL_PREFIX}${pool}`;
}

/** The key of a wave's record. */
export function waveKey(wave: string): string {
  return `${WAVE_PREFIX}${wave}`;
}

/** The key of a worker's record. */
export function workerKey(worker: string): string {
  return `${WORKER_PREFIX}${worker}`;
}

/** The key of a segment of jobs. */
export function jobSegmentKey(segment: number): string {
  return `${JOB_PREFIX}${String(segment).padStart(4, "0")}`;
}

/** The key that exists while the lease of a steward runs. */
export function stewardKey(stewardId: string): string {
  return `${STEWARD_PREFIX}${stewardId}`;
}
