import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import * as path from "node:path";
import { afterAll, beforeAll, describe, expect, it } from "vitest";
import * as testing from "@jackdawlink/testing";
import { StewardFixture, TEAM_KEY } from "./steward_fixture.ts";

const UNREACHABLE = "127.0.0.1:1";

describe("jackdawlink job and vm", () => {
  const fixture = new StewardFixture();
  const processes = new testing.processes.Processes();
  const directory = mkdtempSync(path.join(tmpdir(), "jackdawlink-cli-"));
  const settingsFile = path.join(directory, "cli.toml");
  let caller = "";

  beforeAll(async () => {
    await fixture.start();
    await fixture.publish({});
    const steward = await fixture.startSteward("steward-0");
    caller = new URL(steward.callerUrl).host;
    const operator = new URL(steward.operatorUrl).host;
    const stewards = `stewards = ["${UNREACHABLE}", "${operator}"]`;
    writeFileSync(settingsFile, `${stewards}\nstore = { url = "http://${UNREACHABLE}" }\n`);
  });

  afterAll(async () => {
    await processes.stopAll();
    await fixture.stop();
    rmSync(directory, { recursive: true });
  });

  async function run(args: readonly string[], key = TEAM_KEY) {
    const program = await processes.start("jackdawlink", {
      args,
      env: { JACKDAWLINK_KEY: key, JACKDAWLINK_SETTINGS: settingsFile },
      awaitReady: false,
    });
    const { code } = await program.exited;
    return { code, output: program.lines.join("\n") };
  }

  function job(...args: string[]) {
    return run(["job", ...args, "--steward", UNREACHABLE, "--steward", caller]);
  }

  it("submits a job, prints its state and cancels it", async () => {
    const sizes = ["--cores", "1", "--memory-mb", "100", "--run-ms", "600000"];
    const submitted = await job("submit", "--id", "pack-1", ...sizes);
    expect(submitted).toEqual({ code: 0, output: "pack-1 is waiting, attempt 0" });
    expect((await job("submit", "--id", "pack-1", ...sizes)).code).toBe(0);
    expect((await job("status", "pack-1")).output).toMatch(/^pack-1 is (waiting|placed)/);
    expect((await job("cancel", "pack-1")).code).toBe(0);
    await testing.waitFor.waitFor(
      "the cancellation",
      async () => (await job("status", "pack-1")).output.startsWith("pack-1 is cancelled"),
    );
  });

  it.each([
    { name: "a size that is not a number", args: ["--cores", "many"], code: 2, says: /cores/ },
    { name: "an unknown urgency", args: ["--urgency", "now"], code: 2, says: /urgency/ },
  ])("refuses $name", async ({ args, code, says }) => {
    const sizes = ["--memory-mb", "100", "--run-ms", "50"];
    const cores = args.includes("--cores") ? [] : ["--cores", "1"];
    const refused = await job("submit", ...cores, ...sizes, ...args);
    expect(refused).toMatchObject({ code, output: expect.stringMatching(says) });
  });

  it("refuses an unknown job and a wrong key", async () => {
    expect(await job("status", "none")).toMatchObject({ code: 1 });
    const withWrongKey = await run(["job", "status", "pack-1", "--steward", caller], "wrong");
    expect(withWrongKey).toMatchObject({ code: 1, output: expect.stringMatching(/withdrawn/) });
  });

  it("drains, releases, moves and reboots VMs, and refuses what exceeds the budget", async () => {
    const done = (...args: string[]) =>
      testing.waitFor.waitFor(args.join(" "), async () => {
        return (await run(["vm", ...args])).code === 0;
      });
    await done("drain", "vm-0", "--reason", "disk");
    expect(await run(["vm", "drain", "vm-1"])).toEqual({
      code: 0,
      output: "drain of vm-1 started as operation vm-1.000000001",
    });
    const refused = await run(["vm", "reboot", "vm-2"]);
    expect(refused).toMatchObject({
      code: 1,
      output: expect.stringMatching(/budget of pool boards/),
    });
    const moved = await run(["vm", "move", "vm-2", "--to-pool", "nowhere"]);
    expect(moved).toMatchObject({ code: 1, output: expect.stringMatching(/does not exist/) });
    expect((await run(["vm", "release", "vm-5"])).code).toBe(1);
    await done("release", "vm-0");
    await done("release", "vm-1");
    await done("move", "vm-2", "--to-pool", "backoffice");
    await done("reboot", "vm-3");
  });
});
