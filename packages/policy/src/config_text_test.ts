import { describe, expect, it } from "vitest";
import { describeChange, diffConfigs } from "./config_diff.ts";
import * as configText from "./config_text.ts";

const DIGEST = "c".repeat(64);

function parse(...texts: string[]) {
  return configText.parseConfig(texts.map((text, index) => ({ file: `${index}.toml`, text })));
}

describe("parseConfig", () => {
  it.each([
    { title: "text that is not TOML", texts: ["[teams"], found: ["0.toml/ "] },
    { title: "an unknown kind", texts: ["[clans.a]"], found: ["clans/ "] },
    { title: "a kind that is not a table", texts: ["teams = 3"], found: ["teams/ "] },
    {
      title: "every fault in several files",
      texts: [
        '[teams.a]\nworkspace = 3\ncolour = "red"',
        '[pools."No Name"]\n[limits.a]\nteam = "a"\nmaxRunningRequests = 0',
      ],
      found: [
        "limits/a maxRunningRequests",
        "pools/No Name ",
        "teams/a colour",
        "teams/a workspace",
      ],
    },
    {
      title: "an object defined in two files",
      texts: ["[workspaces.a]", "[workspaces.a]"],
      found: ["workspaces/a "],
    },
    {
      title: "a table named __proto__",
      texts: ['["__proto__".polluted]\nvalue = 1'],
      found: ["__proto__/ "],
    },
  ])("finds $title", ({ texts, found }) => {
    const findings = parse(...texts)._unsafeUnwrapErr();
    const places = findings.map(({ kind, name, field }) => `${kind}/${name} ${field}`);
    expect(places.sort()).toEqual(found);
    expect(Object.hasOwn(Object.prototype, "polluted")).toBe(false);
  });
});

describe("mergeTables", () => {
  const base = parse(
    '[workspaces.a]\n[workspaces.b]\n[teams.a]\nworkspace = "a"\n[keys.a]\nteam = "a"\n' +
      `secretSha256 = "${DIGEST}"\nwithdrawn = true`,
  )._unsafeUnwrap();

  it.each([
    {
      title: "keeps objects that no file contains",
      text: "[workspaces.c]",
      prune: false,
      changes: ["+ workspaces/c"],
    },
    {
      title: "removes objects that no file contains with prune, only of the kinds in the files",
      text: "[workspaces.a]",
      prune: true,
      changes: ["- workspaces/b"],
    },
    {
      title: "keeps a key withdrawn if the file omits the field",
      text: `[keys.a]\nteam = "a"\nsecretSha256 = "${DIGEST}"`,
      prune: true,
      changes: [],
    },
    {
      title: "restores a withdrawn key if the file sets the field to false",
      text: `[keys.a]\nteam = "a"\nsecretSha256 = "${DIGEST}"\nwithdrawn = false`,
      prune: false,
      changes: ["~ keys/a withdrawn: true -> false"],
    },
  ])("$title", ({ text, prune, changes }) => {
    const tables = configText.parseConfigFiles([{ file: "a.toml", text }])._unsafeUnwrap();
    const merged = configText.mergeTables(base, { tables, prune });
    expect(diffConfigs(base, merged).map(describeChange)).toEqual(changes);
  });
});
