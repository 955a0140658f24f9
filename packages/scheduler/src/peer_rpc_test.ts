import * as adapters from "@jackdawlink/adapters";
import * as testing from "@jackdawlink/testing";
import { afterEach, expect, test } from "vitest";
import { WebSocket, WebSocketServer } from "ws";
import { PeerClient, type PeerNotice, type PeerRequest, PeerServer } from "./peer_rpc.ts";

const SILENT = adapters.log.SILENT_LOG;
const HOST = "127.0.0.1";
const closers: (() => void)[] = [];

afterEach(() => {
  closers.splice(0).forEach((close) => close());
});

async function freeAddress(): Promise<string> {
  const [port] = await testing.freePorts.freePorts(1, { host: HOST });
  return `${HOST}:${port}`;
}

function startServer(address: string): { server: PeerServer; requests: PeerRequest[] } {
  const requests: PeerRequest[] = [];
  const server = new PeerServer(address, {
    handle: (request) => {
      requests.push(request);
      return { kind: "noted" };
    },
    log: SILENT,
  });
  closers.push(() => server.close());
  return { server, requests };
}

function startClient(): { client: PeerClient; notices: PeerNotice[] } {
  const notices: PeerNotice[] = [];
  const client = new PeerClient({ log: SILENT, onNotice: (notice) => void notices.push(notice) });
  closers.push(() => client.close());
  return { client, notices };
}

test("sends notices to connected clients, up to the given count", async () => {
  const address = await freeAddress();
  const { server } = startServer(address);
  const clients = [startClient(), startClient(), startClient()];
  for (const { client } of clients) {
    const answer = await client.request(address, { kind: "takeover-offer", fencingToken: 7 });
    expect(answer.isOk() && answer.value).toEqual({ kind: "noted" });
  }
  const counts = () => clients.map(({ notices }) => notices.length).sort();
  const notice = { kind: "released", fencingToken: 7 } as const;
  server.notify(notice, { maxCount: 2, random: () => 0.99 });
  await expect.poll(counts).toEqual([0, 1, 1]);
  server.notify(notice, { maxCount: Number.POSITIVE_INFINITY, random: () => 0 });
  await expect.poll(counts).toEqual([1, 2, 2]);
  expect(clients.flatMap(({ notices }) => notices)).toEqual(Array(5).fill(notice));
});

const MALFORMED = [
  { name: "bytes that are not msgpack", data: Buffer.from([0xc1, 0xff, 0x00]) },
  { name: "text", data: "[1,{}]" },
  { name: "an empty message", data: Buffer.alloc(0) },
  { name: "a number", data: Buffer.from([0x05]) },
  { name: "a frame of an unknown kind", data: Buffer.from([0x92, 0x01, 0x80]) },
];

test.each(MALFORMED)("serves on after $name from a client", async ({ data }) => {
  const address = await freeAddress();
  startServer(address);
  const socket = new WebSocket(`ws://${address}`);
  await new Promise((resolve) => socket.once("open", resolve));
  socket.send(data);
  await new Promise((resolve) => socket.once("close", resolve));
  const { client } = startClient();
  const answer = await client.request(address, { kind: "cancelled", jobId: "j" });
  expect(answer.isOk()).toBe(true);
});

test.each(MALFORMED)("ignores $name from a server", async ({ data }) => {
  const address = await freeAddress();
  const server = new WebSocketServer({ host: HOST, port: Number(address.split(":")[1]) });
  closers.push(() => server.close());
  server.on("connection", (socket) => socket.send(data));
  const { client, notices } = startClient();
  const answer = await client.request(address, { kind: "pending", queue: "q" });
  expect(answer.isErr()).toBe(true);
  expect(notices).toEqual([]);
});
