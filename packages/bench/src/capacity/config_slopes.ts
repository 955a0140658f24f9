/**
 * Measures what the configuration costs by number of teams: its bytes, and the processor time to
 * check it and to adopt a change.
 *
 * @module
 */
import * as policy from "@jackdawlink/policy";
import * as schema from "@jackdawlink/schema";
import { measureCpuMs } from "./cpu_time.ts";
import { measureHeapBytes } from "./heap_usage.ts";
import * as plannedSize from "./planned_size.ts";
import type { Slope } from "./slope.ts";

interface ConfigFigures {
  readonly textBytes: number;
  readonly headBytes: number;
  readonly changedBytes: number;
  readonly checkMs: number;
  readonly publishMs: number;
  readonly adoptMs: number;
  readonly permitGroupsMs: number;
  readonly heapBytes: number;
}

const LABELS: Readonly<Record<keyof ConfigFigures, string>> = {
  textBytes: "text of all chunks, bytes",
  headBytes: "head with 9 members, bytes",
  changedBytes: "chunks rewritten by one withdrawn key, bytes",
  checkMs: "check of the whole set, ms",
  publishMs: "split and difference of a change, ms",
  adoptMs: "member takes over one changed chunk, ms",
  permitGroupsMs: "groups of permits from the set, ms",
  heapBytes: "heap of one parsed set, bytes",
};
const MEMBER_COUNT = 9;

/** Measures all figures at each number of teams. */
export function run(): Promise<readonly Slope[]> {
  const measured = plannedSize.TEAM_COUNTS.map((teams) => ({ teams, figures: figuresAt(teams) }));
  const keys = Object.keys(LABELS) as (keyof ConfigFigures)[];
  return Promise.resolve(keys.map((key) => ({
    figure: LABELS[key],
    size: "teams",
    points: measured.map(({ teams, figures }) => ({ x: teams, y: figures[key] })),
    plannedSize: plannedSize.PLANNED.teams,
  })));
}

function figuresAt(teams: number): ConfigFigures {
  const config = plannedSize.plannedConfig(teams);
  assertValid(config);
  const changed = plannedSize.withToggledKey(config, 1);
  const chunks = policy.configChunks.splitConfig(config);
  const changedChunks = policy.configChunks.splitConfig(changed);
  const held = new Set(chunks.map(({ digest }) => digest));
  const rewritten = changedChunks.filter(({ digest }) => !held.has(digest));
  return {
    textBytes: sumBytes(chunks),
    headBytes: Buffer.byteLength(JSON.stringify(headOf(chunks))),
    changedBytes: sumBytes(rewritten),
    checkMs: measureCpuMs(() => policy.configCheck.checkConfig(config)),
    publishMs: measureCpuMs(() => {
      policy.configChunks.splitConfig(changed);
      policy.configDiff.diffConfigs(config, changed);
    }),
    adoptMs: measureAdoptionMs(chunks, { changedChunks, rewritten }),
    permitGroupsMs: measureCpuMs(() => policy.permitGroups.groupsOf(config)),
    heapBytes: measureParsedHeapBytes(teams),
  };
}

function measureAdoptionMs(
  chunks: readonly policy.configChunks.Chunk[],
  { changedChunks, rewritten }: {
    changedChunks: readonly policy.configChunks.Chunk[];
    rewritten: readonly policy.configChunks.Chunk[];
  },
): number {
  const assembler = new policy.configAssembler.ConfigAssembler();
  for (const { digest, text } of chunks) assembler.add(digest, text);
  return measureCpuMs(() => {
    for (const { digest, text } of rewritten) assembler.add(digest, text);
    assembler.assemble(changedChunks);
  });
}

function headOf(chunks: readonly policy.configChunks.Chunk[]): schema.head.Head {
  return {
    ...schema.head.EMPTY_HEAD,
    chunks: chunks.map(({ digest, bytes }) => ({ digest, bytes })),
    members: Array.from({ length: MEMBER_COUNT }, (_, index) => makeMember(index)),
  };
}

/** Creates a member record like those that entries write to the head. */
export function makeMember(index: number): schema.head.Member {
  return {
    memberId: `entry-${index + 1}`,
    incarnation: `00000000-0000-4000-8000-${String(index + 1).padStart(12, "0")}`,
    availabilityZone: `zone-${index % 8 + 1}`,
    peerAddress: `10.1.0.${index + 1}:7100`,
    operatorAddress: `10.1.0.${index + 1}:7200`,
    leaving: false,
  };
}

/** Retains several parsed copies at once, so that heap noise is small in comparison. */
function measureParsedHeapBytes(teams: number): number {
  const texts = policy.configChunks.splitConfig(plannedSize.plannedConfig(teams)).map(({ text }) =>
    text
  );
  const copies = Math.max(2, Math.ceil(2_000 / teams));
  const bytes = measureHeapBytes(() =>
    Array.from({ length: copies }, () => policy.configChunks.joinChunks(texts))
  );
  return bytes / copies;
}

function sumBytes(chunks: readonly policy.configChunks.Chunk[]): number {
  return chunks.reduce((sum, { bytes }) => sum + bytes, 0);
}

function assertValid(config: schema.config.Config): void {
  const errors = policy.configCheck.checkConfig(config).filter(policy.configCheck.isError);
  if (errors.length > 0) {
    throw new schema.errors.InvalidInputError(`The made-up set has errors: ${errors[0]!.message}`);
  }
}
