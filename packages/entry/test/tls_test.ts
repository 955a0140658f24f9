import * as fs from "node:fs";
import * as path from "node:path";
import * as adapters from "@jackdawlink/adapters";
import * as schema from "@jackdawlink/schema";
import * as testing from "@jackdawlink/testing";
import * as selfsigned from "selfsigned";
import * as toml from "smol-toml";
import * as undici from "undici";
import { afterAll, afterEach, beforeAll, describe, expect, it } from "vitest";

type PeerTlsMaterial = adapters.peerTls.PeerTlsMaterial;

const TEAM = "billing";
const SECRET = testing.exampleConfig.exampleSecret(TEAM);
const QUEUE = "renewals";
const ENTRY_HOSTS = ["127.0.0.10", "127.0.0.11", "127.0.0.12"];
const REQUESTS_PER_ENTRY = 10;
const ADDRESS_TYPE_IP = 7;
const LOG_LEVELS = ["debug", "info", "warn", "error"];
const LOG_PARTS = [
  "claims",
  "entry",
  "head",
  "lease",
  "members",
  "peers",
  "permits",
  "requests",
  "snapshot",
  "store",
];

async function certificateOf(
  name: string,
  { authority }: { authority?: PeerTlsMaterial } = {},
): Promise<PeerTlsMaterial> {
  const altNames = ENTRY_HOSTS.map((ip) => ({ type: ADDRESS_TYPE_IP, ip }) as const);
  const made = await selfsigned.generate([{ name: "commonName", value: name }], {
    keySize: 2048,
    algorithm: "sha256",
    ...(authority === undefined
      ? { extensions: [{ name: "basicConstraints", cA: true, critical: true }] }
      : {
        ca: { key: authority.key, cert: authority.cert },
        extensions: [{ name: "subjectAltName", altNames }],
      }),
  });
  return { cert: made.cert, key: made.private, ca: authority?.cert ?? made.cert };
}

describe("entries with TLS for callers and peers", () => {
  const system = new testing.testSystem.TestSystem({
    availabilityZones: ["zone-a", "zone-b", "zone-c"],
    entryCount: ENTRY_HOSTS.length,
    settingsOf: (memberId) => ({
      log: { format: "json", level: "debug" },
      callerTls: filesOf(memberId),
      peerTls: filesOf(memberId),
    }),
  });
  const meshes: adapters.peerLinks.PeerLinkMesh[] = [];
  let authority: PeerTlsMaterial;
  let otherAuthority: PeerTlsMaterial;

  function filesOf(memberId: string): schema.settings.TlsSettings {
    const file = (kind: string) => path.join(system.directory, `${memberId}.${kind}.pem`);
    return {
      certificateFile: file("cert"),
      keyFile: file("key"),
      authorityFile: file("ca"),
    };
  }

  async function writeCertificate(memberId: string): Promise<void> {
    const { cert, key, ca } = await certificateOf(memberId, { authority });
    const files = filesOf(memberId);
    fs.writeFileSync(files.certificateFile, cert);
    fs.writeFileSync(files.keyFile, key);
    fs.writeFileSync(files.authorityFile!, ca);
  }

  /** Sends requests to each entry over TLS and returns the number answered by each. */
  async function answeredCounts(key: string): Promise<readonly number[]> {
    const agent = new undici.Agent({ connect: { ca: authority.cert } });
    const counts = await Promise.all(system.entries.map(async ({ callerUrl }) => {
      const url = `${callerUrl.replace("http:", "https:")}/v1/queues/${QUEUE}/work`;
      let answered = 0;
      for (let sent = 0; sent < REQUESTS_PER_ENTRY; sent += 1) {
        const answer = await undici.request(url, {
          dispatcher: agent,
          headers: { authorization: `Bearer ${key}` },
        });
        await answer.body.dump();
        answered += answer.headers[schema.http.OUTCOME_HEADER] === "answered" ? 1 : 0;
      }
      return answered;
    }));
    await agent.close();
    return counts;
  }

  async function startMesh(memberId: string, tls: PeerTlsMaterial | null) {
    const received: schema.peer.Message[] = [];
    const mesh = new adapters.peerLinks.PeerLinkMesh({
      memberId,
      tls,
      clock: new adapters.clock.SystemClock(),
      log: adapters.log.SILENT_LOG,
      isAllowed: () => true,
    });
    meshes.push(mesh);
    mesh.on("heartbeat", (message) => received.push(message));
    mesh.on("catchUpAnswer", (message) => received.push(message));
    const peerAddress = (await mesh.listen("127.0.0.1:0"))._unsafeUnwrap();
    mesh.setIdentity({ incarnation: `${memberId}-stranger`, peerAddress });
    const peers = system.entries.map(({ memberId, settingsFile }) => {
      const settings = toml.parse(fs.readFileSync(settingsFile, "utf8"));
      return { memberId, address: String(settings["peerAddress"]) };
    });
    mesh.setPeers(peers, []);
    return { mesh, received };
  }

  function requestConfigFromAll(mesh: adapters.peerLinks.PeerLinkMesh): void {
    for (const { memberId } of system.entries) {
      mesh.send(memberId, { type: "catchUpRequest", revision: 0, heldDigests: [] });
    }
  }

  async function rejectedHelloCount(): Promise<number> {
    const texts = await Promise.all(system.entries.map(async ({ operatorUrl }) => {
      const answer = await fetch(`${operatorUrl}/metrics`);
      return await answer.text();
    }));
    const pattern = /jackdawlink_peer_messages_not_taken_total\{event="badHello"\} (\d+)/;
    return texts.reduce((sum, text) => sum + Number(pattern.exec(text)?.[1] ?? 0), 0);
  }

  beforeAll(async () => {
    [authority, otherAuthority] = await Promise.all([
      certificateOf("authority"),
      certificateOf("authority"),
    ]);
    await Promise.all(ENTRY_HOSTS.map((_, index) => writeCertificate(`entry-${index + 1}`)));
    await system.start();
    await system.publishExample({
      availabilityZones: ["zone-a", "zone-b", "zone-c"],
      services: [QUEUE],
      backendServersPerService: 3,
      teams: { [TEAM]: { weight: 1 } },
    });
  });

  afterEach(() => meshes.splice(0).forEach((mesh) => mesh.close()));
  afterAll(() => system.stop());

  it("join, exchange heartbeats and answer requests", async () => {
    expect(await answeredCounts(SECRET)).toEqual(ENTRY_HOSTS.map(() => REQUESTS_PER_ENTRY));
    for (const entry of system.entries) {
      const { members } = await system.statusOf(entry);
      expect(members.map(({ heardAgeMs }) => heardAgeMs)).not.toContain(null);
    }
  });

  it("send the configuration, but no key secrets, to a process with a valid certificate", async () => {
    const tls = await certificateOf("entry-9", { authority });
    const { mesh, received } = await startMesh("entry-9", tls);
    await testing.waitFor.waitFor("an answer with the configuration", () => {
      requestConfigFromAll(mesh);
      return received.some((message) => message.type === "catchUpAnswer");
    });
    expect(JSON.stringify(received)).toContain("secretSha256");
    expect(JSON.stringify(received)).not.toContain(SECRET);
  });

  it.each<{ title: string; makeTls: () => Promise<PeerTlsMaterial | null> }>([
    { title: "no TLS", makeTls: () => Promise.resolve(null) },
    {
      title: "no certificate",
      makeTls: () => Promise.resolve({ ca: authority.cert } as PeerTlsMaterial),
    },
    {
      title: "a certificate of another authority",
      makeTls: async () => ({
        ...await certificateOf("entry-9", { authority: otherAuthority }),
        ca: authority.cert,
      }),
    },
    {
      title: "a certificate with another name",
      makeTls: () => certificateOf("entry-8", { authority }),
    },
  ])("reject a peer with $title", async ({ makeTls }) => {
    const before = await rejectedHelloCount();
    const { mesh, received } = await startMesh("entry-9", await makeTls());
    await testing.waitFor.waitFor("refusals by every entry", async () => {
      requestConfigFromAll(mesh);
      return await rejectedHelloCount() >= before + 2 * ENTRY_HOSTS.length;
    });
    expect(received).toEqual([]);
    expect(await answeredCounts(SECRET)).toEqual(ENTRY_HOSTS.map(() => REQUESTS_PER_ENTRY));
  });

  it("reject a peer that uses a member's name with another certificate", async () => {
    const before = await rejectedHelloCount();
    const tls = await certificateOf("entry-9", { authority });
    const { mesh, received } = await startMesh("entry-2", tls);
    await testing.waitFor.waitFor("refusals", async () => {
      requestConfigFromAll(mesh);
      return await rejectedHelloCount() >= before + 2;
    });
    expect(received).toEqual([]);
  });

  it("log one JSON object per line, with a known level, a known part and a message", () => {
    const lines = system.entries.flatMap(({ program }) => program.lines)
      .map((line) => JSON.parse(line) as Record<string, unknown>);
    const entries = lines.filter((line) => line["ready"] !== true);
    expect(entries.length).toBeGreaterThan(0);
    for (const { at, level, part, message } of entries) {
      expect(String(at)).toMatch(/^\d{4}-\d\d-\d\dT[\d:.]+Z$/);
      expect(LOG_LEVELS).toContain(level);
      expect(LOG_PARTS).toContain(part);
      expect(String(message)).toMatch(/^[A-Z][^\n]*[^.\n]$/);
    }
  });

  it("never log key secrets", async () => {
    expect(await answeredCounts(SECRET)).toEqual(ENTRY_HOSTS.map(() => REQUESTS_PER_ENTRY));
    const unknown = "unknown-secret-of-a-caller";
    expect(await answeredCounts(unknown)).toEqual(ENTRY_HOSTS.map(() => 0));
    for (const { program } of system.entries) {
      const log = program.lines.join("\n");
      expect(log).toContain("keyRefused");
      expect(log).not.toContain(SECRET);
      expect(log).not.toContain(unknown);
    }
  });
});
