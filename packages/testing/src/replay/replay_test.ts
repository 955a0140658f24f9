import * as fs from "node:fs/promises";
import * as url from "node:url";
import * as policy from "@jackdawlink/policy";
import type { config as configs } from "@jackdawlink/schema";
import { describe, expect, it } from "vitest";
import * as outcomes from "./outcomes.ts";
import * as recorder from "./recorder.ts";
import type * as replayRecord from "./replay_record.ts";
import * as replayer from "./test/replayer.ts";
import * as traces from "./trace.ts";
import * as workloads from "./workloads.ts";

const ROOT = new URL("../../../../", import.meta.url);
const MAX_TRACE_BYTES = 200_000;
const MAX_SHOWN = 5;

const DESCRIPTIONS = { boardwise: workloads.BOARDWISE, brughiera: workloads.BRUGHIERA };
type Workload = keyof typeof DESCRIPTIONS;
const WORKLOADS = Object.keys(DESCRIPTIONS) as Workload[];

function traceUrl(workload: Workload): URL {
  return new URL(`packages/testing/traces/${workload}.jsonl`, ROOT);
}

async function traceText(workload: Workload): Promise<string> {
  return await fs.readFile(traceUrl(workload), "utf8");
}

async function configOf(file: string): Promise<configs.Config> {
  const text = await fs.readFile(new URL(file, ROOT), "utf8");
  return policy.configText.parseConfig([{ file, text }])._unsafeUnwrap();
}

const replays = new Map<Workload, Promise<replayRecord.ReplayRecord>>();

/** Replays each trace once and caches the record for all outcome checks. */
function replayOf(workload: Workload): Promise<replayRecord.ReplayRecord> {
  const replay = replays.get(workload) ?? (async () => {
    const trace = traces.parseTrace(await traceText(workload))._unsafeUnwrap();
    return replayer.replay(trace, await configOf(trace.header.config));
  })();
  replays.set(workload, replay);
  return replay;
}

describe("the recorded traces", () => {
  it.each(WORKLOADS)(
    "%s matches the output of the recorder for its description",
    async (workload) => {
      const description = DESCRIPTIONS[workload];
      const trace = recorder.record(description, await configOf(description.config));
      const text = traces.formatTrace(trace);
      expect(text.length).toBeLessThan(MAX_TRACE_BYTES);
      await expect(text).toMatchFileSnapshot(url.fileURLToPath(traceUrl(workload)));
    },
  );

  it.each([
    { name: "no header", text: '[0,0,0,0,"urgent",1,1]\n' },
    { name: "an unknown event", line: '{"type":"moonrise","atMs":1}' },
    { name: "an unknown team", line: '[0,0,99,0,"urgent",1,1]' },
    { name: "half a line", line: "[0,0,0" },
  ])("with $name are rejected", async ({ text, line }) => {
    const whole = text ?? `${(await traceText("boardwise")).split("\n")[0]}\n${line}\n`;
    expect(traces.parseTrace(whole)._unsafeUnwrapErr()).toBeInstanceOf(traces.TraceError);
  });
});

const KNOWN_RED = await fs.readFile(new URL("KNOWN-RED.txt", ROOT), "utf8").catch(() => "");

/** The number of breaches that KNOWN-RED.txt lists for an outcome; 0 without an entry. */
function knownBreaches({ workload, outcome }: { workload: Workload; outcome: string }): number {
  const entry = KNOWN_RED.split("\n").find((line) =>
    line.startsWith(`replay ${workload}: ${outcome} |`)
  );
  return Number(/ breaches: (\d+)/.exec(entry ?? "")?.[1] ?? 0);
}

describe("replays", () => {
  const cases = WORKLOADS.flatMap((workload) =>
    Object.keys(outcomes.OUTCOMES).map((outcome) => ({ workload, outcome }))
  ).map((one) => ({ ...one, known: knownBreaches(one) }));

  async function breachesOf({ workload, outcome }: { workload: Workload; outcome: string }) {
    const breaches = outcomes.OUTCOMES[outcome]!(await replayOf(workload));
    return { count: breaches.length, first: breaches.slice(0, MAX_SHOWN) };
  }

  it.each(cases.filter(({ known }) => known === 0))("$workload: $outcome", async (one) => {
    expect(await breachesOf(one)).toEqual({ count: 0, first: [] });
  });

  // Fails if a known-red outcome holds again, so that its entry is removed, or if it gets worse.
  it.each(cases.filter(({ known }) => known > 0))("known red: $workload: $outcome", async (one) => {
    const breaches = await breachesOf(one);
    console.warn(`KNOWN RED ${one.workload}: ${one.outcome}`, breaches);
    expect(breaches.count).toBeGreaterThan(0);
    expect(breaches.count).toBeLessThanOrEqual(one.known);
  });
});
