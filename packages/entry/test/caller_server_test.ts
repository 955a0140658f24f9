import * as fs from "node:fs/promises";
import * as os from "node:os";
import * as path from "node:path";
import type * as settings from "@jackdawlink/schema";
import * as selfsigned from "selfsigned";
import * as undici from "undici";
import { afterEach, describe, expect, it } from "vitest";
import * as requests from "../src/requests/mod.ts";
import * as fixtures from "./request_path_fixture.ts";

type TlsSettings = settings.settings.TlsSettings;

let directory = "";
let fixture: fixtures.Fixture | null = null;

afterEach(async () => {
  await fixture?.stop();
  fixture = null;
  if (directory !== "") await fs.rm(directory, { recursive: true });
  directory = "";
});

async function writeCertificate(): Promise<TlsSettings & { certificate: string }> {
  directory = await fs.mkdtemp(path.join(os.tmpdir(), "caller-server-"));
  const pems = await selfsigned.generate([{ name: "commonName", value: "127.0.0.1" }], {
    extensions: [{ name: "subjectAltName", altNames: [{ type: 7, ip: "127.0.0.1" }] }],
  });
  const certificateFile = path.join(directory, "certificate.pem");
  const keyFile = path.join(directory, "key.pem");
  await fs.writeFile(certificateFile, pems.cert);
  await fs.writeFile(keyFile, pems.private);
  return { certificateFile, keyFile, certificate: pems.cert };
}

describe("caller server", () => {
  it("serves callers over TLS", async () => {
    const { certificate, ...callerTls } = await writeCertificate();
    fixture = new fixtures.Fixture(fixtures.configFor([]), { callerTls });
    await fixture.start();
    const client = new undici.Client(`https://${fixture.address}`, {
      connect: { ca: certificate },
    });
    const answer = await client.request({ method: "GET", path: "/v1/queues/none/x" });
    expect(answer.statusCode).toBe(404);
    expect(answer.headers["jackdawlink-outcome"]).toBe("not-run");
    expect(await answer.body.json()).toMatchObject({ error: { type: "unknownQueue" } });
    await client.close();
  });

  it.each(["", "v1/queues/renew", "v1/other/x"])("answers 404 for the path /%s", async (url) => {
    fixture = new fixtures.Fixture(fixtures.configFor([]));
    await fixture.start();
    const answer = await fetch(`http://${fixture.address}/${url}`);
    expect(answer.status).toBe(404);
    expect(await answer.json()).toMatchObject({ error: { outcome: "not-run" } });
  });

  it("fails with a typed error if it can't listen or can't read its certificate", async () => {
    fixture = new fixtures.Fixture(fixtures.configFor([]));
    await fixture.start();
    const missing = { certificateFile: "/none/c.pem", keyFile: "/none/k.pem" };
    const cases = [
      { callerAddress: fixture.address },
      { callerAddress: "127.0.0.1:0", callerTls: missing },
    ];
    for (const serverSettings of cases) {
      const server = new requests.callerServer.CallerServer(serverSettings, fixture.path);
      const result = await server.start();
      expect(result._unsafeUnwrapErr()).toBeInstanceOf(requests.callerServer.CallerServerError);
    }
  });
});
