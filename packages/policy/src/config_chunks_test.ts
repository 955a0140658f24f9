import * as schema from "@jackdawlink/schema";
import { describe, expect, it } from "vitest";
import { digestOf, joinChunks, splitConfig } from "./config_chunks.ts";

const KEY_COUNT = 1_850;

/** A configuration with the keys of 370 teams. */
function largeConfig(): schema.config.Config {
  const config = schema.config.emptyConfig();
  for (let index = 0; index < KEY_COUNT; index += 1) {
    const secretSha256 = digestOf(`secret ${index}`);
    config.keys[`key-${index}`] = { team: `team-${index % 370}`, secretSha256, withdrawn: false };
  }
  return config;
}

describe("splitConfig", () => {
  it("splits a configuration into chunks that join to the same configuration", () => {
    const config = largeConfig();
    const chunks = splitConfig(config);
    expect(joinChunks(chunks.map(({ text }) => text))._unsafeUnwrap()).toEqual(config);
    for (const { digest, text } of chunks) expect(digestOf(text)).toBe(digest);
  });

  it("gives the same chunks for any order of the objects", () => {
    const config = largeConfig();
    const reversed = { ...config, keys: Object.fromEntries(Object.entries(config.keys).reverse()) };
    expect(splitConfig(reversed)).toEqual(splitConfig(config));
  });

  it("rewrites one chunk when one key is withdrawn", () => {
    const before = splitConfig(largeConfig());
    const config = largeConfig();
    config.keys["key-7"]!.withdrawn = true;
    const known = new Set(before.map(({ digest }) => digest));
    const after = splitConfig(config);
    expect(after).toHaveLength(before.length);
    expect(after.filter(({ digest }) => !known.has(digest))).toHaveLength(1);
  });
});

describe("joinChunks", () => {
  it.each([
    { title: "malformed JSON", text: "{" },
    { title: "fields that do not match the schema", text: '{"objects":[]}' },
    { title: "an unknown kind", text: '{"kind":"clans","objects":{"a":{}}}' },
    { title: "a malformed object", text: '{"kind":"teams","objects":{"a":{"workspace":1}}}' },
  ])("refuses a chunk with $title", ({ text }) => {
    expect(joinChunks([text])._unsafeUnwrapErr()).toBeInstanceOf(schema.errors.InvalidInputError);
  });
});
