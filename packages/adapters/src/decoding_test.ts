import * as policy from "@jackdawlink/policy";
import * as schema from "@jackdawlink/schema";
import * as fc from "fast-check";
import { Packr } from "msgpackr";
import { describe, expect, it } from "vitest";
import * as codec from "./peer_codec.ts";
import { parseSettings } from "./settings.ts";
import { decodeStored } from "./stored_json.ts";

const SEED = 20_261_205;
const RUNS = 2_000;

const MESSAGE: schema.peer.Message = {
  type: "catchUpAnswer",
  head: schema.head.EMPTY_HEAD,
  chunks: [{ digest: "0", text: "{}" }],
};
const SETTINGS = '[store]\nurl = "http://127.0.0.1:1"\ntimeoutMs = 5\n';
const CONFIG = '[workspaces.parish]\n[teams.packs]\nworkspace = "parish"\n';
const HEAD = JSON.stringify(schema.head.EMPTY_HEAD);

/** Generates copies of a text with a random part replaced. */
function damaged(text: string): fc.Arbitrary<string> {
  const place = fc.nat({ max: text.length });
  const pieces = fc.constantFrom("", "{", "[", '"', "\0", "__proto__", "null", "1e999", "-1", "\n");
  const piece = fc.oneof(pieces, fc.string({ unit: "binary" }));
  return fc.tuple(place, fc.nat({ max: 8 }), piece).map(([start, length, inserted]) =>
    text.slice(0, start) + inserted + text.slice(start + length)
  );
}

/** Generates copies of the bytes with some changed and the end cut off. */
function damagedBytes(bytes: Uint8Array): fc.Arbitrary<Uint8Array> {
  const change = fc.tuple(fc.nat({ max: bytes.length - 1 }), fc.nat({ max: 255 }));
  const cut = fc.nat({ max: bytes.length });
  return fc.tuple(fc.array(change, { maxLength: 4 }), cut).map(([changes, length]) => {
    const copy = Uint8Array.from(bytes);
    for (const [index, value] of changes) copy[index] = value;
    return copy.slice(0, length);
  });
}

/** Exceeds the number of message types, so that unknown types are generated too. */
const MESSAGE_TYPES = 20;
const PACKR = new Packr({ useRecords: false });

function checkAll<TValue>(values: fc.Arbitrary<TValue>, check: (value: TValue) => void): void {
  fc.assert(fc.property(values, check), { seed: SEED, numRuns: RUNS });
}

describe("decoding of external input returns a value or a typed error", () => {
  it.each([
    { title: "random bytes", bytes: fc.uint8Array({ maxLength: 256 }) },
    { title: "damaged messages", bytes: damagedBytes(codec.encode(MESSAGE)) },
    {
      title: "messages of wrong types",
      bytes: fc.tuple(fc.nat(MESSAGE_TYPES), fc.array(fc.anything(), { maxLength: 10 })).map((
        row,
      ) => PACKR.pack(row) as Uint8Array),
    },
  ])("of peers: $title", ({ bytes }) => {
    checkAll(bytes, (value) => {
      codec.decode(value).match(
        (message) => expect(message.type).toEqual(expect.any(String)),
        (error) => expect(error).toBeInstanceOf(codec.BadMessageError),
      );
    });
  });

  it("of settings", () => {
    checkAll(damaged(SETTINGS), (text) => {
      parseSettings(text, schema.settings.cliSettingsSchema).match(
        (settings) => expect(settings.store.timeoutMs).toBeGreaterThan(0),
        (error) => expect(error.issues.length).toBeGreaterThan(0),
      );
    });
  });

  it("of configurations", () => {
    checkAll(damaged(CONFIG), (text) => {
      policy.configText.parseConfig([{ file: "a.toml", text }]).match(
        (config) => expect(Object.keys(config)).toContain("teams"),
        (findings) => expect(findings.length).toBeGreaterThan(0),
      );
    });
  });

  it("of stored heads", () => {
    checkAll(fc.oneof(damaged(HEAD), fc.json()), (value) => {
      decodeStored({ key: "head", value }, schema.head.headSchema).match(
        (head) => expect(head.revision).toBeGreaterThanOrEqual(0),
        (error) => expect(error).toBeInstanceOf(schema.errors.InvalidInputError),
      );
    });
  });
});
