import { afterEach, describe, expect, it } from "vitest";
import * as testing from "@jackdawlink/testing";

const processes = new testing.processes.Processes();

afterEach(() => processes.stopAll());

async function startProxied() {
  const server = await testing.backendServerClient.startBackendServer(processes, { name: "a" });
  const program = await processes.start("fault-proxy");
  const proxy = new testing.faultProxy.FaultProxyClient(String(program.ready?.["address"]));
  const address = await proxy.addRoute({ name: "a", target: server.address });
  return { server, proxy, url: `http://${address}/work?runMs=1` };
}

describe("fault proxy", () => {
  it.each([
    { kind: "cut" as const, directions: ["toTarget" as const], runs: 0 },
    { kind: "cut" as const, directions: ["toClient" as const], runs: 1 },
    { kind: "freeze" as const, directions: ["toTarget" as const], runs: 0 },
    { kind: "freeze" as const, directions: ["toClient" as const], runs: 1 },
    { kind: "refuse" as const, directions: [], runs: 0 },
  ])("applies $kind $directions and heals", async ({ kind, directions, runs }) => {
    const { server, proxy, url } = await startProxied();
    await proxy.setFault({ kind, directions, routes: ["a"] });
    const failed = fetch(url, { signal: AbortSignal.timeout(300) });
    await expect(failed).rejects.toThrow();
    expect((await server.record()).runs).toHaveLength(runs);
    await proxy.setFault({ kind: "heal" });
    const answer = await testing.waitFor.waitFor("an answer after healing", () => fetch(url));
    expect(answer.status).toBe(200);
  });

  it("rejects a fault for an unknown route with its name", async () => {
    const { proxy } = await startProxied();
    await expect(proxy.setFault({ kind: "reset", routes: ["b"] })).rejects.toThrow("No route b");
  });
});
