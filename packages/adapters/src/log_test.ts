import { describe, expect, it } from "vitest";
import { LogFactory } from "./log.ts";

describe("LogFactory", () => {
  it.each(
    [
      {
        format: "text",
        line: '1970-01-01T00:00:01.000Z INFO [router] Request routed team=packs note="two words"',
      },
      {
        format: "json",
        line: '{"at":"1970-01-01T00:00:01.000Z","level":"info","part":"router",' +
          '"message":"Request routed","team":"packs","note":"two words"}',
      },
    ] as const,
  )("writes $format lines at or above its level", ({ format, line }) => {
    const lines: string[] = [];
    const log = new LogFactory({
      level: "info",
      format,
      wallMs: () => 1_000,
      writeLine: (text) => lines.push(text),
    }).part("router");
    log.debug("Not written");
    log.info("Request routed", { team: "packs", note: "two words" });
    expect(lines).toEqual([line]);
  });
});
