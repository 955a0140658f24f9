/**
 * The decisions: pure code without I/O, clock or random source.
 *
 * @module
 */
export * as canonicalJson from "./canonical_json.ts";
export * as configAssembler from "./config_assembler.ts";
export * as configCheck from "./config_check.ts";
export * as configChunks from "./config_chunks.ts";
export * as configDiff from "./config_diff.ts";
export * as configEdits from "./config_edits.ts";
export * as configText from "./config_text.ts";
export * as findings from "./findings.ts";
export * as fleet from "./fleet/mod.ts";
