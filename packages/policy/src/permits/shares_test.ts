import { config as configs } from "@jackdawlink/schema";
import * as v from "valibot";
import { describe, expect, it } from "vitest";
import * as groups from "./groups.ts";
import * as permits from "./member.ts";
import type * as outboxes from "./outbox.ts";

const ENTRIES = 9;
const BACKEND_SERVERS = Array.from({ length: 8 }, (_, index) => `b${index}`);
const SLOTS = 64;
const RUN_MS = 100;
const TURN_MS = 5;
const WARM_UP_MS = 3_000;
const WINDOW_MS = 10_000;
const WAITING = 100;
const TIMING = { freshForMs: 2_500, marginMs: 500, acceptedAtMs: () => null };

interface Run {
  readonly entry: number;
  readonly team: string;
  readonly permit: permits.HeldPermit;
  readonly endAtMs: number;
}

/** Returns the average running requests by team; `callers` lists the entries with demand of it. */
function averageRunning(weights: Record<string, number>, callers: Record<string, number[]>) {
  const teams = Object.keys(weights);
  const config = v.parse(configs.configSchema, {
    services: { renewals: { pool: "shops" } },
    backendServers: Object.fromEntries(BACKEND_SERVERS.map((name) => [name, {
      service: "renewals",
      address: "127.0.0.1:3",
      vm: "vm",
      availabilityZone: "zone-0",
    }])),
    shares: Object.fromEntries(
      teams.map((team) => [team, { team, pool: "shops", weight: weights[team] }]),
    ),
  });
  const listed = Array.from({ length: ENTRIES }, (_, index) => ({
    memberId: `entry-${index}`,
    incarnation: `entry-${index}-1`,
    peerAddress: "127.0.0.1:1",
    operatorAddress: "127.0.0.1:2",
    availabilityZone: `zone-${index % 3}`,
    leaving: false,
  }));
  const view = { members: listed, fences: [], membersRevision: 1, groups: groups.groupsOf(config) };
  const members = listed.map((member) => new permits.PermitMember(member));
  for (const member of members) member.setView(view);
  let runs: Run[] = [];
  let random = 1;
  const sums = new Map(teams.map((team) => [team, 0]));
  const runningOf = (entry: number, team: string) =>
    runs.filter((run) => run.entry === entry && run.team === team).length;

  /** Starts requests of the team furthest below its target until no permit is free. */
  const start = (entry: number, nowMs: number) => {
    const waiting = teams.filter((team) => callers[team]!.includes(entry));
    while (waiting.length > 0) {
      const ahead = (team: string) =>
        runningOf(entry, team) - (members[entry]!.targetOf("renewals", team) ?? 0);
      const team = waiting.reduce((least, it) => ahead(it) < ahead(least) ? it : least);
      const request = { team, service: "renewals", backendServers: BACKEND_SERVERS };
      const permit = members[entry]!.take(request);
      if (permit === null) return;
      random = random * 48_271 % 2_147_483_647;
      const endAtMs = nowMs - Math.log(random / 2_147_483_647) * RUN_MS;
      runs.push({ entry, team, permit, endAtMs });
    }
  };

  for (let nowMs = 1; nowMs <= WARM_UP_MS + WINDOW_MS; nowMs += 1) {
    for (const run of runs) if (run.endAtMs <= nowMs) members[run.entry]!.release(run.permit);
    runs = runs.filter((run) => run.endAtMs > nowMs);
    for (let entry = 0; entry < ENTRIES; entry += 1) start(entry, nowMs);
    for (const { team } of nowMs > WARM_UP_MS ? runs : []) {
      sums.set(team, sums.get(team)! + 1 / WINDOW_MS);
    }
    if (nowMs % TURN_MS !== 0) continue;
    const sent = members.flatMap((member, entry) => {
      const loads = teams.filter((team) => callers[team]!.includes(entry)).map((team) => ({
        service: "renewals",
        team,
        running: runningOf(entry, team),
        waiting: WAITING,
        urgentWaiting: 0,
      }));
      const { messages } = member.advance(nowMs, { loads, timing: TIMING });
      return messages.map((outgoing): [outboxes.Outgoing, number] => [outgoing, entry]);
    });
    for (const [{ memberId, message }, entry] of sent) {
      const to = members[listed.findIndex((member) => member.memberId === memberId)]!;
      to.receive(message as permits.PermitMessage, listed[entry]!);
    }
  }
  return sums;
}

const ALL = Array.from({ length: ENTRIES }, (_, index) => index);

describe("team shares of a fully loaded service", () => {
  it.each<{ weights: Record<string, number>; callers: Record<string, number[]> }>([
    { weights: { a: 3, b: 1 }, callers: { a: ALL, b: ALL } },
    { weights: { a: 3, b: 1 }, callers: { a: [0, 1], b: ALL.slice(2) } },
    { weights: { a: 3, b: 1 }, callers: { a: [0, 1], b: ALL } },
    {
      weights: { a: 5, b: 3, c: 2, d: 1, e: 1 },
      callers: { a: [0, 1], b: ALL, c: ALL.slice(2), d: ALL, e: [0] },
    },
  ])("are within 3% of the weights over 10 s: $weights from $callers", ({ weights, callers }) => {
    const running = averageRunning(weights, callers);
    const sum = Object.values(weights).reduce((total, weight) => total + weight, 0);
    for (const [team, weight] of Object.entries(weights)) {
      const share = SLOTS * weight / sum;
      expect(Math.abs(running.get(team)! - share) / share, team).toBeLessThan(0.03);
    }
  });
});
