import { afterAll, beforeAll, describe, expect, it } from "vitest";
import { type PlatformServer, startPlatform } from "./platform_server.ts";

let platform: PlatformServer;

beforeAll(async () => {
  platform = await startPlatform("127.0.0.1:0");
});

afterAll(() => platform.close());

describe("stand-in platform", () => {
  it.each([
    { path: "/v3/kv/range", body: "{" },
    { path: "/v3/kv/range", body: "{}" },
    { path: "/v3/kv/put", body: '{"key":"not base64!"}' },
    { path: "/v3/kv/put", body: '{"key":"YQ==","lease":"999"}', status: 404 },
    { path: "/v3/kv/deleterange", body: "[]" },
    { path: "/v3/kv/txn", body: '{"success":[{"requestDance":{}}]}' },
    { path: "/v3/kv/txn", body: '{"compare":[{"key":"YQ==","target":"SHAPE"}]}' },
    { path: "/v3/lease/grant", body: '{"TTL":"soon"}' },
    { path: "/v3/lease/revoke", body: '{"ID":"999"}', status: 404 },
    { path: "/v3/watch", body: '{"create_request":{}}' },
    { path: "/control/faults", body: '{"rules":[{"outage":"total"}]}' },
  ])("rejects $body at $path", async ({ path, body, status = 400 }) => {
    const response = await fetch(`${platform.url}${path}`, { method: "POST", body });
    expect(response.status).toBe(status);
    expect(await response.json()).toHaveProperty("error");
  });

  it("encodes answers like etcd: base64, numbers as strings, zero values omitted", async () => {
    const post = async (path: string, body: object) => {
      const request = { method: "POST", body: JSON.stringify(body) };
      return await (await fetch(`${platform.url}${path}`, request)).json();
    };
    const compare = [{ key: "YQ==", target: "VERSION", result: "EQUAL", version: "0" }];
    const success = [{ requestPut: { key: "YQ==", value: "b25l" } }];
    const first = await post("/v3/kv/txn", { compare, success });
    expect(first).toMatchObject({ header: { revision: "2" }, succeeded: true });
    expect(await post("/v3/kv/txn", { compare, success })).not.toHaveProperty("succeeded");
    expect(await post("/v3/kv/range", { key: "YQ==" })).toMatchObject({
      count: "1",
      kvs: [{ key: "YQ==", value: "b25l", create_revision: "2", mod_revision: "2", version: "1" }],
    });
    expect(await post("/v3/kv/range", { key: "YQ==", min_mod_revision: "3" })).toEqual({
      header: expect.anything(),
      count: "1",
    });
  });
});
