import * as schema from "@jackdawlink/schema";
import { describe, expect, it } from "vitest";
import { parseSettings, readSettings } from "./settings.ts";

describe("settings", () => {
  it.each([
    { title: "text that is not TOML", text: "store = ", issues: [/^not valid TOML/] },
    {
      title: "several issues at once",
      text: 'colour = "red"\n[store]\nurl = "nowhere"\ntimeoutMs = -5',
      issues: [/^colour: /, /^store\.url: /, /^store\.timeoutMs: /],
    },
    { title: "a missing table", text: "", issues: [/^store: /] },
  ])("reports $title", ({ text, issues }) => {
    const error = parseSettings(text, schema.settings.cliSettingsSchema)._unsafeUnwrapErr();
    expect(error.issues).toHaveLength(issues.length);
    for (const issue of issues) {
      expect(error.issues).toContainEqual(expect.stringMatching(issue));
    }
  });

  it("fills in defaults", () => {
    const text = '[store]\nurl = "http://127.0.0.1:1"';
    const settings = parseSettings(text, schema.settings.cliSettingsSchema)._unsafeUnwrap();
    expect(settings).toMatchObject({ entries: [], store: { timeoutMs: 1_000 } });
  });

  it("names a missing file in the error", () => {
    const read = readSettings("/nowhere/entry.toml", schema.settings.cliSettingsSchema);
    expect(read._unsafeUnwrapErr().message).toContain("/nowhere/entry.toml");
  });
});
