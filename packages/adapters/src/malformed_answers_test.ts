import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { once } from "node:events";
import * as schema from "@jackdawlink/schema";
import * as v from "valibot";
import { afterEach, describe, expect, it } from "vitest";
import { SystemClock } from "./clock.ts";
import { SILENT_LOG } from "./log.ts";
import { PlatformStore, StoreAnswerError } from "./platform_store.ts";

let server: Server;

async function startStore(answer: string): Promise<PlatformStore> {
  server = createServer((_request, response) => response.end(answer));
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  return new PlatformStore({
    settings: v.parse(schema.settings.storeSchema, { url: `http://127.0.0.1:${port}` }),
    clock: new SystemClock(),
    log: SILENT_LOG,
  });
}

afterEach(() => {
  server.closeAllConnections();
  server.close();
});

describe("malformed responses of the store", () => {
  it.each([
    { title: "invalid JSON", answer: "<html>" },
    { title: "JSON of an unexpected shape", answer: "[1]" },
    { title: "a missing revision", answer: "{}" },
    {
      title: "keys that are not base64",
      answer: '{"header":{"revision":"1"},"kvs":[{"key":"!"}]}',
    },
    { title: "a revision that is not a number", answer: '{"header":{"revision":"x"}}' },
  ])("return a typed error: $title", async ({ answer }) => {
    const store = await startStore(answer);
    const read = await store.get("a");
    expect(read._unsafeUnwrapErr()).toBeInstanceOf(StoreAnswerError);
    await store.close();
  });
});
