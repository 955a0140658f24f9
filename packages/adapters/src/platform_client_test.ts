import { once } from "node:events";
import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { afterEach, describe, expect, it } from "vitest";
import { PlatformClient } from "./platform_client.ts";

const VM_FIELDS = { availabilityZone: "z", rack: "r", running: 0, operationId: "" };
const VM_STATE = { state: "live", rebooted: false, returned: true };

let server: Server | undefined;

afterEach(() => server?.close());

describe("PlatformClient.listVms", () => {
  it.each([
    { name: "with entity tags", tagged: true, statuses: [200, 304, 200, 200] },
    { name: "without entity tags", tagged: false, statuses: [200, 200, 200, 200] },
  ])("returns the current list from a platform $name", async ({ tagged, statuses }) => {
    const lists = [["a"], ["a"], ["a", "b"], []];
    const sent: number[] = [];
    server = createServer((request, response) => {
      const names = lists[sent.length]!;
      const entityTag = `"${names.join()}"`;
      const isHeld = tagged && request.headers["if-none-match"] === entityTag;
      sent.push(isHeld ? 304 : 200);
      response.writeHead(isHeld ? 304 : 200, tagged ? { etag: entityTag } : {});
      const vms = names.map((vm) => ({ vm, ...VM_FIELDS, ...VM_STATE }));
      response.end(isHeld ? undefined : JSON.stringify(vms));
    }).listen(0, "127.0.0.1");
    await once(server, "listening");
    const client = new PlatformClient(
      `http://127.0.0.1:${(server.address() as AddressInfo).port}`,
    );
    for (const names of lists) {
      const listed = (await client.listVms())._unsafeUnwrap();
      expect(listed.map(({ vm }) => vm)).toEqual(names);
    }
    expect(sent).toEqual(statuses);
    await client.close();
  });
});
