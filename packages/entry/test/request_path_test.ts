import { afterEach, describe, expect, it } from "vitest";
import * as testing from "@jackdawlink/testing";
import * as fixtures from "./request_path_fixture.ts";

const processes = new testing.processes.Processes();
let fixture: fixtures.Fixture | null = null;

afterEach(async () => {
  await fixture?.stop();
  fixture = null;
  await processes.stopAll();
});

type Options = Parameters<typeof fixtures.configFor>[1];

async function start(names: readonly string[], options: Options = {}) {
  const servers = await Promise.all(
    names.map((name) => testing.backendServerClient.startBackendServer(processes, { name })),
  );
  fixture = new fixtures.Fixture(fixtures.configFor(servers, options));
  await fixture.start();
  return { servers, fixture };
}

describe("request path", () => {
  it("serves a request with the team of its key", async () => {
    const { servers, fixture } = await start(["a"]);
    const view = await fixture.send("renew/orders?runMs=5", { method: "POST", body: "hello" });
    expect(view).toMatchObject({ status: 200, outcome: "answered" });
    expect(JSON.parse(view.text)).toMatchObject({ team: "billing", path: "/orders?runMs=5" });
    const { runs } = await servers[0]!.record();
    expect(runs).toMatchObject([{ requestId: view.requestId, team: "billing", end: "whole" }]);
  });
});
