import * as schema from "@jackdawlink/schema";
import { describe, expect, it } from "vitest";
import { ConfigAssembler } from "./config_assembler.ts";
import { digestOf, splitConfig } from "./config_chunks.ts";

function configWith(workspace: string): schema.config.Config {
  return {
    ...schema.config.emptyConfig(),
    workspaces: { [workspace]: { displayName: "" } },
    pools: { evening: { spare: false, bufferVms: 0 } },
  };
}

describe("ConfigAssembler", () => {
  it("needs only the changed chunks, and drops chunks that are no longer used", () => {
    const assembler = new ConfigAssembler();
    const [first, second] = [splitConfig(configWith("east")), splitConfig(configWith("west"))];
    expect(assembler.missing(first)).toHaveLength(2);
    for (const { digest, text } of first) assembler.add(digest, text)._unsafeUnwrap();
    expect(assembler.assemble(first)._unsafeUnwrap()).toEqual(configWith("east"));
    const [missing = "", ...rest] = assembler.missing(second);
    expect(rest).toEqual([]);
    expect(assembler.assemble(second).isErr()).toBe(true);
    const chunk = second.find(({ digest }) => digest === missing);
    assembler.add(missing, chunk?.text ?? "")._unsafeUnwrap();
    expect(assembler.assemble(second)._unsafeUnwrap()).toEqual(configWith("west"));
    expect(assembler.missing(first)).toHaveLength(1);
  });

  it.each([
    { title: "text that does not match its digest", text: "{}", digest: digestOf("other") },
    { title: "text that does not match the schema", text: "{}", digest: digestOf("{}") },
  ])("refuses $title", ({ text, digest }) => {
    const assembler = new ConfigAssembler();
    const error = assembler.add(digest, text)._unsafeUnwrapErr();
    expect(error).toBeInstanceOf(schema.errors.InvalidInputError);
    expect(assembler.textOf(digest)).toBeUndefined();
  });
});
