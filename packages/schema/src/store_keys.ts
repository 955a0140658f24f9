/**
 * The key layout of the platform store. All keys that the project uses are built here.
 *
 * @module
 */

/** The prefix of all keys of the project. */
export const ROOT = "/jackdawlink/";
/** The key of the head record. */
export const HEAD = `${ROOT}head`;
/** Configuration chunks by digest. */
export const CHUNK_PREFIX = `${ROOT}chunks/`;
/** A history record for each published revision. */
export const HISTORY_PREFIX = `${ROOT}history/`;
/** Liveness keys of members, attached to their leases. */
export const ALIVE_PREFIX = `${ROOT}alive/`;
/** Claims of idempotency keys, by shard. */
export const CLAIM_PREFIX = `${ROOT}claims/`;
/** Records of VMs, pools, waves and workers; one list of this prefix is a consistent snapshot. */
export const FLEET_PREFIX = `${ROOT}fleet/`;
/** A record for each VM, which names its pool. */
export const VM_PREFIX = `${FLEET_PREFIX}vms/`;
/** A record for each pool with the availability budget tokens in use. */
export const POOL_PREFIX = `${FLEET_PREFIX}pools/`;
/** A record for each maintenance wave with its state. */
export const WAVE_PREFIX = `${FLEET_PREFIX}waves/`;
/** Segments of job records. */
export const JOB_PREFIX = `${ROOT}jobs/`;
/** The key that names the steward placing jobs; each placement is conditional on its revision. */
export const JOB_PLACER = `${ROOT}job-placer`;
/** A record for each worker with failures: its quarantine state. */
export const WORKER_PREFIX = `${FLEET_PREFIX}workers/`;
/** The record of draining VMs, written in the same transaction as the record of the VM. */
export const DRAINING = `${FLEET_PREFIX}draining`;
/** Liveness keys of stewards, attached to their leases. */
export const STEWARD_PREFIX = `${ROOT}stewards/`;

/** Revisions in keys are zero-padded to this length so that keys sort by revision. */
const REVISION_DIGITS = 12;

/** Returns the key of the chunk with a digest. */
export function chunkKey(digest: string): string {
  return `${CHUNK_PREFIX}${digest}`;
}

/** Returns the key of the history record of a revision. */
export function historyKey(revision: number): string {
  return `${HISTORY_PREFIX}${String(revision).padStart(REVISION_DIGITS, "0")}`;
}

/** Returns the key that exists as long as the lease of an incarnation. */
export function aliveKey(memberId: string, incarnation: string): string {
  return `${ALIVE_PREFIX}${memberId}/${incarnation}`;
}

/** Returns the key of the owner record of a claim shard. */
export function claimOwnerKey(shard: number): string {
  return `${CLAIM_PREFIX}${shard}/owner`;
}

/** Returns the key prefix of the segments of a claim shard. */
export function claimSegmentPrefix(shard: number): string {
  return `${CLAIM_PREFIX}${shard}/segments/`;
}

/** Returns the key of a VM's record. */
export function vmKey(vm: string): string {
  return `${VM_PREFIX}${vm}`;
}

/** Returns the key of a pool's record. */
export function poolKey(pool: string): string {
  return `${POOL_PREFIX}${pool}`;
}

/** Returns the key of a wave's record. */
export function waveKey(wave: string): string {
  return `${WAVE_PREFIX}${wave}`;
}

/** Returns the key of a worker's record. */
export function workerKey(worker: string): string {
  return `${WORKER_PREFIX}${worker}`;
}

/** Returns the key of a job segment. */
export function jobSegmentKey(segment: number): string {
  return `${JOB_PREFIX}${String(segment).padStart(4, "0")}`;
}

/** Returns the key that exists as long as the lease of a steward. */
export function stewardKey(stewardId: string): string {
  return `${STEWARD_PREFIX}${stewardId}`;
}
