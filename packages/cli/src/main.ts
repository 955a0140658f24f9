/**
 * `jackdawlink`: the operators' command line.
 *
 * @module
 */
import { runProgram } from "./program.ts";

process.exitCode = await runProgram(process.argv.slice(2));
