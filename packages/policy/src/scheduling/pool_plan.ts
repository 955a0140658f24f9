/**
 * Moves of VMs between pools: to pools that ask for more than they hold, and into standby where nothing
 * needs them. It answers queues whose demand rises to several times its mean by turns.
 *
 * @module
 */
import type * as schema from "@jackdawlink/schema";
import * as resources from "./resources.ts";
import { isIdle, type VmView } from "./vm_view.ts";

/** Room for this many times the demand, as tasks don't fill workers to the brim. */
const HEADROOM = 1.1;
/** A pool keeps so many VMs, so that lasting tasks do not all depend on one, and first tasks start at once. */
const MIN_VMS = 2;
/** An idle VM costs as much as a move within about a second, so it does not wait for long. */
const IDLE_BEFORE_STANDBY_MS = 1_000;
/** New orders at a time for one pool: a look's demand may be a peak that is over when the VM arrives. */
const MIN_MOVES_PER_LOOK = 8;
/** A turn asks a pool of a fifth of the fleet for about half of it, which then takes a second. */
const MOVES_PER_LOOK_SHARE = 1 / 8;

/** What the tasks of a pool ask for now and shortly. */
export interface PoolDemand {
  readonly pool: string;
  readonly isStandby: boolean;
  readonly demand: schema.scheduling.Resources;
  /** Tasks that must be spread need at least so many VMs. */
  readonly minVms: number;
}

/** One move, and why. */
export interface PoolMove {
  readonly vm: string;
  readonly toPool: string;
  readonly reason: string;
}

/** The moves to order now. `frozen` names VMs that must stay, such as those due for maintenance. */
export function planMoves(
  demands: readonly PoolDemand[],
  { vms, frozen, due, nowMs }: {
    readonly vms: readonly VmView[];
    readonly frozen: ReadonlySet<string>;
    /** VMs that are due for maintenance, which is best done while they are off. */
    readonly due: ReadonlySet<string>;
    readonly nowMs: number;
  },
): PoolMove[] {
  const standby = demands.find(({ isStandby }) => isStandby);
  const active = demands.filter(({ isStandby }) => !isStandby);
  const held = new Map(active.map(({ pool }) => [pool, vms.filter((view) => isOf(view, pool))]));
  const movable = vms.filter((view) => isIdle(view) && !frozen.has(view.vm));
  const off = movable.filter((view) => view.pool === standby?.pool)
    .sort((a, b) => Number(due.has(a.vm)) - Number(due.has(b.vm)));
  const idle = movable.filter((view) => view.pool !== standby?.pool);
  const moves: PoolMove[] = [];
  const mostMoves = Math.max(MIN_MOVES_PER_LOOK, Math.round(vms.length * MOVES_PER_LOOK_SHARE));
  const moveTo = (view: VmView, toPool: string, reason: string) => {
    moves.push({ vm: view.vm, toPool, reason });
    remove(held.get(view.pool), view);
    held.get(toPool)?.push(view);
  };
  const byNeed = active
    .map((demand) => ({ demand, missing: missingShare(demand, held.get(demand.pool)!) }))
    .filter(({ missing }) => missing > 0)
    .sort((a, b) => b.missing - a.missing);
  for (const { demand } of byNeed) {
    for (let count = 0; count < mostMoves; count++) {
      if (missingShare(demand, held.get(demand.pool)!) <= 0) {
        break;
      }
      const giver = off.shift() ?? takeSurplus(idle, { demands: active, held, taker: demand.pool });
      if (giver === undefined) {
        break;
      }
      moveTo(giver, demand.pool, "its tasks ask for more room");
    }
  }
  for (const view of standby === undefined ? [] : idle) {
    const isRested = view.worker !== undefined &&
      nowMs - view.worker.idleSinceMs >= IDLE_BEFORE_STANDBY_MS;
    if (isRested && isSurplus(view, active, held)) {
      moveTo(view, standby!.pool, "nothing needs it");
    }
  }
  return moves;
}

function isOf(view: VmView, pool: string): boolean {
  const isLeaving = view.worker !== undefined &&
    (view.worker.info.isDraining || view.worker.cordon !== undefined);
  return view.pool === pool && view.state !== "down" && view.state !== "upkeep" && !isLeaving;
}

/** How much of the wanted room is missing; VMs that are about to go down don't count. */
function missingShare({ demand, minVms }: PoolDemand, held: readonly VmView[]): number {
  const room = held.reduce((sum, { total }) => resources.add(sum, total), resources.NO_RESOURCES);
  const lacks = (wanted: number, has: number) => wanted * HEADROOM > has;
  const lacksRoom = lacks(demand.cpuMillicores, room.cpuMillicores) ||
    lacks(demand.memoryMb, room.memoryMb) || lacks(demand.gpuCount, room.gpuCount);
  if (lacksRoom) {
    const share = demand.cpuMillicores * HEADROOM / Math.max(1, room.cpuMillicores);
    return Math.max(share, Number.EPSILON);
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
  return demand === undefined || missingShare(demand, others) <= 0;
}

function takeSurplus(
  idle: VmView[],
  { demands, held, taker }: {
    readonly demands: readonly PoolDemand[];
    readonly held: ReadonlyMap<string, VmView[]>;
    readonly taker: string;
  },
): VmView | undefined {
  const giver = idle.find((view) => view.pool !== taker && isSurplus(view, demands, held));
  remove(idle, giver);
  return giver;
}

function remove(views: VmView[] | undefined, view: VmView | undefined): void {
  const index = view === undefined ? -1 : views?.indexOf(view) ?? -1;
  if (index >= 0) {
    views!.splice(index, 1);
  }
}
