import * as prometheus from "prom-client";
import { describe, expect, it } from "vitest";
import type { MembershipStatus } from "./membership/membership_manager.ts";
import { OperatorServer } from "./operator_server.ts";

const STATUS: MembershipStatus = {
  memberId: "entry-1",
  incarnation: "one",
  fresh: true,
  freshBy: "store",
  revision: 7,
  acceptedRevision: 7,
  members: [{ memberId: "entry-1", revision: 7, heardAgeMs: 0 }],
};

const LINE = { atMs: 1, part: "requests", message: "placed", fields: {} };

describe("OperatorServer", () => {
  it.each([
    { path: "/healthz", fresh: false, draining: true, status: 200, text: "healthy" },
    { path: "/readyz", fresh: true, draining: false, status: 200, text: '"ready":true' },
    { path: "/readyz", fresh: false, draining: false, status: 503, text: '"ready":false' },
    { path: "/readyz", fresh: true, draining: true, status: 503, text: '"draining":true' },
    { path: "/v1/status", fresh: true, draining: true, status: 200, text: '"revision":7' },
    { path: "/v1/explain/known", fresh: true, draining: false, status: 200, text: "placed" },
    { path: "/v1/explain/other", fresh: true, draining: false, status: 200, text: '{"lines":[]}' },
    { path: "/metrics", fresh: true, draining: false, status: 200, text: "a_gauge 1" },
  ])("answers $path (fresh: $fresh, draining: $draining)", async (expected) => {
    const registry = new prometheus.Registry();
    new prometheus.Gauge({ name: "a_gauge", help: "A gauge", registers: [registry] }).set(1);
    const server = new OperatorServer({
      status: () => ({ ...STATUS, fresh: expected.fresh }),
      isDraining: () => expected.draining,
      explain: (requestId) => ({ lines: requestId === "known" ? [LINE] : [] }),
      registry,
    });
    const response = await server.app().request(expected.path);
    expect(response.status).toBe(expected.status);
    expect(await response.text()).toContain(expected.text);
  });
});
