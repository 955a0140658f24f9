/**
 * Measures what permits cost: one coordinator by number of backend servers, teams and members, and
 * all permits of an entry by number of entries and teams.
 *
 * @module
 */
import * as policy from "@jackdawlink/policy";
import { makeMember } from "./config_slopes.ts";
import { measureCpuMs } from "./cpu_time.ts";
import * as permitCluster from "./permit_cluster.ts";
import * as plannedSize from "./planned_size.ts";
import type { Slope } from "./slope.ts";

interface CoordinatorSize {
  readonly backendServers: number;
  readonly teams: number;
  readonly members: number;
}

const SLOTS = 8;
const TERM = 1;
const STEP_MS = 50;
const SEED = 11;
/** The largest service at present has 9 backend servers; the planned mean is 8. */
const PLANNED_SERVICE: CoordinatorSize = { backendServers: 8, teams: 19, members: 36 };
const CLUSTER_TRAFFIC = { meanRunMs: 500, simulatedMs: 2_000, seed: SEED };
const MEMBER_COUNTS = [3, 9, 18, 36];
const CLUSTER_TEAMS = [37, 100, 370];

/** The processor time of one decision of a coordinator whose slots are all in demand. */
function measureAdvanceMs(size: CoordinatorSize): number {
  const { coordinator, names } = startCoordinator(size);
  let nowMs = 0;
  return measureCpuMs(() => {
    nowMs += STEP_MS;
    const { grants } = coordinator.advance(nowMs);
    for (const { to, grant } of grants) {
      coordinator.onDemand(to, demandOf(grant, { names, members: size.members, nowMs }));
    }
  });
}

function startCoordinator(size: CoordinatorSize) {
  const members = Array.from({ length: size.members }, (_, index) => makeMember(index));
  const names = Array.from({ length: size.teams }, (_, index) => `team-${index + 1}`);
  const coordinator = new policy.permitCoordinator.Coordinator({
    group: "service:planned",
    term: TERM,
    incarnation: members[0]!.incarnation,
    planner: new policy.permitGroupPlan.ServiceNeedPlanner(() => ({ weight: 1, limit: null })),
    variant: { skipsWitness: true, skipsReports: true },
  });
  const totals = Array.from(
    { length: size.backendServers },
    (_, index) => [`slots:planned/${index + 1}`, SLOTS] as const,
  );
  coordinator.setTotals(new Map(totals));
  coordinator.setView({ members, fences: [], witness: null });
  const slotsOfMember = Math.ceil(size.backendServers * SLOTS / size.members);
  for (const { incarnation } of members) {
    const teams = names.map((team) => ({
      team,
      running: 0,
      waiting: slotsOfMember,
      urgentWaiting: 0,
    }));
    coordinator.onDemand(incarnation, { term: TERM, holdings: [], teams });
  }
  return { coordinator, names };
}

function demandOf(
  { resource, allotment, grantSeq }: { resource: string; allotment: number; grantSeq: number },
  { names, members, nowMs }: { names: readonly string[]; members: number; nowMs: number },
) {
  const waiting = 1 + Math.floor(nowMs / STEP_MS) % members;
  const teams = names.map((team) => ({ team, running: 0, waiting, urgentWaiting: 0 }));
  const holding = { resource, held: allotment, inUse: allotment, grantSeq };
  return { term: TERM, holdings: [holding], teams };
}

function coordinatorSlopes(): readonly Slope[] {
  const base = PLANNED_SERVICE;
  const figure = "one decision of a full service's coordinator, ms";
  const sizes: Readonly<Record<keyof CoordinatorSize, readonly number[]>> = {
    backendServers: [8, 40, 400, 4_000],
    teams: [5, 19, 100, 370],
    members: [9, 18, 36, 72],
  };
  return (Object.keys(sizes) as (keyof CoordinatorSize)[]).map((size) => ({
    figure,
    size,
    points: sizes[size].map((x) => ({ x, y: measureAdvanceMs({ ...base, [size]: x }) })),
    plannedSize: base[size],
  }));
}

function clusterSlopes(utilization: number): readonly Slope[] {
  const label = `at ${utilization * 100}% of all slots`;
  const byMembers = MEMBER_COUNTS.map((members) => ({
    x: members,
    cost: measureCost({ teams: 100, members, utilization }),
  }));
  const byTeams = CLUSTER_TEAMS.map((teams) => ({
    x: teams,
    cost: measureCost({ teams, members: 9, utilization }),
  }));
  const figures: Readonly<Record<string, (cost: permitCluster.ClusterCost) => number>> = {
    "permits' messages per request": (cost) => cost.messagesPerSecond / cost.requestsPerSecond,
    "permits' bytes per request": (cost) => cost.bytesPerSecond / cost.requestsPerSecond,
    "permits' processor time per request, ms": (cost) =>
      10 * cost.cpuPercent / cost.requestsPerSecond,
  };
  return Object.entries(figures).flatMap(([figure, read]) => [
    {
      figure: `${figure} ${label}, 100 teams`,
      size: "members",
      points: byMembers.map(({ x, cost }) => ({ x, y: read(cost) })),
      plannedSize: PLANNED_SERVICE.members,
    },
    {
      figure: `${figure} ${label}, 9 members`,
      size: "teams",
      points: byTeams.map(({ x, cost }) => ({ x, y: read(cost) })),
      plannedSize: plannedSize.PLANNED.teams,
    },
  ]);
}

function measureCost(
  { teams, members, utilization }: { teams: number; members: number; utilization: number },
): permitCluster.ClusterCost {
  return permitCluster.measureCluster({
    ...CLUSTER_TRAFFIC,
    config: plannedSize.plannedConfig(teams),
    members,
    utilization,
    activeTeams: teams,
  });
}

/** Measures all figures. */
export function run(): Promise<readonly Slope[]> {
  return Promise.resolve([
    ...coordinatorSlopes(),
    ...clusterSlopes(0.5),
    ...clusterSlopes(1.2),
  ]);
}
