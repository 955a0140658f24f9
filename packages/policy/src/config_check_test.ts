import { readFileSync } from "node:fs";
import * as schema from "@jackdawlink/schema";
import * as v from "valibot";
import { describe, expect, it } from "vitest";
import { checkChange, checkConfig } from "./config_check.ts";
import { parseConfig } from "./config_text.ts";

type Tables = Record<string, Record<string, object>>;

const DIGEST_A = "a".repeat(64);
const DIGEST_B = "b".repeat(64);

function server(index: number, fields: object = {}): object {
  return {
    service: "packs",
    address: `127.0.0.1:${7_000 + index}`,
    vm: `vm-${index}`,
    availabilityZone: index % 2 === 0 ? "zone-a" : "zone-b",
    ...fields,
  };
}

/** A configuration without findings. */
const VALID_TABLES: Tables = {
  workspaces: { parish: {} },
  teams: { east: { workspace: "parish" }, west: { workspace: "parish" } },
  keys: { east: { team: "east", secretSha256: DIGEST_A } },
  pools: { packs: {}, booking: {}, spare: { spare: true } },
  services: { packs: { pool: "packs" }, booking: { pool: "booking" } },
  backendServers: {
    "packs-1": server(1),
    "packs-2": server(2),
    "packs-3": server(3),
    "packs-4": server(4),
    "booking-1": server(5, { service: "booking" }),
    "booking-2": server(6, { service: "booking" }),
  },
  shares: {
    east: { team: "east", pool: "packs", weight: 3 },
    west: { team: "west", pool: "packs", weight: 1 },
  },
  limits: { east: { team: "east", maxRunningRequests: 32 } },
  queues: { packs: { service: "packs" } },
  availabilityBudgets: {
    packs: { pool: "packs", maxUnavailable: 2, maxUnavailablePerAvailabilityZone: 1 },
    booking: { pool: "booking", maxUnavailable: 1 },
  },
  maintenanceWaves: {
    monthly: { pools: ["packs"], vmMaintenanceMs: 1_000, finishWithinMs: 3_000 },
  },
};

function configWith(changes: Tables): schema.config.Config {
  const merged: Tables = { ...VALID_TABLES };
  for (const [kind, objects] of Object.entries(changes)) {
    merged[kind] = { ...merged[kind], ...objects };
  }
  return v.parse(schema.config.configSchema, merged);
}

describe("checkConfig", () => {
  it("finds nothing in a valid configuration", () => {
    expect(checkConfig(configWith({}))).toEqual([]);
  });

  it.each<{ kind: string; object: object; field: string; promise: string }>([
    { kind: "teams", object: { workspace: "lost" }, field: "workspace", promise: "team-isolation" },
    {
      kind: "keys",
      object: { team: "lost", secretSha256: DIGEST_B },
      field: "team",
      promise: "team-isolation",
    },
    {
      kind: "backendServers",
      object: server(9, { service: "lost" }),
      field: "service",
      promise: "one-pool",
    },
    {
      kind: "shares",
      object: { team: "east", pool: "lost", weight: 1 },
      field: "pool",
      promise: "fair-share",
    },
    {
      kind: "shares",
      object: { team: "lost", pool: "booking", weight: 1 },
      field: "team",
      promise: "fair-share",
    },
    {
      kind: "limits",
      object: { team: "lost", maxRunningRequests: 1 },
      field: "team",
      promise: "team-limit",
    },
    { kind: "queues", object: { service: "lost" }, field: "service", promise: "on-time" },
    {
      kind: "queues",
      object: { service: "packs", openTeam: "lost" },
      field: "openTeam",
      promise: "team-isolation",
    },
    {
      kind: "availabilityBudgets",
      object: { pool: "lost", maxUnavailable: 1 },
      field: "pool",
      promise: "availability-budget",
    },
    {
      kind: "maintenanceWaves",
      object: { pools: ["lost"] },
      field: "pools",
      promise: "availability-budget",
    },
  ])(
    "finds an unknown object in the field $field of $kind",
    ({ kind, object, field, promise }) => {
      const findings = checkConfig(configWith({ [kind]: { new: object } }));
      expect(findings).toMatchObject([{ severity: "error", kind, name: "new", field, promise }]);
    },
  );

  it.each<{ title: string; changes: Tables; found: string; promise: string; severity?: string }>([
    {
      title: "a service in an unknown pool",
      changes: {
        services: { modules: { pool: "lost" } },
        backendServers: { "modules-1": server(9, { service: "modules" }) },
      },
      found: "services/modules pool",
      promise: "one-pool",
    },
    {
      title: "a reference named like an inherited property of objects",
      changes: { teams: { north: { workspace: "constructor" } } },
      found: "teams/north workspace",
      promise: "team-isolation",
    },
    {
      title: "a VM in two pools",
      changes: {
        backendServers: {
          "booking-1": server(1, { service: "booking", address: "127.0.0.1:8000" }),
        },
      },
      found: "backendServers/booking-1 vm",
      promise: "one-pool",
    },
    {
      title: "a VM in two availability zones",
      changes: {
        backendServers: {
          "packs-5": server(1, { address: "127.0.0.1:8000", availabilityZone: "zone-c" }),
        },
      },
      found: "backendServers/packs-5 availabilityZone",
      promise: "availability-budget",
    },
    {
      title: "two backend servers at one address",
      changes: { backendServers: { "packs-5": server(7, { address: "127.0.0.1:7001" }) } },
      found: "backendServers/packs-5 address",
      promise: "own-answer",
    },
    {
      title: "fewer connections than slots",
      changes: { backendServers: { "packs-1": server(1, { connections: 4 }) } },
      found: "backendServers/packs-1 connections",
      promise: "own-answer",
    },
    {
      title: "a service without backend servers",
      changes: { services: { modules: { pool: "packs" } } },
      found: "services/modules ",
      promise: "on-time",
      severity: "warning",
    },
    {
      title: "a service whose backend servers all drain",
      changes: {
        backendServers: {
          "booking-1": server(5, { service: "booking", draining: true }),
          "booking-2": server(6, { service: "booking", draining: true }),
        },
      },
      found: "services/booking ",
      promise: "on-time",
      severity: "warning",
    },
    {
      title: "two keys with the same secret",
      changes: { keys: { west: { team: "west", secretSha256: DIGEST_A } } },
      found: "keys/west secretSha256",
      promise: "team-isolation",
    },
    {
      title: "two shares of one team in one pool",
      changes: { shares: { again: { team: "east", pool: "packs", weight: 9 } } },
      found: "shares/again pool",
      promise: "fair-share",
    },
    {
      title: "a team with a key and no share",
      changes: {
        teams: { north: { workspace: "parish" } },
        keys: { north: { team: "north", secretSha256: DIGEST_B } },
      },
      found: "teams/north ",
      promise: "fair-share",
      severity: "warning",
    },
    {
      title: "two limits of one team",
      changes: { limits: { again: { team: "east", maxRunningRequests: 30 } } },
      found: "limits/again team",
      promise: "team-limit",
    },
    {
      title: "a limit without a maximum",
      changes: { limits: { west: { team: "west" } } },
      found: "limits/west ",
      promise: "team-limit",
      severity: "warning",
    },
    {
      title: "a limit below the team's share",
      changes: { limits: { east: { team: "east", maxRunningRequests: 23 } } },
      found: "limits/east maxRunningRequests",
      promise: "fair-share",
      severity: "warning",
    },
    {
      title: "two spare pools",
      changes: { pools: { second: { spare: true } } },
      found: "pools/second spare",
      promise: "on-time",
    },
    {
      title: "no spare pool",
      changes: { pools: { spare: {} } },
      found: "pools/ spare",
      promise: "on-time",
      severity: "warning",
    },
    {
      title: "two budgets of one pool",
      changes: { availabilityBudgets: { again: { pool: "packs", maxUnavailable: 1 } } },
      found: "availabilityBudgets/again pool",
      promise: "availability-budget",
    },
    {
      title: "a budget that lets all VMs of a pool be unavailable",
      changes: { availabilityBudgets: { booking: { pool: "booking", maxUnavailable: 2 } } },
      found: "availabilityBudgets/booking maxUnavailable",
      promise: "availability-budget",
      severity: "warning",
    },
    {
      title: "a pool without a budget in a wave",
      changes: { maintenanceWaves: { monthly: { pools: ["spare"] } } },
      found: "maintenanceWaves/monthly pools",
      promise: "availability-budget",
    },
    {
      title: "a wave with less time than its budget requires",
      changes: {
        maintenanceWaves: {
          monthly: { pools: ["packs"], vmMaintenanceMs: 1_000, finishWithinMs: 1_999 },
        },
      },
      found: "maintenanceWaves/monthly finishWithinMs",
      promise: "on-time",
    },
    {
      title: "a wave whose drain timeout is shorter than a request may run",
      changes: { maintenanceWaves: { monthly: { pools: ["packs"], drainTimeoutMs: 9_999 } } },
      found: "maintenanceWaves/monthly drainTimeoutMs",
      promise: "graceful-stop",
    },
    {
      title: "two running waves in one pool",
      changes: {
        maintenanceWaves: {
          first: { pools: ["packs"], state: "running" },
          second: { pools: ["packs"], state: "running" },
        },
      },
      found: "maintenanceWaves/second state",
      promise: "availability-budget",
    },
  ])("finds $title", ({ changes, found, promise, severity = "error" }) => {
    const findings = checkConfig(configWith(changes));
    expect(findings.map((finding) => ({
      found: `${finding.kind}/${finding.name} ${finding.field}`,
      promise: finding.promise,
      severity: finding.severity,
    }))).toEqual([{ found, promise, severity }]);
  });

  it("reports all findings at once, errors first", () => {
    const findings = checkConfig(configWith({
      services: { modules: { pool: "packs" } },
      teams: { north: { workspace: "lost" } },
      limits: { again: { team: "east", maxRunningRequests: 30 } },
    }));
    expect(findings.map(({ severity }) => severity)).toEqual(["error", "error", "warning"]);
  });

  it.each(["boardwise", "brughiera"])("finds nothing in the example configuration %s", (name) => {
    const url = new URL(`../../../examples/${name}.toml`, import.meta.url);
    const file = { file: name, text: readFileSync(url, "utf8") };
    const config = parseConfig([file])._unsafeUnwrap();
    expect(checkConfig(config)).toEqual([]);
    expect(Object.keys(config.workspaces)).toHaveLength(6);
    expect(Object.keys(config.services)).toHaveLength(5);
  });
});

describe("checkChange", () => {
  const configWithServer = (fields: object) =>
    configWith({ backendServers: { "packs-1": server(1, fields) } });
  it.each([
    { name: "nothing", before: {}, after: {}, found: [] },
    { name: "the slots", before: {}, after: { slots: 4 }, found: [] },
    {
      name: "the service while not draining",
      before: {},
      after: { service: "booking" },
      found: ["packs-1"],
    },
    {
      name: "the service and its draining state at once",
      before: {},
      after: { service: "booking", draining: true },
      found: ["packs-1"],
    },
    {
      name: "the service while draining",
      before: { draining: true },
      after: { service: "booking" },
      found: [],
    },
  ])("checks a backend server that changes $name", ({ before, after, found }) => {
    const findings = checkChange(configWithServer(before), configWithServer(after));
    expect(findings.map(({ name }) => name)).toEqual(found);
    expect(findings.every(({ severity }) => severity === "error")).toBe(true);
  });

  it("accepts added and removed backend servers", () => {
    const without = configWith({});
    const { "packs-1": _gone, ...backendServers } = without.backendServers;
    const after = { ...without, backendServers };
    expect([...checkChange(without, after), ...checkChange(after, without)]).toEqual([]);
  });
});
