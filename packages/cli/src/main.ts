/**
 * `jackdawlink`: the command line for operators.
 *
 * @module
 */
import { runProgram } from "./program.ts";

process.exitCode = await runProgram(process.argv.slice(2));
