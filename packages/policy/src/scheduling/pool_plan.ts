/**
 * Plans moves of VMs between pools: to pools whose demand exceeds their capacity, and to the
 * standby pool when no pool needs them. Demand shifts between queues, each of which peaks at
 * several times its mean in turn.
 *
 * @module
 */
import type * as schema from "@jackdawlink/schema";
import * as resources from "./resources.ts";
import { isIdle, type VmView } from "./vm_view.ts";

/** Target ratio of capacity to demand, as tasks don't fill workers completely. */
const HEADROOM = 1.1;
/**
 * Minimum VMs of a pool, so that long-running tasks don't all depend on one and first tasks start
 * at once.
 */
const MIN_VMS = 2;
/**
 * Minimum idle time before a move to standby; idling for about a second costs as much as the move.
 */
const MIN_IDLE_BEFORE_STANDBY_MS = 1_000;
/**
 * The limit of moves to a pool per planning round in a small fleet. There is a limit because a
 * demand peak may be over when the VMs arrive.
 */
const MIN_MOVES_PER_ROUND = 8;
/**
 * The limit of moves to a pool per planning round, relative to the fleet. A peak grows a pool from
 * a fifth of the fleet to about half, which takes 1 s at this rate.
 */
const MOVES_PER_ROUND_RATIO = 1 / 8;

/** The resources that the tasks of a pool need now and shortly. */
export interface PoolDemand {
  readonly pool: string;
  readonly isStandby: boolean;
  readonly demand: schema.scheduling.Resources;
  /** The minimum number of VMs for tasks that must be spread. */
  readonly minVms: number;
}

/** One move and its reason for the log. */
export interface PoolMove {
  readonly vm: string;
  readonly toPool: string;
  readonly reason: string;
}

/**
 * Returns the moves to order now. VMs in `frozen` must stay, such as those that are draining for
 * maintenance.
 */
export function planMoves(
  demands: readonly PoolDemand[],
  { vms, frozen, due, nowMs }: {
    readonly vms: readonly VmView[];
    readonly frozen: ReadonlySet<string>;
    /** VMs due for maintenance; they leave standby last, as they are best maintained while off. */
    readonly due: ReadonlySet<string>;
    readonly nowMs: number;
  },
): PoolMove[] {
  const standby = demands.find(({ isStandby }) => isStandby);
  const active = demands.filter(({ isStandby }) => !isStandby);
  const held = heldByPool(active, vms);
  const movable = vms.filter((view) => isIdle(view) && !frozen.has(view.vm));
  const standbyVms = movable.filter((view) => view.pool === standby?.pool)
    .sort((a, b) => Number(due.has(a.vm)) - Number(due.has(b.vm)));
  const idleVms = movable.filter((view) => view.pool !== standby?.pool);
  const moves: PoolMove[] = [];
  const maxMoves = Math.max(MIN_MOVES_PER_ROUND, Math.round(vms.length * MOVES_PER_ROUND_RATIO));
  const moveTo = (view: VmView, toPool: string, reason: string) => {
    moves.push({ vm: view.vm, toPool, reason });
    remove(held.get(view.pool), view);
    held.get(toPool)?.push(view);
  };
  const byNeed = active
    .map((demand) => ({ demand, shortfall: shortfallOf(demand, held.get(demand.pool)!) }))
    .filter(({ shortfall }) => shortfall > 0)
    .sort((a, b) => b.shortfall - a.shortfall);
  for (const { demand } of byNeed) {
    for (let count = 0; count < maxMoves; count++) {
      if (shortfallOf(demand, held.get(demand.pool)!) <= 0) {
        break;
      }
      const donor = standbyVms.shift() ??
        takeSurplus(idleVms, { demands: active, held, recipient: demand.pool });
      if (donor === undefined) {
        break;
      }
      moveTo(donor, demand.pool, "its tasks need more capacity");
    }
  }
  for (const view of standby === undefined ? [] : idleVms) {
    const isIdleLongEnough = view.worker !== undefined &&
      nowMs - view.worker.idleSinceMs >= MIN_IDLE_BEFORE_STANDBY_MS;
    if (isIdleLongEnough && isSurplus(view, active, held)) {
      moveTo(view, standby!.pool, "no pool needs it");
    }
  }
  return moves;
}

/** The idle VMs that their pools cannot spare. */
export function neededVms(
  demands: readonly PoolDemand[],
  vms: readonly VmView[],
): Set<string> {
  const active = demands.filter(({ isStandby }) => !isStandby);
  const held = heldByPool(active, vms);
  const needed = new Set<string>();
  for (const view of vms.filter((view) => held.has(view.pool) && isIdle(view))) {
    if (isSurplus(view, active, held)) {
      remove(held.get(view.pool), view);
    } else {
      needed.add(view.vm);
    }
  }
  return needed;
}

/** The VMs that count for the capacity of each pool. */
function heldByPool(
  demands: readonly PoolDemand[],
  vms: readonly VmView[],
): Map<string, VmView[]> {
  return new Map(
    demands.map(({ pool }) => [pool, vms.filter((view) => isHeldBy(view, pool))]),
  );
}

/** Whether the VM counts for the pool's capacity; VMs that are about to go down don't. */
function isHeldBy(view: VmView, pool: string): boolean {
  const isLeaving = view.worker !== undefined &&
    (view.worker.info.isDraining || view.worker.cordon !== undefined);
  return view.pool === pool && view.state !== "down" && view.state !== "upkeep" && !isLeaving;
}

/**
 * What a VM contributes to its pool: the total of its worker, or what the worker holds where it has shrunk
 * below that, since those runs count as demand and need no other VM.
 */
function capacityOf({ total, worker, state }: VmView): schema.scheduling.Resources {
  return worker === undefined || state !== "up"
    ? total
    : resources.max(worker.info.total, worker.used);
}

/** How short of capacity a pool is, as demand over capacity; zero if it has enough. */
function shortfallOf({ demand, minVms }: PoolDemand, held: readonly VmView[]): number {
  const capacity = held.reduce(
    (sum, view) => resources.add(sum, capacityOf(view)),
    resources.NO_RESOURCES,
  );
  const isShort = (wanted: number, has: number) => wanted * HEADROOM > has;
  const isCapacityShort = isShort(demand.cpuMillicores, capacity.cpuMillicores) ||
    isShort(demand.memoryMb, capacity.memoryMb) || isShort(demand.gpuCount, capacity.gpuCount);
  if (isCapacityShort) {
    const demandRatio = demand.cpuMillicores * HEADROOM / Math.max(1, capacity.cpuMillicores);
    return Math.max(demandRatio, Number.EPSILON);
  }
  return held.length < Math.max(MIN_VMS, minVms) ? Number.EPSILON : 0;
}

function isSurplus(
  view: VmView,
  demands: readonly PoolDemand[],
  held: ReadonlyMap<string, VmView[]>,
): boolean {
  const demand = demands.find(({ pool }) => pool === view.pool);
  const others = (held.get(view.pool) ?? []).filter((other) => other !== view);
  return demand === undefined || shortfallOf(demand, others) <= 0;
}

function takeSurplus(
  idle: VmView[],
  { demands, held, recipient }: {
    readonly demands: readonly PoolDemand[];
    readonly held: ReadonlyMap<string, VmView[]>;
    readonly recipient: string;
  },
): VmView | undefined {
  const donor = idle.find((view) => view.pool !== recipient && isSurplus(view, demands, held));
  remove(idle, donor);
  return donor;
}

function remove(views: VmView[] | undefined, view: VmView | undefined): void {
  const index = view === undefined ? -1 : views?.indexOf(view) ?? -1;
  if (index >= 0) {
    views!.splice(index, 1);
  }
}
