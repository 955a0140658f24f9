import type * as schema from "@jackdawlink/schema";
import { Packr } from "msgpackr";
import { describe, expect, it } from "vitest";
import * as codec from "./peer_codec.ts";

const PACKR = new Packr({ useRecords: false });
const INCARNATION = "0190b6a0-0c00-7000-8000-00000000abcd";
const HEARTBEAT_BYTES_LIMIT = 100;

const HEARTBEAT: schema.peer.Heartbeat = {
  type: "heartbeat",
  incarnation: INCARNATION,
  revision: 1_000,
  sentAtMs: 1_234_567.891,
  echoSentAtMs: 1_234_565.123,
  echoIncarnation: "no UUID",
  storeReadAgeMs: null,
  unheardMemberIds: ["left", "right"],
  draining: true,
};
const ANSWER: schema.peer.CatchUpAnswer = {
  type: "catchUpAnswer",
  head: {
    revision: 2,
    changeId: INCARNATION.toUpperCase(),
    configRevision: 1,
    membersRevision: 2,
    chunks: [],
    members: [{
      memberId: "left",
      incarnation: INCARNATION,
      peerAddress: "127.0.0.1:1",
      operatorAddress: "127.0.0.1:2",
      availabilityZone: "a",
      leaving: false,
    }],
    fences: [],
    author: "left",
    summary: "",
    changedAtMs: 1,
  },
  chunks: [{ digest: "d", text: "{}" }],
};
const HELLO = {
  type: "hello",
  memberId: "left",
  incarnation: INCARNATION,
  peerAddress: "127.0.0.1:1",
  protocolVersion: 1,
};

describe("peerCodec", () => {
  it.each([HEARTBEAT, ANSWER])("round-trips a $type", (message) => {
    expect(codec.decode(codec.encode(message))._unsafeUnwrap()).toEqual(message);
  });

  it("encodes a heartbeat without field names", () => {
    const message = { ...HEARTBEAT, echoIncarnation: INCARNATION, unheardMemberIds: [] };
    expect(codec.encode(message).length).toBeLessThan(HEARTBEAT_BYTES_LIMIT);
  });

  it.each([
    { name: "a message with field names", value: HEARTBEAT },
    { name: "an unknown type", value: [99, []] },
    { name: "a type that is not a number", value: ["length", []] },
    { name: "a missing row", value: [1] },
    { name: "a short row", value: [1, [INCARNATION, 1]] },
    { name: "a row with an extra value", value: [2, [1, [], 1]] },
    { name: "a value of the wrong type", value: [2, ["one", []]] },
    { name: "bytes that are not a UUID", value: [2, [1, [Buffer.alloc(15)]]] },
    {
      name: "an object in place of a row",
      value: [2, { revision: 1, heldDigests: [], "__proto__": 1 }],
    },
  ])("rejects $name", ({ value }) => {
    expect(codec.decode(PACKR.pack(value))._unsafeUnwrapErr()).toBeInstanceOf(
      codec.BadMessageError,
    );
  });

  it("rejects a hello with the previous protocol version", () => {
    const bytes = codec.encode(HELLO as never);
    expect(codec.decode(bytes)._unsafeUnwrapErr().message).toContain("protocolVersion");
  });
});
